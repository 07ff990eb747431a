// Package admission decides which requests are sent to targets, which wait at the
// gateway for a short time, and which are refused, while requests compete for too
// little capacity.
//
// Requests go by priority. Within a priority, those of workspaces that have used more
// than their share of the recent work go last, and otherwise the request that is due
// first goes first. A request waits at the gateway for at most a fraction of its latency
// goal. It is refused if it is expected to get a slot too late, with the time until then.
//
// Many gateways share the targets, so all decisions rest on estimates. An estimate that
// is unknown or too old neither delays nor refuses a request. No request is refused while
// a slot is free and nothing waits, neither here nor at the target. The estimates are
// corrected by the times to the first events that were observed, and now and then a
// request is sent although its estimate speaks against that.
//
// The package reads no clock and no random numbers: every input carries its own. Its
// types aren't safe for concurrent use.
package admission

import (
	"math"
	"time"
)

// maxEstimateAge is the age from which on an estimate counts as unknown.
const maxEstimateAge = 2 * time.Second

// Estimate is what is expected of a request at the best target. The zero Estimate is
// unknown.
type Estimate struct {
	Known bool
	// At is the time of the youngest report that the estimate is based on.
	At time.Time
	// SlotFree is the expected time until a slot is free, about 0 if one is free now. FirstEvent
	// is the time until the first event if the request is sent now; it includes SlotFree.
	SlotFree, FirstEvent time.Duration
	// Queued is the part of FirstEvent for which the request waits for other requests at the
	// target, for a slot or until their prompts are read. If it is unknown it is 0, and
	// SlotFree counts.
	Queued time.Duration
}

// usable reports whether decisions may be based on the estimate.
func (e Estimate) usable(now time.Time) bool { return e.Known && now.Sub(e.At) <= maxEstimateAge }

// wait returns the time for which the request waits for others.
func (e Estimate) wait() time.Duration { return max(e.SlotFree, e.Queued) }

// work returns the time that the request itself needs until its first event.
func (e Estimate) work() time.Duration { return max(e.FirstEvent-e.wait(), 0) }

const (
	// minObservations is the number of observations from which on estimates are
	// corrected, and observationWeight the weight of each in the mean.
	minObservations   = 8
	observationWeight = 0.1
	// observationMaxAge is how long a correction is applied after the last observation.
	observationMaxAge = time.Minute
	// maxCorrection bounds the factor by which estimates are corrected.
	maxCorrection = 16
)

// correction is the mean factor between expected and observed times to first events, as
// a logarithm.
type correction struct {
	logFactor    float64
	observations int
	observedAt   time.Time
}

// observe records an expected and an observed time.
func (c *correction) observe(expected, observed time.Duration, now time.Time) {
	if expected <= 0 || observed <= 0 {
		return
	}
	sample := math.Log(observed.Seconds() / expected.Seconds())
	sample = min(max(sample, -math.Log(maxCorrection)), math.Log(maxCorrection))
	if now.Sub(c.observedAt) > observationMaxAge {
		c.logFactor, c.observations = 0, 0
	}
	c.observations++
	weight := max(observationWeight, 1/float64(c.observations))
	c.logFactor += (sample - c.logFactor) * weight
	c.observedAt = now
}

// apply returns the corrected estimate.
func (c *correction) apply(e Estimate, now time.Time) Estimate {
	if c.observations < minObservations || now.Sub(c.observedAt) > observationMaxAge {
		return e
	}
	factor := math.Exp(c.logFactor)
	e.SlotFree = time.Duration(float64(e.SlotFree) * factor)
	e.Queued = time.Duration(float64(e.Queued) * factor)
	e.FirstEvent = time.Duration(float64(e.FirstEvent) * factor)
	return e
}
