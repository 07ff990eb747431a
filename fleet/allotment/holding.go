package allotment

import (
	"math"
	"time"
)

// desiredHolding returns the tokens to hold in addition to the waiting
// reservations: enough for an outage of the platform, limited by this router's
// share of the demand when tokens are scarce.
func (a *Account) desiredHolding(now time.Time) int64 {
	horizon := min(outageHorizon, initialHorizon+now.Sub(a.firstSyncedAt))
	return min(a.tokensNeeded(horizon, now), int64(float64(a.Unallocated())*heldToUnallocated*a.demandShare(now)))
}

// tokensNeeded returns the tokens that suffice for this router's demand over
// the horizon in all but a few cases.
func (a *Account) tokensNeeded(horizon time.Duration, now time.Time) int64 {
	variance := a.demand.rate(now) * a.demand.total.meanSquare()
	return int64(a.tokenRate(now)*demandMargin*horizon.Seconds() + stdDevs*math.Sqrt(variance*horizon.Seconds()))
}

// tokenRate returns the tokens per second that requests at this router ask for.
// Request sizes vary widely, so it uses the mean size at all routers.
func (a *Account) tokenRate(now time.Time) float64 { return a.demand.rate(now) * a.meanRequestTokens() }

// meanRequestTokens returns the mean number of tokens of a request at all
// routers.
func (a *Account) meanRequestTokens() float64 {
	all := a.demand.total
	all.requests += max(a.rows.Requests-a.published.requests, 0)
	all.tokens += max(a.rows.RequestedTokens-a.published.tokens, 0)
	return all.meanTokens()
}

// demandShare returns this router's share of the demand at all routers. The
// demand of the others is taken as of the last sync, since nothing is known of
// it while the platform can't be reached.
func (a *Account) demandShare(now time.Time) float64 {
	own := a.demand.rate(now)
	if own == 0 {
		return 0
	}
	return own / (own + a.otherDemand.rate(a.syncedAt))
}

// returnSurplus marks tokens far beyond the desired holding as returned, and
// all unreserved tokens if the prepaid amount was lowered below what the
// routers hold.
func (a *Account) returnSurplus(free, desired int64, now time.Time) {
	if a.rows.Total > a.prepaid {
		a.returned += max(0, a.available())
		return
	}
	surplus := free - desired - a.waiting - a.keptForResumed(now)
	if a.waiting > 0 || surplus <= desired/2 || now.Sub(a.returnedAt) < returnInterval {
		return
	}
	a.returnedAt = now
	a.returned += surplus / surplusDivisor
}

// tokensToTake returns the tokens to take now.
func (a *Account) tokensToTake(free, desired int64) int64 {
	missing := a.waiting - free
	if missing <= 0 && float64(free-a.waiting) >= float64(desired)*refillThreshold {
		return 0
	}
	unallocated := a.Unallocated()
	if missing > unallocated {
		return 0
	}
	return min(max(missing, 0)+min(max(desired-max(free-a.waiting, 0), 0), unallocated/prefetchDivisor), unallocated)
}

// PriorityReserve returns the tokens that are reserved for more urgent requests
// while tokens are scarce. While the platform can't be reached, it covers all
// more urgent requests; when the budget is nearly spent, only the ranks whose
// mean request size is at most that of this request, unless it keeps them for all sizes.
// What resumed streams wait for is reserved unless the unallocated tokens cover it.
func (a *Account) PriorityReserve(tokens int64, rank int, now time.Time) int64 {
	return max(a.rankReserve(tokens, rank, now), a.resumedReserve(rank, now))
}

// resumedReserve returns the tokens that are reserved for resumed streams.
func (a *Account) resumedReserve(rank int, now time.Time) int64 {
	if rank == ResumedRank {
		return 0
	}
	return max(a.keptForResumed(now)-a.Unallocated(), 0)
}

// rankReserve returns the tokens that are reserved for requests of more urgent ranks.
func (a *Account) rankReserve(tokens int64, rank int, now time.Time) int64 {
	if !a.platformDownSince.IsZero() {
		horizon := max(expectedOutage-now.Sub(a.platformDownSince), minReserveHorizon)
		return int64(a.urgentRate(rank, math.MaxInt64, now) * horizon.Seconds())
	}
	maxTokens := tokens
	if a.keepForAllSizes {
		maxTokens = math.MaxInt64
	}
	reserve := int64(a.urgentRate(rank, maxTokens, now) * scarceReserveHorizon.Seconds())
	if a.Unallocated() < reserve {
		return reserve
	}
	return 0
}

// turn is the tokens that less urgent requests may take of those that are kept for more
// urgent ones of any size.
type turn struct {
	// wanted is the size of the last less urgent request that was refused for the others'
	// sake, and earned what such requests may take.
	wanted, earned int64
}

// mayUseKept reports whether the tokens kept for others may be used for a request.
func (a *Account) mayUseKept(tokens int64) bool {
	return a.keepForAllSizes && a.platformDownSince.IsZero() && tokens <= a.turn.earned
}

// recordKept records that kept tokens were used for, or refused to, a less urgent request.
func (a *Account) recordKept(tokens int64, used bool) {
	if used {
		a.turn.earned -= tokens
		return
	}
	a.turn.wanted = tokens
}

// earnTurn records that tokens were reserved for a request for which nothing is kept from
// others.
func (a *Account) earnTurn(tokens int64) {
	a.turn.earned = min(a.turn.earned+tokens/lessUrgentDivisor, a.turn.wanted)
}

// urgentRate returns the tokens per second that requests more urgent than rank
// ask for. It counts only ranks whose mean request size is at most maxTokens.
func (a *Account) urgentRate(rank int, maxTokens int64, now time.Time) float64 {
	rate := 0.0
	for i := range clampRank(rank) {
		if a.demandByRank[i].total.meanTokens() <= float64(maxTokens) {
			rate += a.demandByRank[i].tokenRate(now)
		}
	}
	return rate
}

func clampRank(rank int) int { return min(max(rank, 0), numRanks-1) }
