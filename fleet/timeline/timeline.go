// Package timeline keeps the events of one process in a ring buffer of fixed
// size and orders the events of several processes by a hybrid logical clock.
//
// The clock follows Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical
// Physical Clocks" (OPODIS 2014): a timestamp is the largest wall clock time
// seen plus a counter, so an effect never sorts before its cause, even if the
// wall clocks differ. No safety decision depends on this clock.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu   sync.Mutex
	last pb.HybridTime
}

// NewClock returns a clock that reads wall clock time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns a timestamp greater than every timestamp returned or observed
// before.
func (c *Clock) Now() *pb.HybridTime {
	wall := c.now().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	if wall > c.last.WallNs {
		c.last.WallNs = wall
		c.last.Logical = 0
	} else {
		c.last.Logical++
	}
	return &pb.HybridTime{WallNs: c.last.WallNs, Logical: c.last.Logical}
}

// Observe advances the clock to a timestamp received in a message, so that the
// next call of Now returns a greater one.
func (c *Clock) Observe(t *pb.HybridTime) {
	if t == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.WallNs < c.last.WallNs {
		return
	}
	if t.WallNs > c.last.WallNs {
		c.last.WallNs = t.WallNs
		c.last.Logical = t.Logical
		return
	}
	c.last.Logical = max(c.last.Logical, t.Logical)
}

// Compare returns a negative number if a is before b, zero if they are equal
// and a positive number otherwise; nil sorts first.
func Compare(a, b *pb.HybridTime) int {
	byWall := cmp.Compare(a.GetWallNs(), b.GetWallNs())
	if byWall != 0 {
		return byWall
	}
	return cmp.Compare(a.GetLogical(), b.GetLogical())
}

// Recorder keeps the newest events of one router in a ring buffer.
// It is safe for concurrent use.
type Recorder struct {
	router string
	clock  *Clock

	mu   sync.Mutex
	ring []*pb.Event
	next int
}

// NewRecorder returns a recorder that keeps the last size events.
func NewRecorder(router string, clock *Clock, size int) *Recorder {
	return &Recorder{router: router, clock: clock, ring: make([]*pb.Event, size)}
}

// Record sets the time and router of the event and stores it, overwriting the
// oldest event if the ring is full. The recorder takes ownership of the event.
func (r *Recorder) Record(e *pb.Event) {
	e.Router = r.router
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.clock.Now()
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
}

// Events returns the stored events that match the filter, oldest first. If the
// filter has a limit, only the newest events up to the limit are returned.
func (r *Recorder) Events(f *pb.EventFilter) []*pb.Event {
	r.mu.Lock()
	kept := make([]*pb.Event, 0, len(r.ring))
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if e != nil && Matches(f, e) {
			kept = append(kept, e)
		}
	}
	r.mu.Unlock()
	return lastN(kept, int(f.GetLimit()))
}

// Matches reports whether an event matches a filter. An empty field of the
// filter matches every event.
func Matches(f *pb.EventFilter, e *pb.Event) bool {
	if f.GetRequestId() != "" && f.RequestId != e.RequestId {
		return false
	}
	if f.GetBudget() != "" && f.Budget != e.Budget {
		return false
	}
	if f.GetSince() != nil && Compare(e.Time, f.Since) < 0 {
		return false
	}
	if f.GetUntil() != nil && Compare(e.Time, f.Until) > 0 {
		return false
	}
	return true
}

// Merge returns the events of several processes ordered by time, then by
// router.
func Merge(lists ...[]*pb.Event) []*pb.Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b *pb.Event) int {
		byTime := Compare(a.Time, b.Time)
		if byTime != 0 {
			return byTime
		}
		return cmp.Compare(a.Router, b.Router)
	})
	return merged
}

func lastN(events []*pb.Event, limit int) []*pb.Event {
	if limit <= 0 || len(events) <= limit {
		return events
	}
	return events[len(events)-limit:]
}
