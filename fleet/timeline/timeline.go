// Package timeline keeps the events of one process in a bounded ring and
// orders events of many processes by a hybrid logical clock.
//
// The clock follows Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical
// Physical Clocks" (OPODIS 2014): a time is the largest wall clock seen plus
// a counter, so that an effect never sorts before its cause even where wall
// clocks differ. No safety decision reads this clock.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Clock makes hybrid times. It is safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu   sync.Mutex
	last pb.HybridTime
}

// NewClock returns a clock over the given wall clock.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns a time greater than every time made or observed before.
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

// Observe moves the clock past a time that came with a message.
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

// Compare orders two times; nil sorts first.
func Compare(a, b *pb.HybridTime) int {
	byWall := cmp.Compare(a.GetWallNs(), b.GetWallNs())
	if byWall != 0 {
		return byWall
	}
	return cmp.Compare(a.GetLogical(), b.GetLogical())
}

// Recorder keeps the newest events of one router in a ring of fixed size.
// It is safe for concurrent use.
type Recorder struct {
	router string
	clock  *Clock

	mu   sync.Mutex
	ring []*pb.Event
	next int
}

// NewRecorder returns a recorder that keeps size events.
func NewRecorder(router string, clock *Clock, size int) *Recorder {
	return &Recorder{router: router, clock: clock, ring: make([]*pb.Event, size)}
}

// Record stamps the event with time and router and keeps it. The recorder
// owns the event afterwards.
func (r *Recorder) Record(e *pb.Event) {
	e.Router = r.router
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Time = r.clock.Now()
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
}

// Events returns the kept events that pass the filter, oldest first.
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
	return newest(kept, int(f.GetLimit()))
}

// Matches tells whether an event passes a filter; empty fields pass all.
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

// Merge returns the events of several processes in one order.
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

func newest(events []*pb.Event, limit int) []*pb.Event {
	if limit <= 0 || len(events) <= limit {
		return events
	}
	return events[len(events)-limit:]
}
