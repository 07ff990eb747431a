package ledger

import (
	"context"
	"slices"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/wait"
)

// closePollInterval is how often Close checks whether all bills are settled.
const closePollInterval = 20 * time.Millisecond

// returnLoanTries is how often the return of a loan is sent to the grant's
// holder.
const returnLoanTries = 3

// returnTimeout bounds the return of tokens after all bills are settled. Tokens
// that an unavailable platform does not take back stay granted, and so remain
// covered.
const returnTimeout = 30 * time.Second

// Close shuts the ledger down gracefully. It refuses new reservations, waits
// until all bills are settled, returns own grants to the platform and loans to
// peers, and removes the router's registration. Run must still be running. If
// the context ends first, or the tokens cannot be returned within a bounded
// time, Close returns an error; the tokens that are left stay granted and so
// remain covered.
func (l *Ledger) Close(ctx context.Context) error {
	l.draining.Store(true)
	l.adoptDueCopies(l.now().Add(standbyDelay))
	for {
		own, copies := l.bills.len()
		if own+copies == 0 && l.inProgress() == 0 {
			break
		}
		l.push(ctx)
		l.writer.wake()
		if !wait.For(ctx, l.jittered(closePollInterval)) {
			return errkind.New(errkind.PlatformDown, "%d bills and %d copies are not settled", own, copies)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	l.sendDropNotices(ctx)
	l.queryUncertainLenders(ctx)
	if err := l.returnLoans(ctx); err != nil {
		return err
	}
	if err := l.returnGrants(ctx); err != nil {
		return err
	}
	return l.writer.do(ctx, func(t *budget.Txn) error {
		t.Deregister(l.self.Incarnation)
		return nil
	})
}

// inProgress returns the number of live reservations and token fetches.
func (l *Ledger) inProgress() int {
	count := 0
	l.accounts.each(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		count += a.liveReservations
		if a.fetch != nil {
			count++
		}
	})
	return count
}

// queryUncertainLenders asks for loans whose response was lost, so that they
// can be returned.
func (l *Ledger) queryUncertainLenders(ctx context.Context) {
	l.accounts.each(func(a *account) {
		a.mu.Lock()
		lenders := a.uncertainLenders
		a.mu.Unlock()
		for _, lender := range lenders {
			req := &pb.BorrowRequest{Budget: a.name, Borrower: l.self.Incarnation}
			if resp, err := l.peers.Borrow(ctx, lender, req); err == nil {
				l.receiveLoans(a, resp.Totals)
			}
		}
	})
}

// returnLoans returns borrowed tokens to the holders of their grants. For a
// holder that is gone, draining or unreachable, it fences the grant at the
// platform.
func (l *Ledger) returnLoans(ctx context.Context) error {
	live := make(map[string]*pb.Member)
	for _, m := range l.peers.Others() {
		if !m.Draining {
			live[m.Incarnation] = m
		}
	}
	for _, grant := range l.borrowedGrants() {
		if m, ok := live[budget.HolderOf(grant)]; ok && l.returnLoan(ctx, grant, m) {
			continue
		}
		row := l.fence(grant)
		if err := l.writer.do(ctx, func(t *budget.Txn) error { return t.Fence(row) }); err != nil {
			return err
		}
	}
	return nil
}

// borrowedGrants returns the grants of other routers of which this router holds
// free tokens.
func (l *Ledger) borrowedGrants() []string {
	var grants []string
	l.accounts.each(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, g := range a.holder.Grants() {
			if !g.Own && !slices.Contains(grants, g.Grant) {
				grants = append(grants, g.Grant)
			}
		}
	})
	return grants
}

// returnLoan returns all free tokens of a grant to its holder and reports
// whether the holder confirmed them. Tokens of a lost message stay granted.
func (l *Ledger) returnLoan(ctx context.Context, grant string, holder *pb.Member) bool {
	req := &pb.SettleRequest{Sender: l.self.Incarnation}
	l.accounts.each(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.holder.LendFromGrant(grant, holder.Incarnation, budget.MaxTokens) > 0 {
			req.Totals = append(req.Totals, a.holder.LoanTotals(holder.Incarnation)...)
		}
	})
	for range returnLoanTries {
		if _, err := l.peers.Settle(ctx, holder, req); err == nil {
			return true
		}
	}
	return false
}

// ownGrant is an own grant with the cumulative total returned to the platform.
type ownGrant struct {
	budget string
	grant  string
	total  int64
}

// refreshOwnGrants reads the rows of own grants again, because the response to
// a draw may have been lost.
func (l *Ledger) refreshOwnGrants(ctx context.Context) error {
	id := *l.grant.Load()
	var drawn []*account
	l.accounts.each(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.drawTried {
			drawn = append(drawn, a)
		}
	})
	for part := range slices.Chunk(drawn, maxDraws) {
		rows := make([]*pb.GrantRow, len(part))
		err := l.writer.do(ctx, func(t *budget.Txn) error {
			for i, a := range part {
				rows[i], _ = t.Grant(a.name, id)
			}
			return nil
		})
		if err != nil {
			return err
		}
		for i, a := range part {
			a.mu.Lock()
			a.holder.ApplyGrant(rows[i])
			a.mu.Unlock()
		}
	}
	return nil
}

// returnGrants returns the free tokens of own grants to the platform.
func (l *Ledger) returnGrants(ctx context.Context) error {
	if err := l.refreshOwnGrants(ctx); err != nil {
		return err
	}
	var own []ownGrant
	l.accounts.each(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, g := range a.holder.Grants() {
			if g.Own && !g.Closed {
				total := a.holder.Return(g.Grant, g.Tokens)
				own = append(own, ownGrant{a.name, g.Grant, total})
			}
		}
	})
	for len(own) > 0 {
		n := min(len(own), maxDraws)
		part := own[:n]
		own = own[n:]
		if err := l.writer.do(ctx, func(t *budget.Txn) error { return returnAll(t, part) }); err != nil {
			return err
		}
	}
	return nil
}

func returnAll(t *budget.Txn, grants []ownGrant) error {
	for _, g := range grants {
		err := t.Return(g.budget, g.grant, g.total)
		if err != nil && errkind.KindOf(err) != errkind.Conflict {
			return err
		}
	}
	return nil
}
