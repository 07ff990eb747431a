package targetlimit

import (
	"maps"
	"sync"
	"time"

	"cuminrock.example/fleet/placement"
)

// Outcome is how a request ended for which a permit was issued.
type Outcome struct {
	// Refused is set if the target turned the request away.
	Refused bool
	// Report is what the target reported in its answer.
	Report Report
}

// Report is what a target last reported of its load.
type Report struct {
	// Load is nil for no report.
	Load *placement.Load
	Age  time.Duration
}

// Rooms issues permits for requests to brittle targets, which fall over if they have to
// turn too many away. It keeps the number of requests at a target below the one at which
// it last turned one away, and raises it slowly. Requests beyond a number that was answered
// before may be turned away; those, with the ones that were, stay within what the target
// says. It is safe for concurrent use.
type Rooms struct {
	mu      sync.Mutex
	rooms   map[placement.Process]*room
	number  uint64
	sweptAt time.Time
}

// NewRooms returns rooms without requests. The numbers of permits follow the given one,
// which differs from run to run: what is told of an earlier run's permits must not end
// those of this one.
func NewRooms(number uint64) *Rooms {
	return &Rooms{rooms: make(map[placement.Process]*room), number: number}
}

// Learn takes a report that isn't part of an outcome.
func (r *Rooms) Learn(p placement.Process, report Report, now time.Time) {
	if report.Load == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room(p, now).learn(report, true, now)
}

// Acquire issues a permit for a request of at most the given lifetime, to a target that
// may have to turn away maxRefusals requests a second. A fallback gateway issues only a
// part, as another one issues permits, too.
func (r *Rooms) Acquire(p placement.Process, maxRefusals int, fallback bool, lifetime time.Duration, now time.Time) Permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	m := r.room(p, now)
	m.expire(now)
	share, refusals := 1.0, mainRefusalShare
	if fallback {
		share, refusals = fallbackShare, 1-mainRefusalShare
	}
	if !m.hasRoom(share, now) || m.mayBeRefused(now) >= max(1, int(float64(maxRefusals)*refusals)) {
		return Permit{RetryAfter: roomRetryAfter}
	}
	r.number++
	m.permits[r.number] = roomPermit{issuedAt: now, expiresAt: now.Add(lifetime), level: m.taken(now) + 1}
	m.issued++
	return Permit{Granted: true, ID: r.number}
}

// Release ends a permit; its id is 0 for a request that was sent without one.
func (r *Rooms) Release(p placement.Process, id uint64, o Outcome, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.room(p, now)
	m.expire(now)
	permit, known := m.permits[id]
	if known {
		m.ended++
		delete(m.permits, id)
	}
	if o.Report.Load != nil {
		m.learn(o.Report, !o.Refused, now)
	}
	if o.Refused {
		m.refusedAt = append(m.refusedAt, now)
		m.lastRefusal = now
		m.recordRefusal(permit.level)
		return
	}
	if !permit.accepted {
		m.recordAccepted(permit.level, now)
	}
}

// room returns the room of a target. One that is new may have requests that another
// gateway, or none, issued permits for.
func (r *Rooms) room(p placement.Process, now time.Time) *room {
	m := r.rooms[p]
	if m == nil {
		m = &room{permits: make(map[uint64]roomPermit), limit: initialRoom}
		r.rooms[p] = m
	}
	m.usedAt = now
	return m
}

// sweep drops the rooms that weren't used for a while.
func (r *Rooms) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < bucketRetention {
		return
	}
	r.sweptAt = now
	maps.DeleteFunc(r.rooms, func(_ placement.Process, m *room) bool {
		return len(m.permits) == 0 && now.Sub(m.usedAt) > bucketRetention
	})
}
