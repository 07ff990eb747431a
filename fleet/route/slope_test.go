package route

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/benchutil"
)

// benchServices is the number of services among which targets are divided.
const benchServices = 21

func benchTargets(n int) []*pb.Target {
	targets := make([]*pb.Target, n)
	for i := range targets {
		targets[i] = &pb.Target{
			Name:       fmt.Sprintf("target-%05d", i),
			Service:    fmt.Sprintf("model-%02d", i%benchServices),
			Provider:   "old",
			DataCentre: fmt.Sprintf("dc-%d", i%7),
			Address:    fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255),
		}
	}
	return targets
}

// BenchmarkSlopePick picks a target and releases it.
func BenchmarkSlopePick(b *testing.B) {
	for _, n := range []int{60, 600, 6000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			targets := benchTargets(n)
			before := benchutil.LiveHeap()
			table := New(Options{DataCentre: "dc-0", Seed: 1})
			table.Update(targets)
			now := time.Unix(1, 0)
			r := &Request{Service: "model-00", RequestID: "archive:k", DefaultProvider: "old", PrefixHash: 42, Now: now}
			for b.Loop() {
				lease, err := table.Pick(r)
				if err != nil {
					b.Fatal(err)
				}
				lease.Done(Outcome{Result: OK, Now: now})
			}
			benchutil.ReportBytesPer(b, "target", before, n)
			runtime.KeepAlive(table)
			runtime.KeepAlive(targets)
		})
	}
}

// BenchmarkSlopeUpdate installs a set of targets, as happens when the
// configuration changes or a target is marked as leaving.
func BenchmarkSlopeUpdate(b *testing.B) {
	for _, n := range []int{60, 600, 6000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			targets := benchTargets(n)
			table := New(Options{DataCentre: "dc-0", Seed: 1})
			for b.Loop() {
				table.Update(targets)
			}
		})
	}
}
