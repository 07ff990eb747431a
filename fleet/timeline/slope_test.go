package timeline

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/benchutil"
)

func benchEvent(i int) *pb.Event {
	return &pb.Event{
		Kind:      pb.EventKind_EVENT_KIND_DISPATCHED,
		RequestId: fmt.Sprintf("archive:request-%08d", i),
		Budget:    "archive-2026",
		Workspace: "archive",
		Target:    "engine-cluj-a-1",
	}
}

// BenchmarkSlopeRecord records events into a full ring buffer.
func BenchmarkSlopeRecord(b *testing.B) {
	for _, n := range []int{2048, 8192, 32768} {
		b.Run(fmt.Sprintf("ring=%d", n), func(b *testing.B) {
			before := benchutil.LiveHeap()
			r := NewRecorder("r1", NewClock(time.Now), n)
			for i := range n {
				r.Record(benchEvent(i))
			}
			i := 0
			for b.Loop() {
				r.Record(benchEvent(i))
				i++
			}
			benchutil.ReportBytesPer(b, "event", before, n)
			runtime.KeepAlive(r)
		})
	}
}

// BenchmarkSlopeMerge merges the events of all routers, as an operator's
// timeline query does.
func BenchmarkSlopeMerge(b *testing.B) {
	const events = 1000
	for _, n := range []int{6, 60, 360} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			lists := make([][]*pb.Event, n)
			for i := range lists {
				r := NewRecorder(fmt.Sprintf("r%d", i), NewClock(time.Now), events)
				for k := range events {
					r.Record(benchEvent(k))
				}
				lists[i] = r.Events(&pb.EventFilter{})
			}
			for b.Loop() {
				Merge(lists...)
			}
		})
	}
}
