package workmodel

import (
	"math"
	"time"
)

// Speed is how long work takes at one target, relative to the others: 1 is normal, 2 is
// twice as long. It combines what was learned from times to first events with the
// target's own figure for the moment. The zero value is a target of normal speed.
type Speed struct {
	// learned is the learned factor less 1, as of learnedAt.
	learned   float64
	learnedAt Instant
	// pace is the target's own figure as a factor, as of paceAt; 0 without one.
	pace   float64
	paceAt Instant
}

const (
	// speedGain is the weight of one observation. Targets may be slow for less than a
	// second at a time, which one observation must not turn into a lasting estimate.
	speedGain = 0.1
	// maxObservedRatio bounds one observation, and maxSpeedFactor the learned factor.
	maxObservedRatio = 4.0
	maxSpeedFactor   = 10.0
	// speedMemory is the time in which a learned factor that isn't confirmed fades: a
	// target that seemed slow gets requests again.
	speedMemory = 20 * time.Second
	// paceMemory is the time in which a target's figure for the moment fades; it changes
	// many times a second.
	paceMemory = 400 * time.Millisecond
)

// Observe records the time to a first event and what it was expected to be at normal
// speed. Trust, from 0 to 1, is how far the expectation is learned: while it isn't, a long
// time says nothing about the target.
func (s *Speed) Observe(actual, expected time.Duration, trust float64, now Instant) {
	if actual <= 0 || expected <= 0 {
		return
	}
	ratio := float64(actual) / float64(expected) / s.paceFactor(now)
	learned := math.Log(s.learnedFactor(now))
	observed := math.Log(min(max(ratio, 1/maxObservedRatio), maxObservedRatio))
	if ratio > maxObservedRatio {
		// A ratio beyond the bound moves the estimate on, up to maxSpeedFactor.
		observed = max(observed, learned+math.Log(2))
	}
	factor := math.Exp(learned + speedGain*trust*(observed-learned))
	s.learned = min(max(factor, 1/maxSpeedFactor), maxSpeedFactor) - 1
	s.learnedAt = now
}

// ReportPace records the target's own figure for the moment, in percent; 0 says
// nothing.
func (s *Speed) ReportPace(percent int, now Instant) {
	if percent <= 0 {
		return
	}
	s.pace = min(max(float64(percent)/100, 1/maxSpeedFactor), maxSpeedFactor)
	s.paceAt = now
}

// Factor returns the factor by which work takes longer than normal.
func (s *Speed) Factor(now Instant) float64 {
	return min(max(s.learnedFactor(now)*s.paceFactor(now), 1/maxSpeedFactor), maxSpeedFactor)
}

func (s *Speed) learnedFactor(now Instant) float64 {
	if s.learned == 0 {
		return 1
	}
	return 1 + s.learned*fading(now.Sub(s.learnedAt), speedMemory)
}

func (s *Speed) paceFactor(now Instant) float64 {
	if s.pace == 0 || s.pace == 1 {
		return 1
	}
	return 1 + (s.pace-1)*fading(now.Sub(s.paceAt), paceMemory)
}

// fading returns the weight that is left of something after a time: 1 at first, 0 after
// many times the memory. It is 1/(1+x+x²), which is cheaper than an exponential.
func fading(age, memory time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	x := float64(age) / float64(memory)
	return 1 / (1 + x + x*x)
}

// Fading returns the weight that is left of a figure after a time, 1 at first.
func Fading(age, memory time.Duration) float64 { return fading(age, memory) }
