package ledger

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

const (
	// coldInterval is the time between two requests on one rarely used budget.
	coldInterval = 10 * time.Minute
	// coldRounds is the number of requests per budget.
	coldRounds = 100
)

// BenchmarkSlopeColdDraws serves rarely used budgets on a simulated clock, and
// reports the draws and transactions at the platform per request. Run it with
// -benchtime 1x.
func BenchmarkSlopeColdDraws(b *testing.B) {
	for _, horizon := range []time.Duration{10 * time.Second, 2 * time.Hour} {
		for _, n := range []int{10, 100, 1_000} {
			b.Run(fmt.Sprintf("horizon=%v/budgets=%d", horizon, n), func(b *testing.B) { benchmarkColdDraws(b, n, horizon) })
		}
	}
}

func benchmarkColdDraws(b *testing.B, n int, horizon time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var clock atomic.Int64
	tables := newTables()
	for i := range n {
		if _, err := TopUp(ctx, tables, fmt.Sprintf("t-%d", i), slopeBudget(i), 1_000_000); err != nil {
			b.Fatal(err)
		}
	}
	self := &pb.Member{Name: "a", Incarnation: "0123456789abcdef0123456789abcdef", DataCentre: "cluj-a"}
	f := &fleet{members: []*pb.Member{self}}
	l := New(Options{Self: self, Tables: tables, Peers: &localPeers{f, self}, WritesPerSecond: 100_000,
		Policy: &pb.BudgetPolicy{GrantHorizon: durationpb.New(horizon)},
		Now:    func() time.Time { return time.Unix(0, clock.Load()) }})
	var run conc.WaitGroup
	run.Go(func() { _ = l.Run(ctx) })
	requests := 0
	for b.Loop() {
		for range coldRounds {
			for i := range n {
				clock.Add(int64(coldInterval) / int64(n))
				requests++
				r, err := l.Reserve(ctx, slopeBudget(i), "w", fmt.Sprintf("w:%d", requests), 400)
				if err != nil {
					b.Fatal(err)
				}
				if err := r.Settle(350); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
	s := l.Stats()
	b.ReportMetric(float64(s.Draws)/float64(requests), "draws/request")
	b.ReportMetric(float64(s.Commits)/float64(requests), "transactions/request")
	cancel()
	run.Wait()
}
