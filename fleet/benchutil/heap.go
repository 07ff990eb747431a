// Package benchutil holds what the benchmarks of docs/CAPACITY.md share. They are
// named BenchmarkSlope and run each at three sizes or more.
package benchutil

import (
	"runtime"
	"testing"
)

// LiveHeap returns the bytes of the heap that are reachable.
func LiveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// ReportBytesPer reports what the heap keeps for each of n items since before.
// The caller keeps the items alive.
func ReportBytesPer(b *testing.B, unit string, before uint64, n int) {
	b.Helper()
	b.ReportMetric(float64(int64(LiveHeap())-int64(before))/float64(n), "B/"+unit)
}
