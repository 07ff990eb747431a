package allotment

import (
	"math"
	"time"
)

const (
	// outageHorizon is how long the held tokens should last while the platform
	// doesn't answer.
	outageHorizon = 20 * time.Second
	// initialHorizon is that time for a router that has just started, whose
	// demand isn't known well yet. It then grows to outageHorizon with the time
	// since the first read of the rows.
	initialHorizon = 2 * time.Second
	// demandMargin is the expected demand as a multiple of the average rate,
	// and stdDevs the number of standard deviations added to it.
	demandMargin = 1.25
	stdDevs      = 2.0
	// heldToUnallocated is the ratio of held to unallocated tokens at which
	// routers stop taking more, if they all want more than there is.
	heldToUnallocated = 9
	// prefetchDivisor limits what one transaction takes beyond the waiting
	// reservations to a fraction of the unallocated tokens, so that the first
	// router to ask doesn't take most of them.
	prefetchDivisor = 5
	// surplusDivisor gives the fraction of a surplus that is returned at once;
	// the rest follows if it is still a surplus later.
	surplusDivisor = 2
	// refillThreshold is the fraction of the desired holding below which more
	// tokens are taken.
	refillThreshold = 0.75
	// demandTimeConstant is the time constant of the exponential decay of past
	// demand.
	demandTimeConstant = 20 * time.Second
	// numRanks is the number of priority ranks.
	numRanks = 10
	// expectedOutage is the expected duration of a platform outage. The demand
	// of more urgent requests is reserved for what remains of it.
	expectedOutage = 8 * time.Second
	// minReserveHorizon is the least time for which that demand is reserved.
	minReserveHorizon = time.Second
	// scarceReserveHorizon is the time for which it is reserved when a budget is
	// nearly spent. The requests that it serves are smaller than those that it
	// refuses, so the last tokens serve more callers, and for longer.
	scarceReserveHorizon = 6 * time.Second
	// lessUrgentDivisor is the fraction of the tokens reserved for more urgent requests that
	// less urgent ones may take nevertheless where tokens are kept for all sizes. Without
	// it, a kind of requests would starve as long as the more urgent ask for all tokens
	// that are returned.
	lessUrgentDivisor = 8
	// minRateWindow is the shortest time over which a rate is estimated.
	minRateWindow = 2 * time.Second
	// returnInterval is the minimum time between two returns of a surplus.
	returnInterval = time.Second
	// staleAfter and staleAfterLow are the ages after which rows are read
	// again. The second applies when less than 1/lowBalanceDivisor of the
	// prepaid amount is unallocated.
	staleAfter        = 5 * time.Second
	staleAfterLow     = 2 * time.Second
	lowBalanceDivisor = 5
)

// demand estimates the request rate, by an exponentially weighted count, and
// the tokens that each request asks for.
type demand struct {
	// weightedCount is the exponentially weighted number of requests, as of
	// lastAt.
	weightedCount float64
	firstAt       time.Time
	lastAt        time.Time
	// total is what they asked for over the whole lifetime.
	total requestTotals
}

// requestTotals counts requests and sums the tokens that they ask for.
type requestTotals struct {
	requests, tokens int64
	// sumSquares is the sum of the squares of the requests' tokens.
	sumSquares float64
}

// meanTokens returns the mean number of tokens of a request.
func (a requestTotals) meanTokens() float64 {
	if a.requests == 0 {
		return 0
	}
	return float64(a.tokens) / float64(a.requests)
}

// meanSquare returns the mean of the squares of the requests' tokens.
func (a requestTotals) meanSquare() float64 {
	if a.requests == 0 {
		return 0
	}
	return a.sumSquares / float64(a.requests)
}

// add records one request.
func (d *demand) add(tokens int64, now time.Time) {
	d.total.requests++
	d.total.tokens += tokens
	d.total.sumSquares += float64(tokens) * float64(tokens)
	d.addRequests(1, now)
}

// addRequests records a number of requests of unknown size.
func (d *demand) addRequests(requests int64, now time.Time) {
	d.weightedCount = d.weightedCount*d.decay(now) + float64(requests)
	d.lastAt = now
	if d.firstAt.IsZero() {
		d.firstAt = now
	}
}

// rate returns the requests per second. The decaying weights of a window
// shorter than the time constant sum to less than the time constant, which the
// divisor corrects for.
func (d *demand) rate(now time.Time) float64 {
	if d.firstAt.IsZero() {
		return 0
	}
	window := max(now.Sub(d.firstAt), minRateWindow).Seconds()
	timeConstant := demandTimeConstant.Seconds()
	return d.weightedCount * d.decay(now) / (timeConstant * (1 - math.Exp(-window/timeConstant)))
}

// tokenRate returns the requested tokens per second.
func (d *demand) tokenRate(now time.Time) float64 { return d.rate(now) * d.total.meanTokens() }

func (d *demand) decay(now time.Time) float64 {
	if d.lastAt.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(d.lastAt).Seconds() / demandTimeConstant.Seconds())
}
