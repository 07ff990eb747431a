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

// EscrowPolicy is what an escrow candidate varies.
type EscrowPolicy struct {
	budget.Policy
	// BorrowAcrossCentres asks other data centres' homes and peers before a refusal.
	BorrowAcrossCentres bool
	// SettleEvery is the number of seconds between two settlements.
	SettleEvery int
	// CloseAfter is how long a dead router's grant stays open, in seconds.
	CloseAfter int
}

// fetchHold is how many seconds pass after a search ahead of need.
const fetchHold = 5

// slowDraw is how many seconds a draw takes while the platform is slow.
const slowDraw = 3

// escrow runs the core's decisions for all routers.
type escrow struct {
	policy  EscrowPolicy
	net     *network
	store   *budgetsim.Store
	cache   *budget.Cache
	rand    *rand.Rand
	now     time.Time
	t       int
	born    int
	members [routers]*pb.Member
	holders [routers][budgets]*account
	parts   map[request][]budget.Parts
	// queues are bills by the router that settles them.
	queues [routers][]*pb.BillEntry
	bills  int
	// closing and late are due at a second.
	closing map[int][]string
	// releasing is due at a second.
	releasing map[int][]release
	late      map[int][]func()
	// inDoubt is the sum of the budgets' rows.
	inDoubt int64
}

type account struct {
	holder *budget.Holder
	rate   budget.Rate
	ahead  int
	home   bool
}

func newEscrow(net *network, p EscrowPolicy, seed int64) *escrow {
	e := &escrow{
		policy:    p,
		net:       net,
		store:     budgetsim.NewStore(),
		cache:     budget.NewCache(),
		rand:      rand.New(rand.NewSource(seed)),
		parts:     make(map[request][]budget.Parts),
		closing:   make(map[int][]string),
		releasing: make(map[int][]release),
		late:      make(map[int][]func()),
	}
	for r := range routers {
		e.start(r)
	}
	return e
}

func (e *escrow) start(r int) {
	e.born++
	id := fmt.Sprint("i", e.born)
	e.members[r] = &pb.Member{Name: id, Incarnation: id, DataCentre: fmt.Sprint(r / routersPerCentre)}
	for b := range budgets {
		e.holders[r][b] = &account{holder: budget.NewHolder(e.members[r].Incarnation, name(b))}
	}
}

func name(b int) string { return fmt.Sprint("budget-", b) }

// change runs one transaction without faults.
func (e *escrow) change(apply func(t *budget.Txn) error) *budget.Txn {
	t, err := e.store.Run(e.cache, apply)
	if err != nil {
		panic(err) // Routers here make only sound changes.
	}
	return t
}

func (e *escrow) topUp(b int, tokens int64) {
	e.change(func(t *budget.Txn) error {
		_, err := t.TopUp(fmt.Sprint("t", e.store.Commits), name(b), tokens)
		return err
	})
}

// home returns the index of a budget's home in a data centre.
func (e *escrow) home(b, centre int) int {
	first := centre * routersPerCentre
	members := e.members[first : first+routersPerCentre]
	home, _ := memberlist.HomeAmong(name(b), members)
	return first + slices.Index(members, home)
}

func (e *escrow) reserve(r request) bool {
	a := e.holders[r.router][r.budget]
	a.rate.Add(e.now, boundTokens)
	parts, err := a.holder.Reserve(boundTokens)
	if err != nil {
		e.fetch(r.router, r.budget, boundTokens)
		parts, err = a.holder.Reserve(boundTokens)
	}
	if err != nil {
		return false
	}
	e.parts[r] = append(e.parts[r], parts)
	if e.t >= a.ahead && e.policy.IsLow(a.holder.Free(), a.rate.At(e.now), e.horizon(a)) {
		a.ahead = e.t + fetchHold
		e.fetch(r.router, r.budget, 0)
	}
	return true
}

func (e *escrow) horizon(a *account) time.Duration {
	if a.home {
		return e.policy.GrantHorizon
	}
	return e.policy.LoanHorizon
}

// fetch looks for tokens as the ledger does: home, platform, others.
func (e *escrow) fetch(r, b int, need int64) {
	home := e.home(b, r/routersPerCentre)
	e.holders[r][b].home = home == r
	if home != r && e.borrow(r, home, b, need, true) {
		return
	}
	e.draw(r, b, need)
	if e.met(r, b, need) || !e.policy.BorrowAcrossCentres || need == 0 {
		return
	}
	for c := range centres {
		lender := e.home(b, c)
		if lender != r && e.net.peers(r/routersPerCentre, c) && e.borrow(r, lender, b, need, false) {
			return
		}
	}
	for lender := range routers {
		if lender != r && e.net.peers(r/routersPerCentre, lender/routersPerCentre) && e.borrow(r, lender, b, need, false) {
			return
		}
	}
}

func (e *escrow) met(r, b int, need int64) bool { return e.holders[r][b].holder.Free() >= need }

// borrow asks a lender, which may draw first where it is home.
func (e *escrow) borrow(r, lender, b int, need int64, search bool) bool {
	a, from := e.holders[r][b], e.holders[lender][b]
	short := max(need-a.holder.Free(), 0)
	want := e.policy.Want(short, a.holder.Free(), a.rate.At(e.now), e.policy.LoanHorizon)
	if search {
		from.home = true
		from.rate.Add(e.now, want)
		if from.holder.Free() < short {
			e.draw(lender, b, short)
		}
	}
	tokens := budget.LoanSize(from.holder.Free(), short, want)
	from.holder.Lend(e.members[r].Incarnation, tokens)
	for _, total := range from.holder.LoanTotals(e.members[r].Incarnation) {
		a.holder.ReceiveLoan(total)
	}
	return e.met(r, b, need)
}

// draw takes tokens from the platform, if it can be reached. While it is slow
// they come too late for the request.
func (e *escrow) draw(r, b int, need int64) {
	if !e.net.platform(r / routersPerCentre) {
		return
	}
	if e.net.slow {
		e.late[e.t+slowDraw] = append(e.late[e.t+slowDraw], func() { e.drawNow(r, b, need) })
		return
	}
	e.drawNow(r, b, need)
}

func (e *escrow) drawNow(r, b int, need int64) {
	a := e.holders[r][b]
	free := a.holder.Free()
	horizon := e.horizon(a)
	wish := budget.DrawRequest{
		Grant:            &pb.GrantRow{Id: budget.GrantID(e.members[r].Incarnation, 1), Budget: name(b), Holder: e.members[r].Incarnation},
		Need:             max(need-free, 0),
		Want:             e.policy.Want(max(need-free, 0), free, a.rate.At(e.now), horizon),
		HolderFree:       free,
		MaxSharePermille: e.policy.DrawPermille,
	}
	t := e.change(func(t *budget.Txn) error {
		_, err := t.Draw(wish)
		return err
	})
	if g, ok := t.Grant(name(b), wish.Grant.Id); ok {
		a.holder.ApplyGrant(g)
	}
}

func (e *escrow) reachable(r request) int64 {
	var sum int64
	for other := range routers {
		if e.net.peers(r.router/routersPerCentre, other/routersPerCentre) {
			sum += e.holders[other][r.budget].holder.Free()
		}
	}
	if e.net.platform(r.router / routersPerCentre) {
		sum += e.row(r.budget).Free
	}
	return sum
}

func (e *escrow) row(b int) *pb.BudgetRow {
	var row *pb.BudgetRow
	e.change(func(t *budget.Txn) error {
		row, _ = t.Budget(name(b))
		return nil
	})
	return row
}
