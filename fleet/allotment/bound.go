package allotment

import (
	"math"
	"time"
)

// UsageBound is an upper bound on the tokens of a workspace that a router
// process consumes over its lifetime, valid until the process sends another
// one. The platform stores it, so that the next process on the same machine
// knows how much a crashed process can have consumed at most.
//
// The bound grows with time. In the first seconds it grows with the expected
// demand: a crashed process is usually replaced within that time, and little
// usage should be left uncertain. Later it grows so much that a router that is
// cut off from the platform can use all the tokens it holds.
//
// A bound applies, in addition to the earlier ones, from the moment it is sent,
// because the platform may have stored it even if the response is lost. Once
// it is known to be stored, it replaces the earlier ones.
type UsageBound struct {
	// Limit is the bound at the time Since.
	Limit int64
	// Rate, in tokens per second, makes the bound grow with the demand.
	Rate float64
	// Surge x t^3 tokens are added t seconds after SurgeAfter has elapsed.
	Surge      float64
	SurgeAfter time.Duration
	Since      time.Time
}

const (
	// headroomTime is how long the headroom of a new bound lasts at the average
	// rate, and headroomReservations the fraction of an average reservation
	// that is added, so that few requests have to wait for the next bound.
	headroomTime         = 300 * time.Millisecond
	headroomReservations = 0.25
	// surgeFactor is the surge of a bound as a multiple of the sum of an
	// average reservation and the average tokens of a second.
	surgeFactor = 0.3
	// surgeAfter is the time within which a crashed process is usually
	// replaced.
	surgeAfter = 2500 * time.Millisecond
	// headroomSearchStep is the resolution of TimeToHeadroom.
	headroomSearchStep = 100 * time.Millisecond
	// clockDriftMargin allows for different rates of the monotonic clocks of
	// two machines.
	clockDriftMargin = 1.02
	// maxGrowthTime keeps the bound from overflowing int64.
	maxGrowthTime = time.Hour
)

// At returns the maximum number of tokens that may have been consumed by now.
func (b UsageBound) At(now time.Time) int64 {
	return b.Limit + b.growth(now.Sub(b.Since).Seconds())
}

// MaxAfter returns the maximum number of tokens that a process under this bound
// can have consumed when elapsed has passed on the platform's clock since the
// bound's time.
func (b UsageBound) MaxAfter(elapsed time.Duration) int64 {
	return b.Limit + b.growth(elapsed.Seconds()*clockDriftMargin)
}

// growth returns the tokens that the bound has grown by after t seconds.
func (b UsageBound) growth(t float64) int64 {
	t = min(max(t, 0), maxGrowthTime.Seconds())
	surgeSeconds := max(t-b.SurgeAfter.Seconds(), 0)
	return int64(math.Ceil(b.Rate*t + b.Surge*surgeSeconds*surgeSeconds*surgeSeconds))
}

// NextBound returns a bound to send. It covers the reserved tokens and the
// waiting reservations.
func (a *Account) NextBound(now time.Time) UsageBound {
	rate := a.tokenRate(now)
	return UsageBound{
		Limit:      a.spent + a.reserved + a.waiting + a.freshHeadroom(now),
		Rate:       rate * demandMargin,
		Surge:      (rate + a.meanRequestTokens()) * surgeFactor,
		SurgeAfter: surgeAfter,
		Since:      now,
	}
}

// AddBound puts a bound into force that is about to be sent.
func (a *Account) AddBound(b UsageBound) { a.bounds = append(a.bounds, b) }

// ConfirmBound replaces all bounds by one that the platform has stored.
func (a *Account) ConfirmBound(b UsageBound) { a.bounds = []UsageBound{b} }

// DropLastBound removes the newest bound, which the platform never stored.
func (a *Account) DropLastBound() {
	if len(a.bounds) > 0 {
		a.bounds = a.bounds[:len(a.bounds)-1]
	}
}

// Headroom returns the tokens that can still be reserved within all bounds.
func (a *Account) Headroom(now time.Time) int64 {
	headroom := int64(math.MaxInt64)
	for _, b := range a.bounds {
		headroom = min(headroom, b.At(now)-a.spent-a.reserved)
	}
	return headroom
}

// HeadroomLow reports whether the headroom is less than half of that of a new
// bound.
func (a *Account) HeadroomLow(now time.Time) bool {
	return a.Headroom(now) < a.freshHeadroom(now)/2
}

// freshHeadroom returns the tokens by which a new bound exceeds the tokens
// spent, reserved and waited for.
func (a *Account) freshHeadroom(now time.Time) int64 {
	return int64(a.tokenRate(now)*headroomTime.Seconds() + a.meanRequestTokens()*headroomReservations)
}

// BlockedByBound reports whether enough tokens are held, but a bound prevents
// their reservation.
func (a *Account) BlockedByBound(tokens int64, now time.Time) bool {
	return tokens <= a.Free() && tokens > a.Headroom(now)
}

// TimeToHeadroom returns the time until the bounds admit a reservation of
// tokens if no other request comes in between, at most limit.
func (a *Account) TimeToHeadroom(tokens int64, now time.Time, limit time.Duration) time.Duration {
	for wait := time.Duration(0); wait < limit; wait += headroomSearchStep {
		if tokens <= a.Headroom(now.Add(wait)) {
			return wait
		}
	}
	return limit
}
