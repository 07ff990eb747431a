package allotment

import (
	"math"
	"time"
)

const (
	// holdHorizon is how long the held tokens should last at the usual rate
	// while the platform doesn't answer.
	holdHorizon = 12 * time.Second
	// holdDivisor bounds what one router holds by a part of what is left, so
	// that the end of a budget isn't spread over many routers.
	holdDivisor = 15
	// refillDivisor sets the part of the goal at which more is taken.
	refillDivisor = 2
	// demandMemory is how long past demand counts.
	demandMemory = 10 * time.Second
	// quietTime is how long after the last reservation a surplus is kept.
	quietTime = 500 * time.Millisecond
)

// demand estimates the tokens reserved a second, by an exponentially weighted
// sum.
type demand struct {
	sum  float64
	last time.Time
}

func (d *demand) add(tokens int64, now time.Time) {
	d.sum = d.sum*d.decay(now) + float64(tokens)
	d.last = now
}

// rate returns tokens a second.
func (d *demand) rate(now time.Time) float64 {
	return d.sum * d.decay(now) / demandMemory.Seconds()
}

// quiet tells whether nothing was reserved for a while.
func (d *demand) quiet(now time.Time) bool { return now.Sub(d.last) >= quietTime }

func (d *demand) decay(now time.Time) float64 {
	if d.last.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(d.last).Seconds() / demandMemory.Seconds())
}
