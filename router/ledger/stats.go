package ledger

import "sync/atomic"

type counters struct {
	refusedExhausted   atomic.Int64
	refusedUnreachable atomic.Int64
	refusedFull        atomic.Int64
	overrunTokens      atomic.Int64
	loans              atomic.Int64
	borrowErrors       atomic.Int64
	pushErrors         atomic.Int64
	copyErrors         atomic.Int64
	commits            atomic.Int64
	commitErrors       atomic.Int64
	conflicts          atomic.Int64
	settled            atomic.Int64
	rejected           atomic.Int64
	draws              atomic.Int64
}

// Stats is a snapshot of a ledger's counters, for expvar.
type Stats struct {
	// Budgets is the number of budgets known here.
	Budgets int
	// FreeTokens and ReservedTokens are held by this router.
	FreeTokens     int64
	ReservedTokens int64
	// WaitingBills and WaitingCopies aren't held by the platform yet.
	WaitingBills  int
	WaitingCopies int
	// Refusals by reason.
	RefusedExhausted   int64
	RefusedUnreachable int64
	RefusedFull        int64
	// OverrunTokens is usage beyond reservations, which isn't billed.
	OverrunTokens int64
	Loans         int64
	BorrowErrors  int64
	PushErrors    int64
	// CopyErrors counts bills that were told without a second copy.
	CopyErrors int64
	// Commits counts transactions sent, Conflicts those refused.
	Commits      int64
	CommitErrors int64
	Conflicts    int64
	Settled      int64
	Rejected     int64
	Draws        int64
	// ConservationChecks and ConservationBroken count the program's own
	// assertions; broken tokens are never spent.
	ConservationChecks uint64
	ConservationBroken uint64
	// UncoveredTokens were billed after an operator had released them.
	UncoveredTokens int64
	// DuplicateRuns is the number of second runs of billed requests.
	DuplicateRuns uint64
}

// Stats returns the counters as they stand.
func (l *Ledger) Stats() Stats {
	s := Stats{
		RefusedExhausted:   l.counters.refusedExhausted.Load(),
		RefusedUnreachable: l.counters.refusedUnreachable.Load(),
		RefusedFull:        l.counters.refusedFull.Load(),
		OverrunTokens:      l.counters.overrunTokens.Load(),
		Loans:              l.counters.loans.Load(),
		BorrowErrors:       l.counters.borrowErrors.Load(),
		PushErrors:         l.counters.pushErrors.Load(),
		CopyErrors:         l.counters.copyErrors.Load(),
		Commits:            l.counters.commits.Load(),
		CommitErrors:       l.counters.commitErrors.Load(),
		Conflicts:          l.counters.conflicts.Load(),
		Settled:            l.counters.settled.Load(),
		Rejected:           l.counters.rejected.Load(),
		Draws:              l.counters.draws.Load(),
	}
	s.WaitingBills, s.WaitingCopies = l.box.len()
	l.accounts.each(func(a *account) {
		a.mu.Lock()
		defer a.mu.Unlock()
		s.Budgets++
		s.FreeTokens += a.holder.Free()
		s.ReservedTokens += a.holder.Reserved()
		checks, broken := a.holder.ConservationChecks()
		s.ConservationChecks += checks
		s.ConservationBroken += broken
	})
	l.writer.mu.Lock()
	defer l.writer.mu.Unlock()
	s.ConservationChecks += l.writer.audit.Checks
	s.ConservationBroken += l.writer.audit.Violations
	s.UncoveredTokens = l.writer.audit.UncoveredTokens
	s.DuplicateRuns = l.writer.audit.DuplicateEntries
	return s
}
