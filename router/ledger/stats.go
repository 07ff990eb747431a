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

// Stats is a snapshot of a ledger's counters, published through expvar.
type Stats struct {
	// Budgets is the number of budgets known to this router.
	Budgets int
	// FreeTokens and ReservedTokens are the tokens that this router holds.
	FreeTokens     int64
	ReservedTokens int64
	// WaitingBills and WaitingCopies are the own entries and the copies that
	// are not settled yet.
	WaitingBills  int
	WaitingCopies int
	// RefusedExhausted, RefusedUnreachable and RefusedFull are the refused
	// reservations by reason.
	RefusedExhausted   int64
	RefusedUnreachable int64
	RefusedFull        int64
	// OverrunTokens is the usage beyond reservations, which is not billed.
	OverrunTokens int64
	// Loans counts the loans received, and BorrowErrors the loan requests that
	// failed.
	Loans        int64
	BorrowErrors int64
	// PushErrors counts the failed messages that sent bills to their homes, or
	// drop notices to the holders of standby copies.
	PushErrors int64
	// CopyErrors counts bills for which no copy at another router could be
	// made.
	CopyErrors int64
	// Commits counts the transactions sent, Conflicts those that the platform
	// refused because a row had changed, and CommitErrors the failed batches.
	Commits      int64
	CommitErrors int64
	Conflicts    int64
	// Settled counts the bill entries that this router settled, and Rejected
	// those that it dropped because they can never be settled.
	Settled  int64
	Rejected int64
	// Draws counts the committed draws.
	Draws int64
	// ConservationChecks and ConservationBroken count the checks of token
	// conservation and their violations; tokens of a violation are never spent.
	ConservationChecks uint64
	ConservationBroken uint64
	// UncoveredTokens is the number of tokens that were billed after an operator
	// had released them.
	UncoveredTokens int64
	// DuplicateRuns is the number of second runs of billed requests.
	DuplicateRuns uint64
}

// Stats returns the current counters.
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
	s.WaitingBills, s.WaitingCopies = l.bills.len()
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
	s.ConservationChecks += l.writer.txnCounters.Checks
	s.ConservationBroken += l.writer.txnCounters.Violations
	s.UncoveredTokens = l.writer.txnCounters.UncoveredTokens
	s.DuplicateRuns = l.writer.txnCounters.DuplicateEntries
	return s
}
