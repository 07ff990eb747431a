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

// Load is a fleet's load for counting what it asks of the platform.
type Load struct {
	Routers     int
	DataCentres int
	// ActiveBudgets is the number of budgets with requests, all equally busy and drawn
	// on in every data centre.
	ActiveBudgets int
	// RequestsPerSecond is the number of requests a second in the whole fleet.
	RequestsPerSecond int
	// SettleEvery is the number of seconds between two settlements.
	SettleEvery int
	Seconds     int
}

// PlatformRates is what a load asks of the platform, each second.
type PlatformRates struct {
	// Transactions counts commits that took effect, Sent those tried.
	Transactions float64
	Attempts     float64
	// Rows counts written rows, of which Bills are bills.
	Rows  float64
	Bills float64
	Reads float64
}

// MeasurePlatformRates runs homes that settle bills and draw, each with its own cache
// of rows, in random order.
func MeasurePlatformRates(l Load, seed int64) PlatformRates {
	f := newWriteFleet(l, seed)
	for t := range l.Seconds {
		f.second(t)
	}
	per := 1 / float64(l.Seconds)
	return PlatformRates{
		Transactions: float64(f.store.Commits-f.before.Commits) * per,
		Attempts:     float64(f.store.Commits+f.store.Conflicts-f.before.Commits-f.before.Conflicts) * per,
		Rows:         float64(f.store.Writes-f.before.Writes) * per,
		Bills:        float64(f.bills) * per,
		Reads:        float64(f.store.Reads-f.before.Reads) * per,
	}
}

type writeFleet struct {
	load   Load
	rand   *rand.Rand
	policy budget.Policy
	store  *budgetsim.Store
	before budgetsim.Store
	homes  []*writeHome
	// at is the home of a budget in a data centre.
	at    [][]*writeHome
	now   time.Time
	bills int
}

// writeHome is one router in its part as home.
type writeHome struct {
	id      string
	cache   *budget.Cache
	holders map[int]*budget.Holder
	rates   map[int]*budget.Rate
	entries []*pb.BillEntry
	draws   map[int]int64
}

func newWriteFleet(l Load, seed int64) *writeFleet {
	f := &writeFleet{load: l, rand: rand.New(rand.NewSource(seed)), policy: budget.PolicyFromSettings(nil), store: budgetsim.NewStore(), at: make([][]*writeHome, l.DataCentres)}
	members := make([][]*pb.Member, l.DataCentres)
	homes := make([][]*writeHome, l.DataCentres)
	for r := range l.Routers {
		h := &writeHome{id: fmt.Sprint("i", r), cache: budget.NewCache(), holders: make(map[int]*budget.Holder), rates: make(map[int]*budget.Rate), draws: make(map[int]int64)}
		f.homes = append(f.homes, h)
		c := r % l.DataCentres
		homes[c] = append(homes[c], h)
		members[c] = append(members[c], &pb.Member{Name: h.id, Incarnation: h.id})
	}
	for c := range l.DataCentres {
		for b := range l.ActiveBudgets {
			home, _ := memberlist.HomeAmong(name(b), members[c])
			f.at[c] = append(f.at[c], homes[c][slices.Index(members[c], home)])
		}
	}
	f.start()
	return f
}

// start tops up all budgets with days of demand and draws for them.
func (f *writeFleet) start() {
	cache := budget.NewCache()
	for b := range f.load.ActiveBudgets {
		f.change(cache, func(t *budget.Txn) error {
			_, err := t.TopUp(fmt.Sprint("t", b), name(b), 1<<40)
			return err
		})
	}
	rate := float64(f.load.RequestsPerSecond) / float64(f.load.ActiveBudgets*f.load.DataCentres) * boundTokens
	for c := range f.load.DataCentres {
		for b := range f.load.ActiveBudgets {
			f.begin(f.at[c][b], b, rate)
		}
	}
	f.before = *f.store
}

// begin gives a home a random part of its horizon, as if it had run for long.
func (f *writeFleet) begin(h *writeHome, b int, rate float64) {
	h.holders[b] = budget.NewHolder(h.id, name(b))
	h.rates[b] = &budget.Rate{}
	h.rates[b].Add(f.now, int64(rate*60))
	horizon := rate * f.policy.GrantHorizon.Seconds()
	h.draws[b] = int64(horizon * (0.5 + 0.5*f.rand.Float64()))
	f.write(h)
}

func (f *writeFleet) second(t int) {
	f.now = f.now.Add(time.Second)
	for range f.load.RequestsPerSecond {
		f.request(f.rand.Intn(f.load.DataCentres), f.rand.Intn(f.load.ActiveBudgets))
	}
	for _, i := range f.rand.Perm(len(f.homes)) {
		if t%f.load.SettleEvery == i%f.load.SettleEvery {
			f.write(f.homes[i])
		}
	}
}

// request runs a request and leaves its bill with the budget's home.
func (f *writeFleet) request(c, b int) {
	h := f.at[c][b]
	holder := h.holders[b]
	h.rates[b].Add(f.now, boundTokens)
	parts, err := holder.Reserve(boundTokens)
	if err != nil {
		panic(err) // A home starts with half an hour's tokens at least.
	}
	billed, err := holder.Settle(&parts, f.rand.Int63n(boundTokens+1))
	if err != nil {
		panic(err) // Usage is within the bound.
	}
	if f.policy.IsLow(holder.Free(), h.rates[b].At(f.now), f.policy.GrantHorizon) {
		h.draws[b] = f.policy.Want(0, holder.Free(), h.rates[b].At(f.now), f.policy.GrantHorizon)
	}
	f.bills++
	id := fmt.Sprint("e", f.bills)
	h.entries = append(h.entries, &pb.BillEntry{Id: id, RequestId: id, Run: id, Budget: name(b), Parts: billed.Proto(), Tokens: billed.Sum()})
}

// write makes a home's transactions until nothing waits.
func (f *writeFleet) write(h *writeHome) {
	for len(h.draws) > 0 || len(h.entries) > 0 {
		n := min(len(h.entries), mostBills)
		entries := h.entries[:n]
		t := f.change(h.cache, func(t *budget.Txn) error { return f.apply(t, h, entries) })
		h.entries = h.entries[n:]
		f.store.DeleteBills(entries)
		for b := range h.draws {
			if g, ok := t.Grant(name(b), budget.GrantID(h.id, 1)); ok {
				h.holders[b].ApplyGrant(g)
			}
		}
		clear(h.draws)
	}
}

func (f *writeFleet) apply(t *budget.Txn, h *writeHome, entries []*pb.BillEntry) error {
	for _, e := range entries {
		if err := t.Settle(e); err != nil {
			return err
		}
	}
	for b, want := range h.draws {
		grant := &pb.GrantRow{Id: budget.GrantID(h.id, 1), Budget: name(b), Holder: h.id}
		wish := budget.DrawRequest{Grant: grant, Need: 1, Want: want, HolderFree: h.holders[b].Free(), MaxSharePermille: f.policy.DrawPermille}
		if _, err := t.Draw(wish); err != nil {
			return err
		}
	}
	return nil
}

func (f *writeFleet) change(cache *budget.Cache, apply func(t *budget.Txn) error) *budget.Txn {
	t, err := f.store.Run(cache, apply)
	if err != nil {
		panic(err) // Homes here make only sound changes.
	}
	return t
}
