// Package benchutil holds the helpers shared by the benchmarks of
// docs/CAPACITY.md. These are named BenchmarkSlope..., and each runs at three
// or more sizes.
package benchutil

import (
	"runtime"
	"testing"
)

// LiveHeap returns the number of reachable heap bytes.
func LiveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// ReportBytesPer reports the growth of the live heap since before, divided by n
// items. The caller keeps the items reachable.
func ReportBytesPer(b *testing.B, unit string, before uint64, n int) {
	b.Helper()
	b.ReportMetric(float64(int64(LiveHeap())-int64(before))/float64(n), "B/"+unit)
}
