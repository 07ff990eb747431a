// Package lag measures how late a process gets the processor.
//
// A router with more work than processor time falls behind: whatever is ready to
// run waits behind everything else, and requests that it has accepted miss their
// deadlines. The lateness of a short timer shows this within a fraction of a
// second, whatever the cause.
package lag

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// sampleInterval is the time between two samples.
	sampleInterval = 20 * time.Millisecond
	// maxSample bounds one sample, so that a process that was suspended recovers
	// within a few samples.
	maxSample = 500 * time.Millisecond
	// sampleDivisor gives the weight of a new sample in the average.
	sampleDivisor = 4
	// overloadedFrom is the average lateness from which on the process is
	// overloaded. A VM whose processor time is a quota may stand still for up to a
	// tenth of a second without being so.
	overloadedFrom = 120 * time.Millisecond
	// urgentFactor is the multiple of overloadedFrom from which on the process has
	// no processor time for urgent work either.
	urgentFactor = 2
)

// Monitor keeps an average of the lateness. It is safe for concurrent use.
type Monitor struct {
	average atomic.Int64
}

// Run samples the lateness until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	timer := time.NewTimer(sampleInterval)
	defer timer.Stop()
	for due := time.Now().Add(sampleInterval); ; due = time.Now().Add(sampleInterval) {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		m.add(time.Since(due))
		timer.Reset(sampleInterval)
	}
}

// add adds one sample to the average.
func (m *Monitor) add(late time.Duration) {
	late = min(max(late, 0), maxSample)
	average := time.Duration(m.average.Load())
	m.average.Store(int64(average + (late-average)/sampleDivisor))
}

// Overloaded reports whether the process has more work than processor time, so that
// new work should be refused; urgent work is refused last.
func (m *Monitor) Overloaded(urgent bool) bool {
	if urgent {
		return m.Lateness() >= urgentFactor*overloadedFrom
	}
	return m.Lateness() >= overloadedFrom
}

// Lateness returns the average lateness.
func (m *Monitor) Lateness() time.Duration { return time.Duration(m.average.Load()) }
