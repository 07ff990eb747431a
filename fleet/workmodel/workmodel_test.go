package workmodel

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testNow = Instant(1000 * time.Second)

func near(a, b, tolerance float64) bool { return math.Abs(a-b) <= tolerance*math.Abs(b) }

// Guards against estimates that stay at their prior: a line follows observations, also
// when it changes, and gives no nonsense when all have the same x.
func TestLineFollowsObservations(t *testing.T) {
	is := is.New(t)
	l := NewLine(20, 18, 4)
	for i := range 2000 {
		x := float64(i % 12)
		l.Observe(x, 35+25*x)
	}
	is.True(near(l.Fixed(), 35, 0.1))
	is.True(near(l.Slope(), 25, 0.1))
	same := NewLine(20, 18, 4)
	for range 1000 {
		same.Observe(0, 40)
		same.Observe(math.Inf(1), math.NaN())
	}
	is.True(near(same.At(0), 40, 0.05))
	is.True(near(same.Slope(), 18, 0.01)) // nothing is known of the slope
}

// Guards against estimates of a new workspace, route or declared bound that are taken
// for learned ones.
func TestOutputIsLearnedByRouteAndWorkspace(t *testing.T) {
	is := is.New(t)
	var o Outputs
	is.Equal(o.Expect("r", "w", 400), Output{Tokens: 200, Error: 200})
	for range 100 {
		o.Observe("r", "w", 300)
		o.Observe("r", "v", 20)
	}
	is.True(near(o.Expect("r", "w", 1000).Tokens, 300, 0.25))
	is.True(o.Expect("r", "v", 1000).Tokens < 100)
	is.True(o.Expect("r", "new", 1000).Tokens < 300) // as the route
	is.Equal(o.Expect("r", "w", 10).Tokens, 10.0)    // never above what is declared
	is.True(o.Expect("r", "w", 1000).Error < 150)
}

// Guards against an estimate that stays wrong by a factor of ten after the answers of a
// route have become longer.
func TestOutputFollowsLongerAnswers(t *testing.T) {
	is := is.New(t)
	var o Outputs
	for range 100 {
		o.Observe("r", "w", 40)
	}
	for range 2 * outputMemory {
		o.Observe("r", "w", 400)
	}
	is.True(near(o.Expect("r", "w", 0).Tokens, 400, 0.2))
}

// Guards against a slow moment that is taken for a slow target, and a slow target that
// is never tried again.
func TestSpeedFollowsTheMomentAndForgets(t *testing.T) {
	is := is.New(t)
	var s Speed
	is.Equal(s.Factor(testNow), 1.0)
	s.ReportPace(250, testNow)
	is.Equal(s.Factor(testNow), 2.5)
	is.True(s.Factor(testNow+Instant(2*time.Second)) < 1.1)
	now := testNow + Instant(time.Minute)
	for range 50 {
		now += Instant(100 * time.Millisecond)
		s.Observe(130*time.Millisecond, 100*time.Millisecond, 1, now)
	}
	is.True(near(s.Factor(now), 1.3, 0.05))
	s.Observe(5*time.Second, 100*time.Millisecond, 1, now) // one outlier
	is.True(s.Factor(now) < 2)
	is.True(s.Factor(now+Instant(5*time.Minute)) < 1.05)
}

// Guards against the only target used so far that seems slow, since nothing is known of
// how long requests take.
func TestSpeedIsNotLearnedFromThePriors(t *testing.T) {
	is := is.New(t)
	service := NewService()
	var s Speed
	s.Observe(100*time.Millisecond, 20*time.Millisecond, service.Trust(), testNow)
	is.Equal(s.Factor(testNow), 1.0)
	service.ObserveFirstEvent(100*time.Millisecond, 0)
	is.True(service.Trust() > 0 && service.Trust() < 0.2)
}

// Guards against a target that is ten times slower than expected and stays attractive.
func TestSpeedReachesAFactorOfTen(t *testing.T) {
	is := is.New(t)
	var s Speed
	for range 200 {
		s.Observe(time.Second, 100*time.Millisecond, 1, testNow)
	}
	is.True(s.Factor(testNow) > 7)
}

// Guards against plain services whose estimate depends on the prior of an engine.
func TestServiceLearnsAPlainService(t *testing.T) {
	is := is.New(t)
	s := NewService()
	for range 200 {
		s.ObserveSend(0)
		s.ObserveFirstEvent(45*time.Millisecond, 0)
		s.ObserveAnswer(45*time.Millisecond, 0, 0, 3)
	}
	is.True(near(s.BaseTime(), 45, 0.05))
	is.True(near(s.Duration(), 45, 0.2))
	is.Equal(s.Unread(), 0.0)
}
