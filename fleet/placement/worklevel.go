package placement

import (
	"math"
	"time"

	"cuminrock.example/fleet/workmodel"
)

// updateDataCentres sets for each data centre what a pick asks for each candidate: whether
// it is available, and the number of requests that a target is expected to have of which
// nothing is known.
func (p *pricing) updateDataCentres() {
	svc, now := p.svc, p.now
	for _, dc := range svc.dataCentres {
		dc.accepts = p.table.dataCentreState(dc.name).accepts(p.r.Now)
		dc.level = svc.requests.value
		if known := &dc.known.requests; known.known {
			dc.level += (known.value - dc.level) * workmodel.Fading(now.Sub(known.at), meanMemory)
		}
	}
}

// expectedRequests returns the expected number of requests at the target, and how far
// the number may be off. A report gives way to the mean of the target's reports, and
// that to the mean of its data centre, as they age.
func (s *targetState) expectedRequests(memory time.Duration, now workmodel.Instant) (expected, spread float64) {
	own := float64(min(s.sentSinceReport, s.inFlight))
	level := s.work.dataCentre.level
	if s.work.requests.known {
		level += (s.work.requests.value - level) * workmodel.Fading(now.Sub(s.work.requests.at), meanMemory)
	}
	weight := 0.0
	if s.work.reportedAt != 0 {
		weight = workmodel.Fading(now.Sub(s.work.reportedAt), memory)
		level += (s.reportedRequests() - level) * weight
	}
	expected = max(level+own, float64(s.inFlight))
	return expected, math.Sqrt(level * (1 - weight*weight))
}

// reportedRequests returns the number of requests in the target's last report, as far as
// it is believed.
func (s *targetState) reportedRequests() float64 {
	requests := s.load.Running + s.load.Waiting
	if s.load.Slots > 0 {
		requests = min(requests, maxReportedRequests*s.load.Slots)
	}
	return float64(requests)
}

// reportMemory returns the time in which a report gives way to the mean.
func (svc *workService) reportMemory() time.Duration {
	memory := time.Duration(2 * svc.model.Duration() * float64(time.Millisecond))
	return min(max(memory, minReportMemory), maxReportMemory)
}

// slotWait returns the expected wait for a slot at a target with a number of requests,
// which may be off by the spread, in the unit of the duration of requests.
func slotWait(requests, spread, slots, duration float64) float64 {
	if slots <= 0 {
		return requests / unknownSlots * duration
	}
	excess := requests + 1 - slots
	// softening approximates the mean excess of a normal distribution above zero.
	softening := 0.55 * max(spread, 0.3)
	switch x := excess / softening; {
	case x < -12:
		return 0
	case x < 12:
		excess = softening * math.Log1p(math.Exp(x))
	}
	return excess / slots * duration
}

// recentlyUsed reports whether this router probably has a connection to the target.
func (s *targetState) recentlyUsed(now workmodel.Instant) bool {
	return s.work.usedAt != 0 && now.Sub(s.work.usedAt) <= usedMaxAge
}
