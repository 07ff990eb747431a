package policysim

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/budget/budgetsim"
	"cuminrock.example/fleet/memberlist"
)

// Load describes a fleet's load, for which platform requests are counted.
type Load struct {
	Routers     int
	DataCentres int
	// ActiveBudgets is the number of budgets with requests. All have the same
	// demand and are drawn on in every data centre.
	ActiveBudgets int
	// RequestsPerSecond is the request rate of the whole fleet.
	RequestsPerSecond int
	// SettleEvery is the number of seconds between two settlements.
	SettleEvery int
	Seconds     int
}

// PlatformRates is what a load asks of the platform per second.
type PlatformRates struct {
	// Transactions counts commits that took effect, Attempts all commits tried.
	Transactions float64
	Attempts     float64
	// Rows counts written rows, Bills those of them that are bills.
	Rows  float64
	Bills float64
	Reads float64
}

// MeasurePlatformRates simulates homes that settle bills and draw, each with
// its own cache of rows, in random order.
func MeasurePlatformRates(l Load, seed int64) PlatformRates {
	f := newHomeFleet(l, seed)
	for t := range l.Seconds {
		f.simulateSecond(t)
	}
	perSecond := 1 / float64(l.Seconds)
	return PlatformRates{
		Transactions: float64(f.store.Commits-f.countsBefore.Commits) * perSecond,
		Attempts:     float64(f.store.Commits+f.store.Conflicts-f.countsBefore.Commits-f.countsBefore.Conflicts) * perSecond,
		Rows:         float64(f.store.Writes-f.countsBefore.Writes) * perSecond,
		Bills:        float64(f.bills) * perSecond,
		Reads:        float64(f.store.Reads-f.countsBefore.Reads) * perSecond,
	}
}

type homeFleet struct {
	load   Load
	rand   *rand.Rand
	policy budget.Policy
	store  *budgetsim.Store
	// countsBefore holds the store's counters before the measured time.
	countsBefore budgetsim.Store
	homes        []*homeRouter
	// homeByCentre holds the homes by data centre and budget.
	homeByCentre [][]*homeRouter
	now          time.Time
	bills        int
}

// homeRouter is a router in its role as home.
type homeRouter struct {
	id           string
	cache        *budget.Cache
	holders      map[int]*budget.Holder
	rates        map[int]*budget.Rate
	pendingBills []*pb.BillEntry
	pendingDraws map[int]int64
}

func newHomeFleet(l Load, seed int64) *homeFleet {
	f := &homeFleet{load: l, rand: rand.New(rand.NewSource(seed)), policy: budget.PolicyFromSettings(nil), store: budgetsim.NewStore(), homeByCentre: make([][]*homeRouter, l.DataCentres)}
	members := make([][]*pb.Member, l.DataCentres)
	homes := make([][]*homeRouter, l.DataCentres)
	for r := range l.Routers {
		h := &homeRouter{id: fmt.Sprint("i", r), cache: budget.NewCache(), holders: make(map[int]*budget.Holder), rates: make(map[int]*budget.Rate), pendingDraws: make(map[int]int64)}
		f.homes = append(f.homes, h)
		c := r % l.DataCentres
		homes[c] = append(homes[c], h)
		members[c] = append(members[c], &pb.Member{Name: h.id, Incarnation: h.id})
	}
	for c := range l.DataCentres {
		for b := range l.ActiveBudgets {
			home, _ := memberlist.HomeAmong(budgetName(b), members[c])
			f.homeByCentre[c] = append(f.homeByCentre[c], homes[c][slices.Index(members[c], home)])
		}
	}
	f.fund()
	return f
}

// fund tops up all budgets with days of demand and draws for them.
func (f *homeFleet) fund() {
	cache := budget.NewCache()
	for b := range f.load.ActiveBudgets {
		f.commit(cache, func(t *budget.Txn) error {
			_, err := t.TopUp(fmt.Sprint("t", b), budgetName(b), 1<<40)
			return err
		})
	}
	rate := float64(f.load.RequestsPerSecond) / float64(f.load.ActiveBudgets*f.load.DataCentres) * requestBound
	for c := range f.load.DataCentres {
		for b := range f.load.ActiveBudgets {
			f.startHome(f.homeByCentre[c][b], b, rate)
		}
	}
	f.countsBefore = *f.store
}

// startHome draws tokens for a random half to all of the home's horizon, as if
// the home had been running for a long time.
func (f *homeFleet) startHome(h *homeRouter, b int, rate float64) {
	h.holders[b] = budget.NewHolder(h.id, budgetName(b))
	h.rates[b] = &budget.Rate{}
	h.rates[b].Add(f.now, int64(rate*60))
	horizon := rate * f.policy.GrantHorizon.Seconds()
	h.pendingDraws[b] = int64(horizon * (0.5 + 0.5*f.rand.Float64()))
	f.flush(h)
}

func (f *homeFleet) simulateSecond(t int) {
	f.now = f.now.Add(time.Second)
	for range f.load.RequestsPerSecond {
		f.runRequest(f.rand.Intn(f.load.DataCentres), f.rand.Intn(f.load.ActiveBudgets))
	}
	for _, i := range f.rand.Perm(len(f.homes)) {
		if t%f.load.SettleEvery == i%f.load.SettleEvery {
			f.flush(f.homes[i])
		}
	}
}

// runRequest runs a request and leaves its bill with the budget's home.
func (f *homeFleet) runRequest(c, b int) {
	h := f.homeByCentre[c][b]
	holder := h.holders[b]
	h.rates[b].Add(f.now, requestBound)
	parts, err := holder.Reserve(requestBound)
	if err != nil {
		panic(err) // A home starts with tokens for at least half an hour.
	}
	billed, err := holder.Settle(&parts, f.rand.Int63n(requestBound+1))
	if err != nil {
		panic(err) // The usage is within the bound.
	}
	if f.policy.IsLow(holder.Free(), h.rates[b].At(f.now), f.policy.GrantHorizon) {
		h.pendingDraws[b] = f.policy.Want(0, holder.Free(), h.rates[b].At(f.now), f.policy.GrantHorizon)
	}
	f.bills++
	id := fmt.Sprint("e", f.bills)
	h.pendingBills = append(h.pendingBills, &pb.BillEntry{Id: id, RequestId: id, Run: id, Budget: budgetName(b), Parts: billed.Proto(), Tokens: billed.Sum()})
}

// flush commits a home's transactions until nothing is pending.
func (f *homeFleet) flush(h *homeRouter) {
	for len(h.pendingDraws) > 0 || len(h.pendingBills) > 0 {
		n := min(len(h.pendingBills), maxBatchBills)
		entries := h.pendingBills[:n]
		t := f.commit(h.cache, func(t *budget.Txn) error { return f.settleAndDraw(t, h, entries) })
		h.pendingBills = h.pendingBills[n:]
		f.store.DeleteBills(entries)
		for b := range h.pendingDraws {
			if g, ok := t.Grant(budgetName(b), budget.GrantID(h.id, 1)); ok {
				h.holders[b].ApplyGrant(g)
			}
		}
		clear(h.pendingDraws)
	}
}

func (f *homeFleet) settleAndDraw(t *budget.Txn, h *homeRouter, entries []*pb.BillEntry) error {
	for _, e := range entries {
		if err := t.Settle(e); err != nil {
			return err
		}
	}
	for b, want := range h.pendingDraws {
		grant := &pb.GrantRow{Id: budget.GrantID(h.id, 1), Budget: budgetName(b), Holder: h.id}
		req := budget.DrawRequest{Grant: grant, Need: 1, Want: want, HolderFree: h.holders[b].Free(), MaxSharePermille: f.policy.DrawPermille}
		if _, err := t.Draw(req); err != nil {
			return err
		}
	}
	return nil
}

func (f *homeFleet) commit(cache *budget.Cache, apply func(t *budget.Txn) error) *budget.Txn {
	t, err := f.store.Run(cache, apply)
	if err != nil {
		panic(err) // These homes make only valid changes.
	}
	return t
}
