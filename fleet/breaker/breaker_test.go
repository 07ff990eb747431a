package breaker

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestOpenTimeDoublesUpToItsBound(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	b := New(time.Second, 4*time.Second)
	is.True(b.Accepts(start))
	for _, open := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		b.RecordFailure(start)
		is.True(!b.Closed())
		is.True(!b.Accepts(start.Add(open - 1)))
		is.True(b.Accepts(start.Add(open)))
	}
	for range 100 {
		b.RecordFailure(start)
	}
	is.True(b.Accepts(start.Add(4 * time.Second)))
	b.Reset()
	is.True(b.Accepts(start))
	b.RecordFailure(start)
	is.True(b.Accepts(start.Add(time.Second))) // the doubling starts anew
}

func TestOneProbeAtATime(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	b := New(time.Second, time.Minute)
	is.True(!b.Begin()) // a call through a closed breaker is no probe
	b.RecordFailure(start)
	later := start.Add(time.Second)
	is.True(b.Accepts(later))
	is.True(b.Begin())
	is.True(!b.Accepts(later))
	b.EndProbe()
	is.True(b.Accepts(later))
}
