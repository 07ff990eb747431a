package timeline

import (
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// An effect must sort after its cause even if the wall clock of the process
// that records the effect is behind.
func TestEffectSortsAfterCause(t *testing.T) {
	is := is.New(t)
	ahead := NewClock(func() time.Time { return time.Unix(100, 0) })
	behind := NewClock(func() time.Time { return time.Unix(50, 0) })
	a := NewRecorder("a", ahead, 4)
	b := NewRecorder("b", behind, 4)
	a.Record(&pb.Event{Detail: "cause"})
	behind.Observe(ahead.Now())
	b.Record(&pb.Event{Detail: "effect"})
	merged := Merge(b.Events(nil), a.Events(nil))
	is.Equal(merged[0].Detail, "cause")
	is.Equal(merged[1].Detail, "effect")
}

func TestRingKeepsNewestEvents(t *testing.T) {
	is := is.New(t)
	clock := NewClock(func() time.Time { return time.Unix(1, 0) })
	r := NewRecorder("a", clock, 2)
	for _, id := range []string{"1", "2", "3"} {
		r.Record(&pb.Event{RequestId: id})
	}
	events := r.Events(nil)
	is.Equal(len(events), 2)
	is.Equal(events[0].RequestId, "2")
	is.Equal(len(r.Events(&pb.EventFilter{RequestId: "3"})), 1)
}
