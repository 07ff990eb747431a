package memberlist

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/benchutil"
)

// slopeCentres are the data centres of the two-year size.
var slopeCentres = []string{"a", "b", "c", "d", "e", "f", "g"}

// BenchmarkSlopeTick runs the membership of one router for a second of
// simulated time an operation, all calls answered. It reports the calls that
// the router makes a second.
func BenchmarkSlopeTick(b *testing.B) {
	for _, n := range []int{13, 52, 206} {
		b.Run(fmt.Sprintf("members=%d/centres=%d", n, len(slopeCentres)), func(b *testing.B) {
			before := benchutil.LiveHeap()
			table := fullTable(n, slopeCentres...)
			byAddress := make(map[string]*pb.Member)
			for _, centre := range slopeCentres {
				for i := range n {
					m := sampleMember(centre, i)
					byAddress[m.PeerAddress] = m
				}
			}
			now := begin
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
			benchutil.ReportBytesPer(b, "member", before, n*len(slopeCentres))
			runtime.KeepAlive(table)
			runtime.KeepAlive(byAddress)
		})
	}
}
