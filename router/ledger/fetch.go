package ledger

import (
	"context"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/memberlist"
)

// mostLenders is how many peers one search asks, besides the home.
const mostLenders = 8

// startFetch starts a search for tokens of the account, or joins the one in
// progress. The caller holds the account's lock.
func (l *Ledger) startFetch(a *account) *fetch {
	if a.fetch != nil {
		return a.fetch
	}
	f := &fetch{done: make(chan struct{})}
	a.fetch = f
	l.work.Go(func() {
		refusal := l.fetchTokens(a)
		a.mu.Lock()
		a.fetch = nil
		a.noteSearch(refusal, l.now())
		a.mu.Unlock()
		close(f.done)
	})
	return f
}

// shortfall returns what the account needs and wants now.
func (l *Ledger) shortfall(a *account, home bool) (need, want int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	horizon := l.policy.LoanHorizon
	if home {
		horizon = l.policy.GrantHorizon
	}
	free := a.holder.Free()
	need = max(a.waiting-free, 0)
	return need, budget.Policy.Want(l.policy, need, free, a.rate.At(l.now()), horizon)
}

// fetchTokens looks for tokens: at the home, which may draw; at the platform;
// at further peers. It returns nil where the need is met.
func (l *Ledger) fetchTokens(a *account) *errkind.Error {
	if l.draining.Load() {
		return unreachable(a.name)
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.fetchTimeout(a))
	defer cancel()
	home, isHome := l.peers.Home(a.name)
	a.mu.Lock()
	a.home = isHome
	a.mu.Unlock()
	var found findings
	if !isHome && home != nil && l.borrow(ctx, a, home, true, &found) {
		return nil
	}
	if l.drawn(ctx, a, isHome, &found) {
		return nil
	}
	if l.borrowAround(ctx, a, home, &found) {
		return nil
	}
	return found.refusal(a.name)
}

// fetchTimeout bounds a search. One ahead of need waits for the next
// settlement.
func (l *Ledger) fetchTimeout(a *account) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting > a.holder.Free() {
		return l.search
	}
	return l.search + 2*l.settle
}

// findings is what a search has learnt.
type findings struct {
	unknown   bool
	exhausted bool
}

func (f findings) refusal(name string) *errkind.Error {
	if f.unknown {
		return errkind.New(errkind.UnknownBudget, "budget %s has no tokens yet", name)
	}
	if f.exhausted {
		return exhausted(name)
	}
	return unreachable(name)
}

// drawn draws from the platform and reports whether the need is met. Requests
// that join the search while a draw is on its way raise the need, so it draws
// until the need is met or the platform gives no more.
func (l *Ledger) drawn(ctx context.Context, a *account, isHome bool, found *findings) bool {
	for {
		need, want := l.shortfall(a, isHome)
		result := l.writer.draw(ctx, a, need, want)
		found.unknown = found.unknown || result == drawUnknownBudget
		found.exhausted = found.exhausted || result == drawExhausted
		need, _ = l.shortfall(a, isHome)
		if need == 0 || result != drawDone {
			return need == 0 && result == drawDone
		}
	}
}

// borrow asks one member and reports whether the need is met.
func (l *Ledger) borrow(ctx context.Context, a *account, member *pb.Member, search bool, found *findings) bool {
	if !l.registered.Load() {
		return false
	}
	need, want := l.shortfall(a, false)
	a.mu.Lock()
	req := &pb.BorrowRequest{
		Budget:   a.name,
		Borrower: l.self.Incarnation,
		Need:     need,
		Want:     want,
		Totals:   a.holder.LoanTotals(member.Incarnation),
		Search:   search,
	}
	a.mu.Unlock()
	resp, err := l.peers.Borrow(ctx, member, req)
	if err != nil {
		l.counters.borrowErrors.Add(1)
		a.noteUnsure(member)
		return false
	}
	found.unknown = found.unknown || resp.UnknownBudget
	found.exhausted = found.exhausted || resp.Exhausted
	got := l.receive(a, resp.Totals)
	if got > 0 {
		l.counters.loans.Add(1)
		l.record(pb.EventKind_EVENT_KIND_LOAN, a.name, "", member.Name, got)
	}
	need, _ = l.shortfall(a, false)
	return need == 0 && got > 0
}

// receive takes in loans, but none before this router is registered and none
// of a grant that it gave up.
func (l *Ledger) receive(a *account, totals []*pb.LoanTotal) int64 {
	var got int64
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, total := range totals {
		if l.registered.Load() && !l.fenced.has(total.Grant) {
			got += a.holder.ReceiveLoan(total)
		}
	}
	return got
}

// borrowAround asks the budget's homes of the other data centres, then other
// members, until the need is met.
func (l *Ledger) borrowAround(ctx context.Context, a *account, home *pb.Member, found *findings) bool {
	need, _ := l.shortfall(a, false)
	if need == 0 {
		return true
	}
	for _, member := range l.lenders(a.name, home) {
		if ctx.Err() != nil {
			return false
		}
		if l.borrow(ctx, a, member, false, found) {
			return true
		}
	}
	return false
}

// lenders returns whom to ask, the likeliest to hold tokens first.
func (l *Ledger) lenders(name string, home *pb.Member) []*pb.Member {
	others := l.peers.Others()
	var first, rest []*pb.Member
	homes := homesByDataCentre(name, others)
	for _, m := range others {
		switch {
		case m.Incarnation == l.self.Incarnation, home != nil && m.Incarnation == home.Incarnation:
		case homes[m.DataCentre] == m:
			first = append(first, m)
		default:
			rest = append(rest, m)
		}
	}
	all := append(first, rest...)
	return all[:min(len(all), mostLenders)]
}

// homesByDataCentre returns a budget's home among the members of each data
// centre.
func homesByDataCentre(name string, members []*pb.Member) map[string]*pb.Member {
	byCentre := make(map[string][]*pb.Member)
	for _, m := range members {
		byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m)
	}
	homes := make(map[string]*pb.Member, len(byCentre))
	for centre, list := range byCentre {
		if home, ok := memberlist.HomeAmong(name, list); ok {
			homes[centre] = home
		}
	}
	return homes
}

// HandleBorrow lends tokens to a peer. It keeps what it needs itself only
// beyond the peer's need.
func (l *Ledger) HandleBorrow(ctx context.Context, req *pb.BorrowRequest) (*pb.BorrowResponse, error) {
	if req.Budget == "" || req.Borrower == "" || req.Need < 0 || req.Want < 0 || req.Want > budget.MaxTokens {
		return nil, errkind.New(errkind.BadAmount, "loan of %d to %d tokens", req.Need, req.Want)
	}
	if l.draining.Load() {
		return nil, errkind.New(errkind.Draining, "this router is stopping")
	}
	a := l.accounts.get(l.self.Incarnation, req.Budget)
	l.receive(a, req.Totals)
	if req.Search {
		l.fetchFor(ctx, a, max(req.Need, 1))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if req.Search {
		a.rate.Add(l.now(), req.Want)
	}
	l.lendLocked(a, req)
	resp := &pb.BorrowResponse{Totals: a.holder.LoanTotals(req.Borrower)}
	if refusal := a.refuses(req.Need, l.now()); refusal != nil {
		resp.Exhausted = refusal.Kind == errkind.BudgetExhausted
		resp.UnknownBudget = refusal.Kind == errkind.UnknownBudget
	}
	return resp, nil
}

// lendLocked lends what the policy allows, less what local requests wait for.
func (l *Ledger) lendLocked(a *account, req *pb.BorrowRequest) {
	spare := max(a.holder.Free()-a.waiting, 0)
	tokens := budget.LoanSize(spare, req.Need, req.Want)
	if tokens > 0 {
		a.holder.Lend(req.Borrower, tokens)
	}
}

// fetchFor waits for searches until need tokens are free here.
func (l *Ledger) fetchFor(ctx context.Context, a *account, need int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting += need
	defer func() { a.waiting -= need }()
	for range 2 {
		if a.holder.Free() >= a.waiting || a.refuses(need, l.now()) != nil {
			return
		}
		if !l.awaitFetch(ctx, a) {
			return
		}
	}
}

// awaitFetch waits for a search of the account, and reports whether the
// context still lives. The caller holds the account's lock, before and after.
func (l *Ledger) awaitFetch(ctx context.Context, a *account) bool {
	f := l.startFetch(a)
	a.mu.Unlock()
	// The search may be one ahead of need that waits for a settlement.
	l.writer.wake()
	select {
	case <-f.done:
	case <-ctx.Done():
	}
	a.mu.Lock()
	return ctx.Err() == nil
}
