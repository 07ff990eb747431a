// Package egress estimates how far a router's sends are behind on its network
// link.
//
// What is sent beyond the rate of the link waits in queues that the router can't
// see: connections then can't be opened in time, and events arrive late. A Meter is
// a leaky bucket that drains at the link's rate. It reads no clock: every input
// carries its time.
package egress

import (
	"sync"
	"time"
)

const (
	// usableShare is the part of the link's rate that payload can use.
	usableShare = 0.9
	// overloadedFrom is the delay on the link from which on new work should be
	// refused.
	overloadedFrom = 150 * time.Millisecond
	// urgentFactor is the multiple of overloadedFrom from which on urgent work
	// should be refused too.
	urgentFactor = 2
	// bytesPerSecondPerMbps converts the unit of link rates.
	bytesPerSecondPerMbps = 1e6 / 8
)

// Meter estimates the bytes that wait to be sent. It is safe for concurrent use.
type Meter struct {
	// bytesPerSecond is the rate at which bytes leave; 0 means no limit.
	bytesPerSecond float64

	mu      sync.Mutex
	waiting float64
	at      time.Time
}

// NewMeter returns a meter of a link with a rate in Mbit/s; 0 means no limit.
func NewMeter(linkMbps float64) *Meter {
	return &Meter{bytesPerSecond: linkMbps * bytesPerSecondPerMbps * usableShare}
}

// Add records bytes to send.
func (m *Meter) Add(bytes int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drain(now)
	m.waiting += float64(bytes)
}

// Overloaded reports whether new work should be refused, since it would wait on the
// link; urgent work is refused last.
func (m *Meter) Overloaded(urgent bool, now time.Time) bool {
	limit := overloadedFrom
	if urgent {
		limit *= urgentFactor
	}
	return m.delay(now) >= limit
}

// delay returns how long bytes sent now wait.
func (m *Meter) delay(now time.Time) time.Duration {
	if m.bytesPerSecond == 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drain(now)
	return time.Duration(m.waiting / m.bytesPerSecond * float64(time.Second))
}

// drain removes the bytes that have left by now.
func (m *Meter) drain(now time.Time) {
	if now.After(m.at) {
		m.waiting = max(m.waiting-now.Sub(m.at).Seconds()*m.bytesPerSecond, 0)
		m.at = now
	}
}
