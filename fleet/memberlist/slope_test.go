package memberlist

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/benchutil"
)

// benchCentres are the data centres of the fleet size expected in two years.
var benchCentres = []string{"a", "b", "c", "d", "e", "f", "g"}

// BenchmarkSlopeTick runs the membership table of one router for one second of
// simulated time per operation, with all calls successful. It reports the
// number of calls that the router makes per second.
func BenchmarkSlopeTick(b *testing.B) {
	for _, n := range []int{13, 52, 206} {
		b.Run(fmt.Sprintf("members=%d/centres=%d", n, len(benchCentres)), func(b *testing.B) {
			before := benchutil.LiveHeap()
			table := newFullTable(n, benchCentres...)
			byAddress := make(map[string]*pb.Member)
			for _, centre := range benchCentres {
				for i := range n {
					m := testMember(centre, i)
					byAddress[m.PeerAddress] = m
				}
			}
			now := startTime
			calls := 0
			seconds := 0
			for b.Loop() {
				seconds++
				for range time.Second / TickInterval {
					now = now.Add(TickInterval)
					for _, address := range table.Due(now) {
						calls++
						table.RecordResponse(address, byAddress[address], now)
					}
					table.Roster(now)
				}
			}
			b.ReportMetric(float64(calls)/float64(seconds), "calls/s")
			benchutil.ReportBytesPer(b, "member", before, n*len(benchCentres))
			runtime.KeepAlive(table)
			runtime.KeepAlive(byAddress)
		})
	}
}
