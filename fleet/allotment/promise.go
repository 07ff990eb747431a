package allotment

import (
	"math"
	"time"
)

// UsageBound bounds what a router may consume of a workspace, over its life, until
// it makes another. The bound grows with the time since: by the usual demand in
// the first seconds, in which a run that died is followed by the next and little
// is to be left in doubt, and so much later that a router that is cut off from
// the platform can use all it holds. The platform keeps it, so that the next run
// on the same machine knows what a run that died can have consumed at most.
//
// From the sending of a promise on it holds beside those before it, since it
// may have been taken. Once it is known to be taken, it replaces them.
type UsageBound struct {
	Limit int64
	// Rate, in tokens a second, makes the bound grow as demand does.
	Rate float64
	// Surge x t^3 tokens come on top in t seconds after SurgeAfter.
	Surge      float64
	SurgeAfter time.Duration
	Since      time.Time
}

const (
	// aheadTime is how long the tokens of a fresh promise last at the usual
	// rate, beside a part of a usual reservation, so that few requests have to
	// wait for another.
	aheadTime         = 300 * time.Millisecond
	aheadReservations = 0.25
	// surgeFactor is the surge of a promise as a part of a usual reservation
	// and a second's usual tokens together.
	surgeFactor = 2.0
	// surgeAfter is the time in which a run that died is mostly followed by the
	// next.
	surgeAfter = 2 * time.Second
	// promiseStep is how exactly PromisedIn tells a time.
	promiseStep = 100 * time.Millisecond
	// clockMargin covers steady clocks of different machines.
	clockMargin = 1.02
	// longestGrowth keeps the bound within what its type holds.
	longestGrowth = time.Hour
)

// At returns the most tokens that may have been consumed at a time.
func (p UsageBound) At(now time.Time) int64 {
	return p.Limit + p.growth(now.Sub(p.Since).Seconds())
}

// MaxAfter returns the most tokens that a holder of the promise can have consumed
// when elapsed has passed on the platform's clock since the promise's time.
func (p UsageBound) MaxAfter(elapsed time.Duration) int64 {
	return p.Limit + p.growth(elapsed.Seconds()*clockMargin)
}

// growth returns the tokens that the bound has grown by after t seconds.
func (p UsageBound) growth(t float64) int64 {
	t = min(max(t, 0), longestGrowth.Seconds())
	surging := max(t-p.SurgeAfter.Seconds(), 0)
	return int64(math.Ceil(p.Rate*t + p.Surge*surging*surging*surging))
}

// NextBound returns a promise to send. It covers what is reserved and waits.
func (a *Account) NextBound(now time.Time) UsageBound {
	rate := a.rate(now)
	return UsageBound{
		Limit:      a.spent + a.reserved + a.wanted + a.ahead(now),
		Rate:       rate * demandFactor,
		Surge:      (rate + a.size()) * surgeFactor,
		SurgeAfter: surgeAfter,
		Since:      now,
	}
}

// AddBound makes a promise hold that is about to be sent.
func (a *Account) AddBound(p UsageBound) { a.promises = append(a.promises, p) }

// ConfirmBound replaces all promises by one that the platform has.
func (a *Account) ConfirmBound(p UsageBound) { a.promises = []UsageBound{p} }

// DropLastBound ends the newest promise, which the platform never took.
func (a *Account) DropLastBound() {
	if len(a.promises) > 0 {
		a.promises = a.promises[:len(a.promises)-1]
	}
}

// Headroom returns the tokens that the promises leave.
func (a *Account) Headroom(now time.Time) int64 {
	left := int64(math.MaxInt64)
	for _, p := range a.promises {
		left = min(left, p.At(now)-a.spent-a.reserved)
	}
	return left
}

// HeadroomLow tells whether the promises leave less than half of what a fresh
// one would.
func (a *Account) HeadroomLow(now time.Time) bool {
	return a.Headroom(now) < a.ahead(now)/2
}

// ahead returns the tokens of a fresh promise beyond what is reserved.
func (a *Account) ahead(now time.Time) int64 {
	return int64(a.rate(now)*aheadTime.Seconds() + a.size()*aheadReservations)
}

// BlockedByBound tells whether tokens are held, but a promise forbids to reserve
// them.
func (a *Account) BlockedByBound(tokens int64, now time.Time) bool {
	return tokens <= a.Free() && tokens > a.Headroom(now)
}

// TimeToHeadroom returns the time until the promises allow to reserve tokens, if no
// other request comes; it looks ahead no further than most.
func (a *Account) TimeToHeadroom(tokens int64, now time.Time, most time.Duration) time.Duration {
	for wait := time.Duration(0); wait < most; wait += promiseStep {
		if tokens <= a.Headroom(now.Add(wait)) {
			return wait
		}
	}
	return most
}
