package processtest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// measureWindow is the duration of one measurement of a running fleet.
const measureWindow = 6 * time.Second

// BenchmarkSlopeIdle measures idle routers of two data centres, which only
// exchange heartbeats: bytes at the peer listeners, CPU time and memory of a
// router, and requests to the platform. Run it with -benchtime 1x.
func BenchmarkSlopeIdle(b *testing.B) {
	for _, n := range []int{1, 4, 12} {
		b.Run(fmt.Sprintf("routers=2x%d", n), func(b *testing.B) {
			f := Start(b, Options{Binaries: binaries, Seed: 401, RoutersPerCentre: n})
			time.Sleep(measureWindow / 2)
			for b.Loop() {
				before, start := f.usage(), time.Now()
				time.Sleep(measureWindow)
				f.usage().report(b, before, time.Since(start), len(f.Routers))
			}
		})
	}
}

// usage holds the cumulative resource use of a fleet: the sum over its routers,
// and the requests to the platform.
type usage struct {
	bytes          int64
	cpuSeconds     float64
	heap, sys      int64
	reads, vmLists uint64
	transactions   uint64
}

func (f *Fleet) usage() usage {
	u := usage{}
	for _, r := range f.Routers {
		u.bytes += r.PeerProxy.BytesTransferred()
		u.cpuSeconds += r.Vars().CPUSeconds
		m := r.Memory().Memstats
		u.heap += m.HeapInuse + m.StackInuse
		u.sys += m.Sys
	}
	c := f.Platform.Counts()
	u.reads, u.vmLists, u.transactions = c.Reads+c.Scans, c.VMLists, c.Committed
	return u
}

func (u usage) report(b *testing.B, before usage, window time.Duration, routers int) {
	seconds := window.Seconds()
	n := float64(routers)
	b.ReportMetric(float64(u.bytes-before.bytes)/seconds/n, "peer-B/s/router")
	b.ReportMetric((u.cpuSeconds-before.cpuSeconds)/seconds/n*100, "core%/router")
	b.ReportMetric(float64(u.heap)/n/(1<<20), "MB-inuse/router")
	b.ReportMetric(float64(u.sys)/n/(1<<20), "MB-sys/router")
	b.ReportMetric(float64(u.reads-before.reads)/seconds, "platform-reads/s")
	b.ReportMetric(float64(u.vmLists-before.vmLists)/seconds, "vm-lists/s")
	b.ReportMetric(float64(u.transactions-before.transactions)/seconds, "transactions/s")
}

// BenchmarkSlopeStreams keeps streams of 25 tokens per second open at one router
// and measures CPU time per token and memory per stream. Run it with
// -benchtime 1x.
func BenchmarkSlopeStreams(b *testing.B) {
	for _, n := range []int{50, 150, 450} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			f := Start(b, Options{Binaries: binaries, Seed: 402, Centres: []string{"cluj-a"}, EnginesPerCentre: 8, TokensPerSecond: 25, PrepaidTokens: 1 << 40,
				// The concurrency limit of a target starts at a quarter of this
				// maximum and grows only as streams end, which these don't.
				Settings: func(s *pb.RouterSettings) { s.Routing.MaxInFlightPerTarget = 1024 }})
			r := f.Routers[0]
			idle := r.Memory().Memstats
			stop := f.openStreams(b, r, n)
			for b.Loop() {
				tokens, cpu, start := f.engineTokens(), r.Vars().CPUSeconds, time.Now()
				time.Sleep(measureWindow)
				delivered := float64(f.engineTokens() - tokens)
				used := r.Vars().CPUSeconds - cpu
				m := r.Memory().Memstats
				b.ReportMetric(used/delivered*1e6, "cpu-us/token")
				b.ReportMetric(delivered/time.Since(start).Seconds(), "tokens/s")
				b.ReportMetric(float64(m.HeapInuse+m.StackInuse-idle.HeapInuse-idle.StackInuse)/float64(n), "B/stream")
			}
			stop()
		})
	}
}

// openStreams opens n streams and keeps them open until the returned function is
// called.
func (f *Fleet) openStreams(b *testing.B, r *Router, n int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var streams conc.WaitGroup
	for i := range n {
		streams.Go(func() {
			var stream StreamedResponse
			err := r.ReadStream(ctx, ChatRequest(fmt.Sprintf("open-%d", i), 4000, true), &stream, nil)
			if ctx.Err() == nil {
				b.Errorf("read stream %d after %d tokens: %v", i, stream.Tokens, err)
			}
		})
	}
	Eventually(b, "all streams are running", func() bool { return f.totalEngineRuns() == n })
	time.Sleep(measureWindow / 3)
	return func() {
		cancel()
		streams.Wait()
	}
}

func (f *Fleet) engineTokens() uint64 {
	var sum uint64
	for _, g := range f.Engines {
		sum += g.EngineCounts().Tokens
	}
	return sum
}

// BenchmarkSlopeRequests makes short streamed calls to one router and measures
// its CPU time per request, including reservation, dispatch and billing. Run it
// with -benchtime 1x.
func BenchmarkSlopeRequests(b *testing.B) {
	for _, callers := range []int{2, 8, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			f := Start(b, Options{Binaries: binaries, Seed: 403, Centres: []string{"cluj-a"}, EnginesPerCentre: 4, TokensPerSecond: 1000, PrepaidTokens: 1 << 40,
				Settings: func(s *pb.RouterSettings) { s.Budget = nil }})
			r := f.Routers[0]
			load := StartLoad(r, "load", callers, 2)
			Eventually(b, "the router serves requests", func() bool { return load.ServedCount() > 10*callers })
			for b.Loop() {
				served, cpu, before, start := load.ServedCount(), r.Vars().CPUSeconds, f.Platform.Counts(), time.Now()
				time.Sleep(measureWindow)
				requests := float64(load.ServedCount() - served)
				after := f.Platform.Counts()
				seconds := time.Since(start).Seconds()
				b.ReportMetric((r.Vars().CPUSeconds-cpu)/requests*1e6, "cpu-us/request")
				b.ReportMetric(requests/seconds, "requests/s")
				b.ReportMetric(float64(after.Committed-before.Committed)/seconds, "transactions/s")
				b.ReportMetric(float64(after.RowsWritten-before.RowsWritten)/requests, "rows/request")
				b.ReportMetric(float64(after.BytesWritten-before.BytesWritten)/requests, "platform-B/request")
				b.ReportMetric(float64(after.Reads+after.Scans-before.Reads-before.Scans)/seconds, "platform-reads/s")
			}
			load.Stop()
		})
	}
}
