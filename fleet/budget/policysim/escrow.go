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

// EscrowPolicy is the configuration of an escrow candidate.
type EscrowPolicy struct {
	budget.Policy
	// BorrowAcrossCentres makes a router ask the homes of other data centres
	// and its peers before it refuses a request.
	BorrowAcrossCentres bool
	// SettleEvery is the number of seconds between two settlements.
	SettleEvery int
	// CloseAfter is how long a dead router's grant stays open, in seconds.
	CloseAfter int
}

// prefetchInterval is the minimum number of seconds between two prefetches.
const prefetchInterval = 5

// slowDrawSeconds is how many seconds a draw takes while the platform is slow.
const slowDrawSeconds = 3

// escrow runs the rules of package budget for all routers.
type escrow struct {
	policy       EscrowPolicy
	net          *network
	store        *budgetsim.Store
	cache        *budget.Cache
	rand         *rand.Rand
	now          time.Time
	second       int
	started      int
	members      [routerCount]*pb.Member
	holders      [routerCount][budgetCount]*account
	reservations map[request][]budget.Parts
	// pendingBills are bills by the router that settles them.
	pendingBills [routerCount][]*pb.BillEntry
	billCount    int
	// closesDue, releasesDue and delayedDraws are keyed by the second at which
	// they are due.
	closesDue    map[int][]string
	releasesDue  map[int][]pendingRelease
	delayedDraws map[int][]func()
	// inDoubt is the number of tokens that grants had outstanding when they
	// were closed. While it is 0, no budget has tokens in doubt.
	inDoubt int64
}

type account struct {
	holder       *budget.Holder
	rate         budget.Rate
	nextPrefetch int
	isHome       bool
}

func newEscrow(net *network, p EscrowPolicy, seed int64) *escrow {
	e := &escrow{
		policy:       p,
		net:          net,
		store:        budgetsim.NewStore(),
		cache:        budget.NewCache(),
		rand:         rand.New(rand.NewSource(seed)),
		reservations: make(map[request][]budget.Parts),
		closesDue:    make(map[int][]string),
		releasesDue:  make(map[int][]pendingRelease),
		delayedDraws: make(map[int][]func()),
	}
	for r := range routerCount {
		e.start(r)
	}
	return e
}

func (e *escrow) start(r int) {
	e.started++
	id := fmt.Sprint("i", e.started)
	e.members[r] = &pb.Member{Name: id, Incarnation: id, DataCentre: fmt.Sprint(r / routersPerCentre)}
	for b := range budgetCount {
		e.holders[r][b] = &account{holder: budget.NewHolder(e.members[r].Incarnation, budgetName(b))}
	}
}

func budgetName(b int) string { return fmt.Sprint("budget-", b) }

// commit commits one transaction without faults.
func (e *escrow) commit(apply func(t *budget.Txn) error) *budget.Txn {
	t, err := e.store.Run(e.cache, apply)
	if err != nil {
		panic(err) // These routers make only valid changes.
	}
	return t
}

func (e *escrow) topUp(b int, tokens int64) {
	e.commit(func(t *budget.Txn) error {
		_, err := t.TopUp(fmt.Sprint("t", e.store.Commits), budgetName(b), tokens)
		return err
	})
}

// home returns the index of the router that is a budget's home in a data
// centre.
func (e *escrow) home(b, centre int) int {
	first := centre * routersPerCentre
	members := e.members[first : first+routersPerCentre]
	home, _ := memberlist.HomeAmong(budgetName(b), members)
	return first + slices.Index(members, home)
}

func (e *escrow) reserve(r request) bool {
	a := e.holders[r.router][r.budget]
	a.rate.Add(e.now, requestBound)
	parts, err := a.holder.Reserve(requestBound)
	if err != nil {
		e.acquire(r.router, r.budget, requestBound)
		parts, err = a.holder.Reserve(requestBound)
	}
	if err != nil {
		return false
	}
	e.reservations[r] = append(e.reservations[r], parts)
	if e.second >= a.nextPrefetch && e.policy.IsLow(a.holder.Free(), a.rate.At(e.now), e.horizon(a)) {
		a.nextPrefetch = e.second + prefetchInterval
		e.acquire(r.router, r.budget, 0)
	}
	return true
}

func (e *escrow) horizon(a *account) time.Duration {
	if a.isHome {
		return e.policy.GrantHorizon
	}
	return e.policy.LoanHorizon
}

// acquire gets tokens in the order that the ledger uses: from the home, the
// platform, then other routers.
func (e *escrow) acquire(r, b int, need int64) {
	home := e.home(b, r/routersPerCentre)
	e.holders[r][b].isHome = home == r
	if home != r && e.borrow(r, home, b, need, true) {
		return
	}
	e.draw(r, b, need)
	if e.hasFree(r, b, need) || !e.policy.BorrowAcrossCentres || need == 0 {
		return
	}
	for c := range centreCount {
		lender := e.home(b, c)
		if lender != r && e.net.connected(r/routersPerCentre, c) && e.borrow(r, lender, b, need, false) {
			return
		}
	}
	for lender := range routerCount {
		if lender != r && e.net.connected(r/routersPerCentre, lender/routersPerCentre) && e.borrow(r, lender, b, need, false) {
			return
		}
	}
}

func (e *escrow) hasFree(r, b int, need int64) bool { return e.holders[r][b].holder.Free() >= need }

// borrow asks a lender for tokens. A lender that is the budget's home may draw
// first.
func (e *escrow) borrow(r, lender, b int, need int64, lenderIsHome bool) bool {
	a, lenderAccount := e.holders[r][b], e.holders[lender][b]
	shortfall := max(need-a.holder.Free(), 0)
	want := e.policy.Want(shortfall, a.holder.Free(), a.rate.At(e.now), e.policy.LoanHorizon)
	if lenderIsHome {
		lenderAccount.isHome = true
		lenderAccount.rate.Add(e.now, want)
		if lenderAccount.holder.Free() < shortfall {
			e.draw(lender, b, shortfall)
		}
	}
	tokens := budget.LoanSize(lenderAccount.holder.Free(), shortfall, want)
	lenderAccount.holder.Lend(e.members[r].Incarnation, tokens)
	for _, total := range lenderAccount.holder.LoanTotals(e.members[r].Incarnation) {
		a.holder.ReceiveLoan(total)
	}
	return e.hasFree(r, b, need)
}

// draw takes tokens from the platform if it can be reached. While the platform
// is slow they arrive too late for the request.
func (e *escrow) draw(r, b int, need int64) {
	if !e.net.reachesPlatform(r / routersPerCentre) {
		return
	}
	if e.net.platformSlow {
		e.delayedDraws[e.second+slowDrawSeconds] = append(e.delayedDraws[e.second+slowDrawSeconds], func() { e.commitDraw(r, b, need) })
		return
	}
	e.commitDraw(r, b, need)
}

func (e *escrow) commitDraw(r, b int, need int64) {
	a := e.holders[r][b]
	free := a.holder.Free()
	horizon := e.horizon(a)
	req := budget.DrawRequest{
		Grant:            &pb.GrantRow{Id: budget.GrantID(e.members[r].Incarnation, 1), Budget: budgetName(b), Holder: e.members[r].Incarnation},
		Need:             max(need-free, 0),
		Want:             e.policy.Want(max(need-free, 0), free, a.rate.At(e.now), horizon),
		HolderFree:       free,
		MaxSharePermille: e.policy.DrawPermille,
	}
	t := e.commit(func(t *budget.Txn) error {
		_, err := t.Draw(req)
		return err
	})
	if g, ok := t.Grant(budgetName(b), req.Grant.Id); ok {
		a.holder.ApplyGrant(g)
	}
}

func (e *escrow) reachable(r request) int64 {
	var sum int64
	for other := range routerCount {
		if e.net.connected(r.router/routersPerCentre, other/routersPerCentre) {
			sum += e.holders[other][r.budget].holder.Free()
		}
	}
	if e.net.reachesPlatform(r.router / routersPerCentre) {
		sum += e.budgetRow(r.budget).Free
	}
	return sum
}

func (e *escrow) budgetRow(b int) *pb.BudgetRow {
	var row *pb.BudgetRow
	e.commit(func(t *budget.Txn) error {
		row, _ = t.Budget(budgetName(b))
		return nil
	})
	return row
}
