package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSuspectGetsOneProbeAtATime(t *testing.T) {
	is := is.New(t)
	h := newHealth()
	h.RecordFailure(testNow)
	is.True(!h.Accepts(testNow))
	later := testNow.Add(minSuspectTime)
	is.True(h.Accepts(later))
	is.True(h.Begin())
	is.True(!h.Accepts(later))
	h.Reset()
	is.True(h.Accepts(later))
}

func TestSuspectTimeGrowsWithFailures(t *testing.T) {
	is := is.New(t)
	h := newHealth()
	h.RecordFailure(testNow)
	first := testNow.Add(minSuspectTime)
	is.True(h.Accepts(first))
	h.RecordFailure(testNow)
	is.True(!h.Accepts(first))
	for range 20 {
		h.RecordFailure(testNow)
	}
	end := testNow.Add(maxSuspectTime)
	is.True(!h.Accepts(end.Add(-time.Nanosecond)))
	is.True(h.Accepts(end))
}
