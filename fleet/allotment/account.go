// Package allotment decides how many of a workspace's prepaid tokens one router
// holds.
//
// The platform stores, for each workspace, one row with the total that all
// routers have taken, and one row for each router (a holder of tokens) with what
// it has taken and returned over its lifetime. A router changes the total's row
// and its own in one transaction, which commits only if neither row has changed
// since it was read. The invariants:
//
//   - No transaction of this package raises the total above the prepaid amount.
//   - Tokens count as held only after the holder's row was read with them.
//   - Returned tokens stop counting as held before the transaction is sent, and
//     never count as held again: a transaction without a response may still
//     commit.
//   - Reserved tokens are held tokens; the part that was used stays spent.
//   - The sum of reserved and spent tokens stays within every usage bound that
//     the platform may have stored; see UsageBound.
//
// Safety doesn't depend on how many tokens a router holds. While tokens are
// plentiful, it holds what it needs to get through an outage of the platform.
// When they are scarce, it holds its share of the demand, which the routers
// publish in the row of the total.
//
// A transaction writes absolute amounts, so that one that is sent twice or
// commits late isn't counted twice.
package allotment

import "time"

// Rows is what the platform stores for a workspace and this router.
type Rows struct {
	// Total is the number of tokens that all routers have taken and not
	// returned.
	Total int64
	// Requests is the number of requests for tokens at all routers and
	// RequestedTokens the tokens that they asked for, as far as the routers
	// have published them. They influence how much a router holds, never how
	// much it may spend.
	Requests, RequestedTokens int64
	// Taken and Returned are this router's lifetime sums, in tokens.
	Taken, Returned int64
	// TotalVersion and HolderVersion are the versions, as read, of the row of
	// the total and of this router's row; 0 means that the row doesn't exist.
	TotalVersion, HolderVersion uint64
}

// Account is what one router holds of one workspace. It isn't safe for
// concurrent use and reads no clock.
type Account struct {
	prepaid int64
	rows    Rows
	// syncedAt is when the rows were last read or written; zero before the
	// first time.
	syncedAt time.Time

	// returned is the total number of tokens to return, including those not yet
	// committed; it never decreases.
	returned int64
	// returnedAt is when a surplus was last returned.
	returnedAt time.Time
	spent      int64
	reserved   int64

	// waiting is the number of tokens that all waiting reservations need.
	waiting int64
	// demand is the demand at this router, otherDemand that at all other
	// routers.
	demand, otherDemand demand
	// published is the part of demand that the platform's rows include.
	published requestTotals
	// firstSyncedAt is when the rows were first read.
	firstSyncedAt time.Time
	// demandByRank is the demand of each priority rank; rank 0 is the most
	// urgent.
	demandByRank [numRanks]demand
	// kept are the tokens that are kept for resumed streams, the oldest first.
	kept []keptTokens
	// platformDownSince is when the platform stopped answering; zero while it
	// answers.
	platformDownSince time.Time
	// keepForAllSizes is set if scarce tokens are kept for more urgent requests of any
	// size.
	keepForAllSizes bool
	turn            turn
	// bounds all apply at the same time.
	bounds []UsageBound
}

// SetPrepaid sets the maximum number of tokens that all routers may take
// together.
func (a *Account) SetPrepaid(tokens int64) { a.prepaid = tokens }

// Prepaid returns the maximum number of tokens that all routers may take
// together.
func (a *Account) Prepaid() int64 { return a.prepaid }

// Free returns the tokens that can be reserved now. It returns 0 while all
// routers together hold more than the prepaid amount, which happens after the
// amount was lowered.
func (a *Account) Free() int64 {
	if a.rows.Total > a.prepaid {
		return 0
	}
	return a.available()
}

// available returns the taken tokens that are neither returned, spent nor
// reserved.
func (a *Account) available() int64 {
	return a.rows.Taken - a.returned - a.spent - a.reserved
}

// Unallocated returns the tokens that no router has taken, according to the
// rows as last seen.
func (a *Account) Unallocated() int64 {
	return max(0, a.prepaid-a.rows.Total)
}

// Synced reports whether the rows were ever read.
func (a *Account) Synced() bool { return !a.syncedAt.IsZero() }

// Reserve reserves the maximum number of tokens that a request can use. It
// returns false and reserves nothing if too few tokens are held, if a usage
// bound doesn't admit them, or if the remainder would cut into the reserve for
// more urgent requests and it isn't the request's turn.
func (a *Account) Reserve(tokens int64, rank int, now time.Time) bool {
	if tokens > a.Free() || tokens > a.Headroom(now) {
		return false
	}
	kept := a.PriorityReserve(tokens, rank, now)
	if tokens <= a.Free()-kept {
		a.earnTurn(tokens)
	} else {
		mayUse := a.mayUseKept(tokens) && tokens <= a.Free()-a.resumedReserve(rank, now)
		a.recordKept(tokens, mayUse)
		if !mayUse {
			return false
		}
	}
	a.reserved += tokens
	if rank == ResumedRank {
		a.releaseKept()
	}
	return true
}

// RecordDemand adds a request for tokens to the demand estimates.
func (a *Account) RecordDemand(tokens int64, rank int, now time.Time) {
	a.demand.add(tokens, now)
	a.demandByRank[clampRank(rank)].add(tokens, now)
}

// SetPlatformDown sets whether the platform has stopped answering.
func (a *Account) SetPlatformDown(down bool, now time.Time) {
	switch {
	case !down:
		a.platformDownSince = time.Time{}
	case a.platformDownSince.IsZero():
		a.platformDownSince = now
	}
}

// SetKeepForAllSizes sets whether tokens are kept for more urgent requests of any size when
// the budget is nearly spent, instead of only for those that aren't larger on average.
func (a *Account) SetKeepForAllSizes(on bool) { a.keepForAllSizes = on }

// Settle ends a reservation, of which used tokens were consumed.
func (a *Account) Settle(reserved, used int64) {
	a.reserved -= reserved
	a.spent += used
}

// AddWaiting adds tokens, which may be negative, to the sum of the waiting
// reservations.
func (a *Account) AddWaiting(tokens int64) { a.waiting += tokens }

// Sync replaces the rows by those read from the platform.
func (a *Account) Sync(rows Rows, now time.Time) {
	if a.Synced() && rows.Requests > a.rows.Requests {
		a.otherDemand.addRequests(rows.Requests-a.rows.Requests, now)
	}
	if !a.Synced() {
		a.firstSyncedAt = now
	}
	a.rows = rows
	a.syncedAt = now
}

// OnCommitted replaces the rows by those that tx, a committed transaction of
// this account, has left.
func (a *Account) OnCommitted(rows Rows, tx Transaction, now time.Time) {
	a.published.requests += tx.After.Requests - tx.Before.Requests
	a.published.tokens += tx.After.RequestedTokens - tx.Before.RequestedTokens
	a.rows = rows
	a.syncedAt = now
}

// Stale reports whether the rows should be read again: other routers may have
// taken or returned tokens, which matters most when few are left.
func (a *Account) Stale(now time.Time) bool {
	limit := staleAfter
	if a.Unallocated() < a.prepaid/lowBalanceDivisor {
		limit = staleAfterLow
	}
	return a.Synced() && a.Free() > 0 && now.Sub(a.syncedAt) > limit
}

// RowsAge returns the time since the rows were last read or written.
func (a *Account) RowsAge(now time.Time) time.Duration { return now.Sub(a.syncedAt) }

// Rows returns the rows as last seen.
func (a *Account) Rows() Rows { return a.rows }

// Transaction is one transaction to commit: the rows before, on whose versions
// it is conditional, and the rows after.
type Transaction struct {
	Before, After Rows
}

// NextTransaction returns the next transaction, or false if none is needed.
// Tokens that it returns to the platform stop counting as held immediately.
func (a *Account) NextTransaction(now time.Time) (Transaction, bool) {
	if !a.Synced() {
		return Transaction{}, false
	}
	desired := a.desiredHolding(now)
	free := a.Free()
	a.returnSurplus(free, desired, now)
	take := a.tokensToTake(free, desired)
	after := a.rows
	after.Taken += take
	after.Returned = a.returned
	after.Total += take - (a.returned - a.rows.Returned)
	if after == a.rows {
		return Transaction{}, false
	}
	after.Requests += a.demand.total.requests - a.published.requests
	after.RequestedTokens += a.demand.total.tokens - a.published.tokens
	return Transaction{Before: a.rows, After: after}, true
}

// ReturnAll returns every token that isn't reserved. It is used at a planned
// shutdown.
func (a *Account) ReturnAll() {
	a.returned += max(0, a.available())
	a.demand.weightedCount = 0
}
