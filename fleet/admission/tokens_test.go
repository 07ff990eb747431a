package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// outageResult is what callers get whose workspace can't be charged for 8 s.
type outageResult struct {
	refusals, overshoot float64 // a call; seconds from the end until the call is served
	unserved            int
	// urgentMean and otherMean are the overshoot of the two priorities.
	urgentMean, otherMean float64
}

// playOutage lets 20 callers a second, each with 20 s, arrive during the outage. RetryAfter
// tells them when to come back.
func playOutage(retryAfter func(s *Shortages, rank int, remaining time.Duration, now time.Time, random float64) time.Duration) outageResult {
	const outage, timeout = 8 * time.Second, 20 * time.Second
	random := rand.New(rand.NewPCG(1, 1))
	var result outageResult
	var calls, served [2]float64
	var waited [2]float64
	m := &model{now: testNow}
	shortages := NewShortages()
	for i := range 160 {
		rank := i % 2
		calls[rank]++
		arrival := time.Duration(i) * outage / 160
		deadline := testNow.Add(arrival + timeout)
		var try func()
		try = func() {
			if m.now.Sub(testNow) >= outage {
				served[rank]++
				waited[rank] += (m.now.Sub(testNow) - outage).Seconds()
				return
			}
			result.refusals++
			after := retryAfter(shortages, rank, deadline.Sub(m.now), m.now, random.Float64())
			if after < minModelRetry {
				return
			}
			m.after(after, try)
		}
		m.after(arrival, try)
	}
	for len(m.events) > 0 {
		m.pop()
	}
	result.refusals /= calls[0] + calls[1]
	result.unserved = int(calls[0] + calls[1] - served[0] - served[1])
	result.overshoot = (waited[0] + waited[1]) / (served[0] + served[1])
	result.urgentMean, result.otherMean = waited[0]/served[0], waited[1]/served[1]
	return result
}

// Load: a workspace whose tokens are out of reach for 8 s. Guards against callers that are
// refused again and again because they come back too early.
func TestCallersDuringAShortageOfTokens(t *testing.T) {
	is := is.New(t)
	for _, fixed := range []time.Duration{100 * time.Millisecond, time.Second} {
		before := playOutage(func(_ *Shortages, _ int, remaining time.Duration, _ time.Time, _ float64) time.Duration {
			return min(fixed, remaining/4)
		})
		t.Logf("come back after %v: %+v", fixed, before)
	}
	after := playOutage(func(s *Shortages, rank int, remaining time.Duration, now time.Time, random float64) time.Duration {
		return RetryAfter(s.Refused("tokens", 1, now), rank, remaining, random)
	})
	t.Logf("as long as the shortage lasted: %+v", after)
	is.True(after.refusals < 3)
	is.Equal(after.unserved, 0)
	is.True(after.urgentMean < after.otherMean)
}
