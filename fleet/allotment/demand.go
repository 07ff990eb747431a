package allotment

import (
	"math"
	"time"
)

const (
	// holdHorizon is how long the held tokens should last while the platform
	// doesn't answer.
	holdHorizon = 20 * time.Second
	// firstHorizon is that time for a router that has just started: little is
	// known of its demand.
	firstHorizon = 2 * time.Second
	// demandFactor is what is expected as a multiple of the usual rate, and
	// deviations how many standard deviations a need adds.
	demandFactor = 1.25
	deviations   = 2.0
	// holdFactor is what routers that want more come to hold together, as a
	// multiple of what they leave.
	holdFactor = 9
	// aheadDivisor bounds what one transaction takes beyond what waits by a
	// part of what is left, so that the first to ask doesn't take most.
	aheadDivisor = 5
	// returnDivisor is the part of a surplus that is given back at once; the
	// rest follows if it is still a surplus.
	returnDivisor = 2
	// refillPart is the part of the goal below which more is taken.
	refillPart = 0.75
	// demandMemory is how long past demand counts.
	demandMemory = 20 * time.Second
	// ranks is the number of ranks of urgency.
	ranks = 10
	// keepWhileCut is how long an outage of the platform is expected to last:
	// the demand of more urgent requests is kept for what remains of it.
	keepWhileCut = 8 * time.Second
	// keepAtEnd is how long that demand is kept where a budget is near its end.
	keepAtEnd = time.Second
	// shortestPast is the least time over which a rate is estimated.
	shortestPast = 2 * time.Second
	// returnInterval is the time between two returns of a surplus.
	returnInterval = time.Second
	// staleAfter and staleAfterLow are the ages at which rows are read again,
	// the second where less than a part in lowDivisor of the budget is left.
	staleAfter    = 5 * time.Second
	staleAfterLow = 2 * time.Second
	lowDivisor    = 5
)

// demand estimates how many requests come a second, by an exponentially
// weighted count, and what each of them asks for.
type demand struct {
	// recent is the weighted count.
	recent float64
	first  time.Time
	last   time.Time
	// all is what they asked for over all time.
	all asked
}

// asked counts requests, and sums what they ask for.
type asked struct {
	requests, tokens int64
	// squares is the sum of the tokens' squares.
	squares float64
}

// size returns the usual tokens of a request.
func (a asked) size() float64 {
	if a.requests == 0 {
		return 0
	}
	return float64(a.tokens) / float64(a.requests)
}

// meanSquare returns the mean of the tokens' squares.
func (a asked) meanSquare() float64 {
	if a.requests == 0 {
		return 0
	}
	return a.squares / float64(a.requests)
}

// add takes a request.
func (d *demand) add(tokens int64, now time.Time) {
	d.all.requests++
	d.all.tokens += tokens
	d.all.squares += float64(tokens) * float64(tokens)
	d.count(1, now)
}

// count takes a number of requests of unknown size.
func (d *demand) count(requests int64, now time.Time) {
	d.recent = d.recent*d.decay(now) + float64(requests)
	d.last = now
	if d.first.IsZero() {
		d.first = now
	}
}

// rate returns requests a second. The weights of a short past sum to less than
// the memory.
func (d *demand) rate(now time.Time) float64 {
	if d.first.IsZero() {
		return 0
	}
	past := max(now.Sub(d.first), shortestPast).Seconds()
	memory := demandMemory.Seconds()
	return d.recent * d.decay(now) / (memory * (1 - math.Exp(-past/memory)))
}

// tokenRate returns the tokens a second that they ask for.
func (d *demand) tokenRate(now time.Time) float64 { return d.rate(now) * d.all.size() }

func (d *demand) decay(now time.Time) float64 {
	if d.last.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(d.last).Seconds() / demandMemory.Seconds())
}
