package allotment

import (
	"math"
	"time"
)

const (
	// holdHorizon is how long the held tokens should last at the usual rate
	// while the platform doesn't answer.
	holdHorizon = 30 * time.Second
	// holdDivisor bounds what one router holds by a part of what is left. With
	// n routers that all want more, each comes to hold a part in n+holdDivisor.
	holdDivisor = 1
	// aheadDivisor bounds what one transaction takes beyond what waits by a
	// part of what is left, so that the first to ask doesn't take most.
	aheadDivisor = 5
	// returnDivisor is the part of a surplus that is given back at once; the
	// rest follows if it is still a surplus.
	returnDivisor = 2
	// refillPart is the part of the goal below which more is taken.
	refillPart = 0.75
	// demandMemory is how long past demand counts.
	demandMemory = 10 * time.Second
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

// demand estimates the tokens reserved a second, by an exponentially weighted
// sum.
type demand struct {
	sum float64
	// count is the number of reservations, weighted likewise.
	count float64
	first time.Time
	last  time.Time
}

func (d *demand) add(tokens int64, now time.Time) {
	decay := d.decay(now)
	d.sum = d.sum*decay + float64(tokens)
	d.count = d.count*decay + 1
	d.last = now
	if d.first.IsZero() {
		d.first = now
	}
}

// rate returns tokens a second. The weights of a short past sum to less than
// the memory.
func (d *demand) rate(now time.Time) float64 {
	if d.first.IsZero() {
		return 0
	}
	past := max(now.Sub(d.first), shortestPast).Seconds()
	memory := demandMemory.Seconds()
	return d.sum * d.decay(now) / (memory * (1 - math.Exp(-past/memory)))
}

// size returns the usual tokens of a reservation.
func (d *demand) size() float64 {
	if d.count == 0 {
		return 0
	}
	return d.sum / d.count
}

func (d *demand) decay(now time.Time) float64 {
	if d.last.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(d.last).Seconds() / demandMemory.Seconds())
}
