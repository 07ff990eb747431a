package reachability

import (
	"sync"
	"time"
)

// traffic tracks the responses that are awaited from targets. The zero value has none.
type traffic struct {
	mu      sync.Mutex
	awaited int
	// quietSince is the time since which nothing has arrived while any were awaited.
	quietSince time.Time
}

// Begin records that a request is sent whose response is awaited.
func (m *Monitor) Begin() {
	t := &m.traffic
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.awaited == 0 {
		t.quietSince = m.Now()
	}
	t.awaited++
}

// Progress records that a part of a response arrived.
func (m *Monitor) Progress() {
	t := &m.traffic
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quietSince = m.Now()
}

// End records that a response is no longer awaited.
func (m *Monitor) End() {
	t := &m.traffic
	t.mu.Lock()
	defer t.mu.Unlock()
	t.awaited--
}

// silent reports whether nothing has arrived for so long that the gateway may be cut
// off.
func (t *traffic) silent(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.awaited >= silenceMinRequests && now.Sub(t.quietSince) > silenceLimit
}
