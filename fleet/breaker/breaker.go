// Package breaker implements a circuit breaker: it decides whether to call a
// peer that has failed.
//
// A breaker that opens lets no call through for a time that doubles with each
// further failure. After that it lets one call at a time through, as a probe,
// until a call succeeds. It reads no clock: every input carries its time.
package breaker

import "time"

// maxDoublings keeps the doubled open time from overflowing.
const maxDoublings = 8

// Breaker is a circuit breaker. It isn't safe for concurrent use.
type Breaker struct {
	// minOpen and maxOpen bound the time for which the breaker is open.
	minOpen, maxOpen time.Duration
	// extraFailures counts the failures beyond the one that opened the breaker;
	// -1 means that it is closed.
	extraFailures int
	openUntil     time.Time
	// probing is set while a probe is in progress.
	probing bool
}

// New returns a closed breaker. The first failure opens it for minOpen; no
// number of failures opens it for longer than maxOpen.
func New(minOpen, maxOpen time.Duration) Breaker {
	return Breaker{minOpen: minOpen, maxOpen: maxOpen, extraFailures: -1}
}

// Closed reports whether all calls are let through.
func (b *Breaker) Closed() bool { return b.extraFailures < 0 }

// Accepts reports whether a call may be made.
func (b *Breaker) Accepts(now time.Time) bool {
	return b.Closed() || !now.Before(b.openUntil) && !b.probing
}

// Begin records that a call is made. It reports whether the call is a probe,
// which ends with EndProbe.
func (b *Breaker) Begin() (probe bool) {
	if b.Closed() {
		return false
	}
	b.probing = true
	return true
}

// EndProbe records that the probe has ended, whatever its result.
func (b *Breaker) EndProbe() { b.probing = false }

// RecordFailure opens the breaker, or extends the time for which it is open.
func (b *Breaker) RecordFailure(now time.Time) {
	b.extraFailures++
	b.openUntil = now.Add(min(b.minOpen<<min(b.extraFailures, maxDoublings), b.maxOpen))
}

// Reset closes the breaker.
func (b *Breaker) Reset() { *b = New(b.minOpen, b.maxOpen) }
