package allotment

import (
	"math"
	"time"
)

// goal returns the tokens to hold beside what waits: what a time without the
// platform needs, and where tokens are scarce a part by this router's share of
// the demand.
func (a *Account) goal(now time.Time) int64 {
	horizon := min(holdHorizon, firstHorizon+now.Sub(a.firstSynced))
	return min(a.need(horizon, now), int64(float64(a.Unallocated())*holdFactor*a.share(now)))
}

// need returns the tokens that suffice this router for a time, but in few cases.
func (a *Account) need(t time.Duration, now time.Time) int64 {
	variance := a.demand.rate(now) * a.demand.all.meanSquare()
	return int64(a.rate(now)*demandFactor*t.Seconds() + deviations*math.Sqrt(variance*t.Seconds()))
}

// rate returns the tokens a second that requests at this router ask for. Sizes
// vary much, so the usual size is that of the requests at all routers.
func (a *Account) rate(now time.Time) float64 { return a.demand.rate(now) * a.size() }

// size returns the usual tokens of a request at any router.
func (a *Account) size() float64 {
	all := a.demand.all
	all.requests += max(a.rows.Requests-a.told.requests, 0)
	all.tokens += max(a.rows.RequestedTokens-a.told.tokens, 0)
	return all.size()
}

// share returns this router's part of the demand at all routers, of which
// nothing is heard while the platform can't be reached.
func (a *Account) share(now time.Time) float64 {
	own := a.demand.rate(now)
	if own == 0 {
		return 0
	}
	return own / (own + a.others.rate(a.syncedAt))
}

// giveBack marks what is held far beyond the goal as given back, and all of it
// where the prepaid amount was lowered below what routers hold.
func (a *Account) giveBack(free, goal int64, now time.Time) {
	if a.rows.Total > a.prepaid {
		a.returned += max(0, a.held())
		return
	}
	surplus := free - goal - a.wanted
	if a.wanted > 0 || surplus <= goal/2 || now.Sub(a.returnedAt) < returnInterval {
		return
	}
	a.returnedAt = now
	a.returned += surplus / returnDivisor
}

// shortfall returns the tokens to take now.
func (a *Account) shortfall(free, goal int64) int64 {
	missing := a.wanted - free
	if missing <= 0 && float64(free-a.wanted) >= float64(goal)*refillPart {
		return 0
	}
	left := a.Unallocated()
	if missing > left {
		return 0
	}
	return min(max(missing, 0)+min(max(goal-max(free-a.wanted, 0), 0), left/aheadDivisor), left)
}

// PriorityReserve returns the tokens that are kept for more urgent requests, where tokens
// are scarce. While the platform can't be reached they are kept for all of
// them; near a budget's end only for those that usually take no more than this
// request does.
func (a *Account) PriorityReserve(tokens int64, rank int, now time.Time) int64 {
	if !a.cutSince.IsZero() {
		horizon := max(keepWhileCut-now.Sub(a.cutSince), keepAtEnd)
		return int64(a.urgentRate(rank, math.MaxInt64, now) * horizon.Seconds())
	}
	kept := int64(a.urgentRate(rank, tokens, now) * keepAtEnd.Seconds())
	if a.Unallocated() < kept {
		return kept
	}
	return 0
}

// urgentRate returns the tokens a second that requests more urgent than the
// rank ask for, of the ranks whose requests usually take no more than most.
func (a *Account) urgentRate(rank int, most int64, now time.Time) float64 {
	rate := 0.0
	for i := range clampRank(rank) {
		if a.byRank[i].all.size() <= float64(most) {
			rate += a.byRank[i].tokenRate(now)
		}
	}
	return rate
}

func clampRank(rank int) int { return min(max(rank, 0), ranks-1) }
