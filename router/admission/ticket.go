package admission

import (
	"time"
)

// Ticket is a request that was admitted. A nil Ticket is that of a request that isn't
// subject to admission.
type Ticket struct {
	gate    *Gate
	service *service
	// Waited is how long the request waited.
	Waited   time.Duration
	started  time.Time
	expected time.Duration
}

// Placed records that the request was placed at a target, or couldn't be.
func (t *Ticket) Placed() {
	if t == nil {
		return
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.service.queue.Placed()
	t.gate.step(t.service)
}

// FirstEvent records that the first event of the answer arrived.
func (t *Ticket) FirstEvent() {
	if t == nil {
		return
	}
	now := t.gate.Now()
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.service.queue.Observe(t.expected, now.Sub(t.started), now)
}

// Ended records that a slot that the request held is free.
func (t *Ticket) Ended() {
	if t == nil {
		return
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.gate.step(t.service)
}
