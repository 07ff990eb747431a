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

// closePoll is how often a planned stop looks whether all bills are settled.
const closePoll = 20 * time.Millisecond

// giveBackTries is how often a loan's return is sent to its holder.
const giveBackTries = 3

// giveBackLimit bounds the return of tokens once all bills are settled. What a
// platform that is out doesn't take back stays granted, covered.
const giveBackLimit = 30 * time.Second

// Close is the planned stop. It refuses new reservations, waits until the
// platform holds all bills, returns own grants to the platform and loans to
// peers, and removes the router's registration. Run has to be running. When
// the context ends first, or the platform takes nothing back for a bounded
// time, what is left stays covered, and the error says so.
func (l *Ledger) Close(ctx context.Context) error {
	l.draining.Store(true)
	l.adopt(l.now().Add(standbyDelay))
	for {
		own, copies := l.box.len()
		if own+copies == 0 && l.inProgress() == 0 {
			break
		}
		l.push(ctx)
		l.writer.wake()
		if !wait.For(ctx, l.jittered(closePoll)) {
			return errkind.New(errkind.PlatformDown, "%d bills and %d copies aren't settled", own, copies)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, giveBackLimit)
	defer cancel()
	l.tellDrops(ctx)
	l.askUnsure(ctx)
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

// inProgress counts live reservations and searches for tokens.
func (l *Ledger) inProgress() int {
	count := 0
	l.accounts.each(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		count += a.outstanding
		if a.fetch != nil {
			count++
		}
	})
	return count
}

// askUnsure asks for loans whose message was lost, so that they are returned.
func (l *Ledger) askUnsure(ctx context.Context) {
	l.accounts.each(func(a *account) {
		a.mu.Lock()
		unsure := a.unsure
		a.mu.Unlock()
		for _, m := range unsure {
			req := &pb.BorrowRequest{Budget: a.name, Borrower: l.self.Incarnation}
			if resp, err := l.peers.Borrow(ctx, m, req); err == nil {
				l.receive(a, resp.Totals)
			}
		}
	})
}

// returnLoans moves borrowed tokens to the holders of their grants, and to the
// platform where a holder isn't live.
func (l *Ledger) returnLoans(ctx context.Context) error {
	live := make(map[string]*pb.Member)
	for _, m := range l.peers.Others() {
		if !m.Draining {
			live[m.Incarnation] = m
		}
	}
	for _, grant := range l.borrowedGrants() {
		if m, ok := live[budget.HolderOf(grant)]; ok && l.giveBack(ctx, grant, m) {
			continue
		}
		row := l.fence(grant)
		if err := l.writer.do(ctx, func(t *budget.Txn) error { return t.Fence(row) }); err != nil {
			return err
		}
	}
	return nil
}

// borrowedGrants returns the grants of others of which tokens are here.
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

// giveBack moves all free tokens of a grant to its holder and reports whether
// the holder has them. Tokens of a lost message stay granted.
func (l *Ledger) giveBack(ctx context.Context, grant string, holder *pb.Member) bool {
	req := &pb.SettleRequest{Sender: l.self.Incarnation}
	l.accounts.each(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.holder.LendFromGrant(grant, holder.Incarnation, budget.MaxTokens) > 0 {
			req.Totals = append(req.Totals, a.holder.LoanTotals(holder.Incarnation)...)
		}
	})
	for range giveBackTries {
		if _, err := l.peers.Settle(ctx, holder, req); err == nil {
			return true
		}
	}
	return false
}

// ownGrant is what is left of one own grant.
type ownGrant struct {
	budget string
	grant  string
	total  int64
}

// readGrants takes in the rows of own grants, since the answer to a draw may
// have been lost.
func (l *Ledger) readGrants(ctx context.Context) error {
	id := *l.grant.Load()
	var drew []*account
	l.accounts.each(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.drew {
			drew = append(drew, a)
		}
	})
	for part := range slices.Chunk(drew, mostDraws) {
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

// returnGrants gives what is free of own grants back to the platform.
func (l *Ledger) returnGrants(ctx context.Context) error {
	if err := l.readGrants(ctx); err != nil {
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
		n := min(len(own), mostDraws)
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
