package ledger

import (
	"context"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/memberlist"
)

// maxLenders is how many peers one fetch asks, besides the home.
const maxLenders = 8

// startFetch starts a token fetch for the account, or joins the one in
// progress. The caller holds the account's lock.
func (l *Ledger) startFetch(a *account) *fetch {
	if a.fetch != nil {
		return a.fetch
	}
	f := &fetch{done: make(chan struct{})}
	a.fetch = f
	l.background.Go(func() {
		refusal := l.fetchTokens(a)
		a.mu.Lock()
		a.fetch = nil
		a.recordFetch(refusal, l.now())
		a.mu.Unlock()
		close(f.done)
	})
	return f
}

// shortfall returns the tokens that pending requests lack, and the tokens to
// ask for so that the account lasts for its horizon.
func (l *Ledger) shortfall(a *account, isHome bool) (need, want int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	horizon := l.policy.LoanHorizon
	if isHome {
		horizon = l.policy.GrantHorizon
	}
	free := a.holder.Free()
	need = max(a.pending-free, 0)
	return need, budget.Policy.Want(l.policy, need, free, a.rate.At(l.now()), horizon)
}

// fetchTokens tries to get tokens from the home, which may draw, then from the
// platform, then from further peers. It returns nil if the need is met.
func (l *Ledger) fetchTokens(a *account) *errkind.Error {
	if l.draining.Load() {
		return unreachableError(a.name)
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.fetchTimeout(a))
	defer cancel()
	home, isHome := l.peers.Home(a.name)
	a.mu.Lock()
	a.isHome = isHome
	a.mu.Unlock()
	var found fetchResult
	if !isHome && home != nil && l.borrow(ctx, a, home, true, &found) {
		return nil
	}
	if l.drawUntilMet(ctx, a, isHome, &found) {
		return nil
	}
	if l.borrowFromPeers(ctx, a, home, &found) {
		return nil
	}
	return found.refusal(a.name)
}

// fetchTimeout returns the time limit of a fetch. A prefetch gets two settle
// intervals more, because its draw waits for the next settlement.
func (l *Ledger) fetchTimeout(a *account) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending > a.holder.Free() {
		return l.searchTimeout
	}
	return l.searchTimeout + 2*l.settleInterval
}

// fetchResult collects the reasons for which a fetch got too few tokens.
type fetchResult struct {
	unknown   bool
	exhausted bool
}

func (f fetchResult) refusal(name string) *errkind.Error {
	if f.unknown {
		return errkind.New(errkind.UnknownBudget, "budget %s is unknown; its first top-up creates it", name)
	}
	if f.exhausted {
		return exhaustedError(name)
	}
	return unreachableError(name)
}

// drawUntilMet draws from the platform and reports whether the need is met.
// Requests that join the fetch while a draw is in progress raise the need, so
// it draws until the need is met or a draw brings nothing.
func (l *Ledger) drawUntilMet(ctx context.Context, a *account, isHome bool, found *fetchResult) bool {
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

// borrow asks one member for a loan and reports whether the need is met.
func (l *Ledger) borrow(ctx context.Context, a *account, member *pb.Member, search bool, found *fetchResult) bool {
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
		a.addUncertainLender(member)
		return false
	}
	found.unknown = found.unknown || resp.UnknownBudget
	found.exhausted = found.exhausted || resp.Exhausted
	got := l.receiveLoans(a, resp.Totals)
	if got > 0 {
		l.counters.loans.Add(1)
		l.record(pb.EventKind_EVENT_KIND_LOAN, a.name, "", member.Name, got)
	}
	need, _ = l.shortfall(a, false)
	return need == 0 && got > 0
}

// receiveLoans adds loans to the account and returns the tokens received. It
// ignores loans that arrive before this router is registered and loans of a
// grant that it has fenced.
func (l *Ledger) receiveLoans(a *account, totals []*pb.LoanTotal) int64 {
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

// borrowFromPeers asks the budget's homes in the other data centres, then other
// members, until the need is met.
func (l *Ledger) borrowFromPeers(ctx context.Context, a *account, home *pb.Member, found *fetchResult) bool {
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

// lenders returns the members to ask, those most likely to hold tokens first.
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
	return all[:min(len(all), maxLenders)]
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

// HandleBorrow lends tokens to a peer. It holds tokens back for later requests
// of its own only once the peer's need is met; tokens that local requests
// already wait for are never lent.
func (l *Ledger) HandleBorrow(ctx context.Context, req *pb.BorrowRequest) (*pb.BorrowResponse, error) {
	if req.Budget == "" || req.Borrower == "" || req.Need < 0 || req.Want < 0 || req.Want > budget.MaxTokens {
		return nil, errkind.New(errkind.BadAmount, "invalid loan request for %d to %d tokens", req.Need, req.Want)
	}
	if l.draining.Load() {
		return nil, errkind.New(errkind.Draining, "this router is stopping")
	}
	a := l.accounts.getOrCreate(l.self.Incarnation, req.Budget)
	l.receiveLoans(a, req.Totals)
	if req.Search {
		l.fetchUntilFree(ctx, a, max(req.Need, 1))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if req.Search {
		a.rate.Add(l.now(), req.Want)
	}
	l.lendLocked(a, req)
	resp := &pb.BorrowResponse{Totals: a.holder.LoanTotals(req.Borrower)}
	if refusal := a.refusalFor(req.Need, l.now()); refusal != nil {
		resp.Exhausted = refusal.Kind == errkind.BudgetExhausted
		resp.UnknownBudget = refusal.Kind == errkind.UnknownBudget
	}
	return resp, nil
}

// lendLocked lends free tokens, less those that local requests wait for. The
// caller holds the account's lock.
func (l *Ledger) lendLocked(a *account, req *pb.BorrowRequest) {
	spare := max(a.holder.Free()-a.pending, 0)
	tokens := budget.LoanSize(spare, req.Need, req.Want)
	if tokens > 0 {
		a.holder.Lend(req.Borrower, tokens)
	}
}

// fetchUntilFree waits for at most two fetches until need tokens are free,
// besides those that other requests wait for.
func (l *Ledger) fetchUntilFree(ctx context.Context, a *account, need int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending += need
	defer func() { a.pending -= need }()
	for range 2 {
		if a.holder.Free() >= a.pending || a.refusalFor(need, l.now()) != nil {
			return
		}
		if !l.awaitFetch(ctx, a) {
			return
		}
	}
}

// awaitFetch starts or joins a fetch for the account, waits for its end, and
// reports whether the context is still live. The caller holds the account's
// lock, which is released during the wait.
func (l *Ledger) awaitFetch(ctx context.Context, a *account) bool {
	f := l.startFetch(a)
	a.mu.Unlock()
	// The fetch may be a prefetch whose draw waits for the next settlement.
	l.writer.wake()
	select {
	case <-f.done:
	case <-ctx.Done():
	}
	a.mu.Lock()
	return ctx.Err() == nil
}
