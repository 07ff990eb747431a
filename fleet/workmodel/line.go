// Package workmodel learns what requests cost and how fast targets are, from what a
// gateway observes: the length of answers, the time to the first event, the time of a
// step of an engine, and how long requests run. It reads no clock.
//
// Each model starts with a prior, so that a gateway that has just started has an
// estimate, and forgets old observations, so that it follows changes of the traffic.
package workmodel

import "math"

// Line learns y = Fixed + Slope*x by least squares over recent observations. The prior
// counts as much as a few observations. The zero value isn't usable.
type Line struct {
	prior [2]float64
	// n, sx, sxx, sy and sxy are the sums over the observations, which decay.
	n, sx, sxx, sy, sxy float64
	// scale is the typical size of x, used to weigh the prior of the slope.
	scale        float64
	fixed, slope float64
}

const (
	// lineDecay is the weight that an observation keeps with each further one: about the
	// last 300 count.
	lineDecay = 0.997
	// priorWeight is the number of observations that the prior counts for.
	priorWeight = 8
	// maxPriorFactor bounds the slope to this factor above and below its prior: a line
	// through observations of nearly the same x can have any slope.
	maxPriorFactor = 8
)

// NewLine returns a line with the given prior; scale is the typical size of x.
func NewLine(fixed, slope, scale float64) Line {
	return Line{prior: [2]float64{fixed, slope}, scale: scale, fixed: fixed, slope: slope}
}

// Observe adds an observation.
func (l *Line) Observe(x, y float64) {
	if !finite(x) || !finite(y) {
		return
	}
	l.n, l.sx, l.sxx = l.n*lineDecay+1, l.sx*lineDecay+x, l.sxx*lineDecay+x*x
	l.sy, l.sxy = l.sy*lineDecay+y, l.sxy*lineDecay+x*y
	ridgeFixed, ridgeSlope := float64(priorWeight), priorWeight*l.scale*l.scale
	a, b, c := l.n+ridgeFixed, l.sx, l.sxx+ridgeSlope
	p, q := l.sy+ridgeFixed*l.prior[0], l.sxy+ridgeSlope*l.prior[1]
	determinant := a*c - b*b
	if determinant <= 0 {
		return
	}
	l.slope = min(max((a*q-b*p)/determinant, l.prior[1]/maxPriorFactor), l.prior[1]*maxPriorFactor)
	l.fixed = max((p-l.slope*b)/a, 0)
}

// trustWeight is the number of observations after which a line is trusted by half: the
// first ones may all be of one slow target.
const trustWeight = 10

// Trust returns how far the line is learned, from 0 to 1.
func (l *Line) Trust() float64 { return l.n / (l.n + trustWeight) }

// Fixed returns the value at 0.
func (l *Line) Fixed() float64 { return l.fixed }

// Slope returns the growth of the value per unit.
func (l *Line) Slope() float64 { return l.slope }

// At returns the value at x.
func (l *Line) At(x float64) float64 { return l.fixed + l.slope*x }

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// Mean is an exponentially weighted mean; the first observations count equally.
type Mean struct {
	value  float64
	weight float64
}

// meanWeight is the number of observations that a Mean looks back on.
const meanWeight = 64

// NewMean returns a mean whose prior counts as one observation.
func NewMean(prior float64) Mean { return Mean{value: prior, weight: 1} }

// Observe adds an observation.
func (m *Mean) Observe(x float64) {
	if !finite(x) {
		return
	}
	m.weight = min(m.weight+1, meanWeight)
	m.value += (x - m.value) / m.weight
}

// Value returns the mean.
func (m *Mean) Value() float64 { return m.value }
