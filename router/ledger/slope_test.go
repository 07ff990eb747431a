package ledger

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/benchutil"
)

// slopeLedger returns a ledger that holds tokens of n budgets.
func slopeLedger(b *testing.B, n int) *Ledger {
	b.Helper()
	self := &pb.Member{Name: "a", Incarnation: "0123456789abcdef0123456789abcdef", DataCentre: "cluj-a"}
	f := &fleet{members: []*pb.Member{self}}
	l := New(Options{Self: self, Tables: newTables(), Peers: &localPeers{f, self}})
	l.registered.Store(true)
	for i := range n {
		name := slopeBudget(i)
		l.accounts.getOrCreate(self.Incarnation, name).holder.ApplyGrant(&pb.GrantRow{
			Id: *l.grant.Load(), Budget: name, Holder: self.Incarnation, Granted: 1 << 40,
		})
	}
	return l
}

func slopeBudget(i int) string { return fmt.Sprintf("budget-%07d", i) }

// BenchmarkSlopeReserve reserves and releases tokens of many budgets, and
// reports the memory per budget at a router.
func BenchmarkSlopeReserve(b *testing.B) {
	for _, n := range []int{1_900, 19_000, 190_000} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			before := benchutil.LiveHeap()
			l := slopeLedger(b, n)
			kept := benchutil.LiveHeap() - before
			i := 0
			for b.Loop() {
				r, err := l.Reserve(context.Background(), slopeBudget(i%n), "workspace", fmt.Sprintf("workspace:%d", i), 400)
				if err != nil {
					b.Fatal(err)
				}
				r.Release()
				i++
			}
			b.ReportMetric(float64(kept)/float64(n), "B/budget")
			runtime.KeepAlive(l)
		})
	}
}

// BenchmarkSlopeUnsettled accumulates bills that are not settled, as during an
// outage of the platform, and reports the memory per bill at its origin.
func BenchmarkSlopeUnsettled(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 90_000} {
		b.Run(fmt.Sprintf("bills=%d", n), func(b *testing.B) {
			var l *Ledger
			var kept uint64
			for b.Loop() {
				l = nil
				l = slopeLedger(b, 1000)
				held := benchutil.LiveHeap()
				for i := range n {
					r, err := l.Reserve(context.Background(), slopeBudget(i%1000), "workspace", fmt.Sprintf("workspace-000042:0f8fad5b-d9cb-469f-a165-%012d", i), 400)
					if err != nil {
						b.Fatal(err)
					}
					if err := r.Settle(350); err != nil {
						b.Fatal(err)
					}
				}
				kept = benchutil.LiveHeap() - held
			}
			b.ReportMetric(float64(kept)/float64(n), "B/bill")
			runtime.KeepAlive(l)
		})
	}
}
