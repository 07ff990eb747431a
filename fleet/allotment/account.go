// Package allotment decides how one router holds a part of a workspace's
// prepaid tokens.
//
// The platform keeps two rows a workspace and router: the total that all
// routers have taken, and what this router has taken and given back over its
// life. Both change in one transaction on the condition that neither has
// changed since it was read. The rules:
//
//   - The total never exceeds the prepaid amount by a transaction of ours.
//   - Tokens count as held only once the holder's row was seen with them.
//   - Tokens to give back stop being held before the transaction is sent, and
//     are never held again: a transaction without an answer may still commit.
//   - What is reserved is held, and stays spent as far as it was used.
//   - What is reserved and spent stays within every promise that the platform
//     may have; see Promise.
//
// How much a router holds is no matter of safety. While tokens are plenty it
// holds what a time without the platform needs, and where they are scarce its
// share of the demand, which routers tell each other in the total's row.
//
// A transaction states absolute amounts, so that one that is sent again, or
// commits late, can't count twice.
package allotment

import "time"

// Rows is what the platform stores for a workspace and this router.
type Rows struct {
	// Total is what all routers have taken and not given back, in tokens.
	Total int64
	// Requests is how many requests at all routers asked for tokens, and RequestedTokens
	// for how many, as far as it was told. They decide how much a router holds,
	// never what it may spend.
	Requests, RequestedTokens int64
	// Taken and Returned are the holder's own sums, in tokens.
	Taken, Returned int64
	// TotalVersion and HolderVersion are the versions read; 0 means no row.
	TotalVersion, HolderVersion uint64
}

// Account is what one router holds of one workspace. It isn't safe for
// concurrent use, and reads no clock.
type Account struct {
	prepaid int64
	rows    Rows
	// syncedAt is when the rows were last known; zero before the first time.
	syncedAt time.Time

	// returned is the sum to be given back in all; it never falls.
	returned int64
	// returnedAt is when a surplus was last given back.
	returnedAt time.Time
	spent      int64
	reserved   int64

	// wanted is the sum of the reservations that wait.
	wanted int64
	// demand is that at this router, others that at other routers.
	demand, others demand
	// told is the part of the demand that the platform's rows have.
	told asked
	// firstSynced is when the rows were first known.
	firstSynced time.Time
	// byRank is the demand of each rank of requests; 0 is the most urgent.
	byRank [ranks]demand
	// cutSince is when the platform stopped answering; zero while it answers.
	cutSince time.Time
	// promises hold together.
	promises []UsageBound
}

// SetPrepaid sets the most tokens that all routers may take together.
func (a *Account) SetPrepaid(tokens int64) { a.prepaid = tokens }

// Prepaid returns the most tokens that all routers may take together.
func (a *Account) Prepaid() int64 { return a.prepaid }

// Free returns the tokens that can be reserved now: none while all routers
// together hold more than a prepaid amount that was lowered.
func (a *Account) Free() int64 {
	if a.rows.Total > a.prepaid {
		return 0
	}
	return a.held()
}

// held returns the tokens taken that are neither given back, spent nor
// reserved.
func (a *Account) held() int64 {
	return a.rows.Taken - a.returned - a.spent - a.reserved
}

// Unallocated returns the tokens that no router has taken, as last seen.
func (a *Account) Unallocated() int64 {
	return max(0, a.prepaid-a.rows.Total)
}

// Synced tells whether the rows were ever read.
func (a *Account) Synced() bool { return !a.syncedAt.IsZero() }

// Reserve sets tokens aside for a request at its most. It reports false, and
// changes nothing, when too few are held or promised, or when what would be
// left is kept for more urgent requests.
func (a *Account) Reserve(tokens int64, rank int, now time.Time) bool {
	if tokens > a.Free()-a.PriorityReserve(tokens, rank, now) || tokens > a.Headroom(now) {
		return false
	}
	a.reserved += tokens
	return true
}

// RecordDemand notes a request for tokens.
func (a *Account) RecordDemand(tokens int64, rank int, now time.Time) {
	a.demand.add(tokens, now)
	a.byRank[clampRank(rank)].add(tokens, now)
}

// SetPlatformDown says whether the platform answers.
func (a *Account) SetPlatformDown(cut bool, now time.Time) {
	switch {
	case !cut:
		a.cutSince = time.Time{}
	case a.cutSince.IsZero():
		a.cutSince = now
	}
}

// Settle ends a reservation of which used tokens were consumed.
func (a *Account) Settle(reserved, used int64) {
	a.reserved -= reserved
	a.spent += used
}

// AddWaiting changes the sum of the reservations that wait.
func (a *Account) AddWaiting(tokens int64) { a.wanted += tokens }

// Sync takes the rows as read.
func (a *Account) Sync(rows Rows, now time.Time) {
	if a.Synced() && rows.Requests > a.rows.Requests {
		a.others.count(rows.Requests-a.rows.Requests, now)
	}
	if !a.Synced() {
		a.firstSynced = now
	}
	a.rows = rows
	a.syncedAt = now
}

// OnCommitted takes the rows as a step of ours left them.
func (a *Account) OnCommitted(rows Rows, step Transaction, now time.Time) {
	a.told.requests += step.After.Requests - step.Before.Requests
	a.told.tokens += step.After.RequestedTokens - step.Before.RequestedTokens
	a.rows = rows
	a.syncedAt = now
}

// Stale tells whether the rows should be read again: others may have taken or
// given back tokens, which matters most when few are left.
func (a *Account) Stale(now time.Time) bool {
	limit := staleAfter
	if a.Unallocated() < a.prepaid/lowDivisor {
		limit = staleAfterLow
	}
	return a.Synced() && a.Free() > 0 && now.Sub(a.syncedAt) > limit
}

// RowsAge returns the age of the rows.
func (a *Account) RowsAge(now time.Time) time.Duration { return now.Sub(a.syncedAt) }

// Rows returns the rows as last seen.
func (a *Account) Rows() Rows { return a.rows }

// Transaction is one transaction to make: the rows before, on whose versions it
// depends, and the rows after.
type Transaction struct {
	Before, After Rows
}

// NextTransaction returns the next transaction, and false when none is needed. Tokens to
// give back count as given back from here on.
func (a *Account) NextTransaction(now time.Time) (Transaction, bool) {
	if !a.Synced() {
		return Transaction{}, false
	}
	goal := a.goal(now)
	free := a.Free()
	a.giveBack(free, goal, now)
	take := a.shortfall(free, goal)
	after := a.rows
	after.Taken += take
	after.Returned = a.returned
	after.Total += take - (a.returned - a.rows.Returned)
	if after == a.rows {
		return Transaction{}, false
	}
	after.Requests += a.demand.all.requests - a.told.requests
	after.RequestedTokens += a.demand.all.tokens - a.told.tokens
	return Transaction{Before: a.rows, After: after}, true
}

// ReturnAll gives back all that isn't reserved. Used at a planned stop.
func (a *Account) ReturnAll() {
	a.returned += max(0, a.held())
	a.demand.recent = 0
}
