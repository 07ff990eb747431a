package target

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/benchutil"
)

// BenchmarkSlopeLoad asks each of many targets for its load report once in an
// operation, as a router does every second. CPU time is that of both ends, and
// memory is that of the connections at both ends.
func BenchmarkSlopeLoad(b *testing.B) {
	for _, n := range []int{6, 60, 600} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			listeners := make([]*benchutil.CountingListener, n)
			targets := make([]*pb.Target, n)
			for i := range targets {
				listeners[i] = startLoadServer(b)
				targets[i] = &pb.Target{Name: fmt.Sprintf("t-%d", i), Address: listeners[i].Addr().String()}
			}
			before := benchutil.LiveHeap()
			client := New(Options{})
			defer client.Close()
			pollAll(b, client, targets)
			bytes, cpu := bytesTransferred(listeners), benchutil.CPUTime()
			for b.Loop() {
				pollAll(b, client, targets)
			}
			polls := float64(b.N * n)
			b.ReportMetric(float64(bytesTransferred(listeners)-bytes)/polls, "B/poll")
			b.ReportMetric(float64((benchutil.CPUTime()-cpu).Nanoseconds())/polls, "cpu-ns/poll")
			benchutil.ReportBytesPer(b, "target", before, n)
		})
	}
}

func startLoadServer(b *testing.B) *benchutil.CountingListener {
	b.Helper()
	lis, err := benchutil.Listen()
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"in_flight":123,"queued":4,"leaving":false}`))
	})}
	go func() { _ = server.Serve(lis) }()
	b.Cleanup(func() { _ = server.Close() })
	return lis
}

func pollAll(b *testing.B, client *Client, targets []*pb.Target) {
	b.Helper()
	for _, t := range targets {
		if _, err := client.Load(context.Background(), t, time.Second); err != nil {
			b.Fatal(err)
		}
	}
}

func bytesTransferred(listeners []*benchutil.CountingListener) int64 {
	var sum int64
	for _, lis := range listeners {
		sum += lis.Bytes()
	}
	return sum
}
