package placement

import (
	"time"

	"cuminrock.example/fleet/mix"
)

// choose picks one of the candidates. It also returns the preferred target for
// the prompt's shared parts, which is nil without such parts.
func (t *Table) choose(candidates []*targetState, r *Request) (best, preferred *targetState) {
	if r.Affinity == 0 {
		return t.leastLoaded(candidates, r.Now), nil
	}
	preferred = t.affinityTarget(candidates, r)
	best, bestCost := preferred, t.requestCost(preferred, r)
	for _, s := range candidates {
		cost := t.requestCost(s, r) + copyCostFactor*r.SharedTokens
		if s != preferred && cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, preferred
}

// affinityTarget returns the target that keeps the shared parts of the prompt
// for the routers of this data centre.
func (t *Table) affinityTarget(candidates []*targetState, r *Request) *targetState {
	local := t.localTargets(candidates)
	if len(local) == 0 {
		local = candidates
	}
	return rendezvousTarget(local, r.Affinity)
}

// localTargets returns the targets in this router's data centre.
func (t *Table) localTargets(list []*targetState) []*targetState {
	var found []*targetState
	for _, s := range list {
		if s.target.DataCentre == t.dataCentre {
			found = append(found, s)
		}
	}
	return found
}

// requestCost returns the cost of sending the request to a target, in prompt
// tokens, without the cost of copying the shared parts.
func (t *Table) requestCost(s *targetState, r *Request) int64 {
	cost := s.pendingCost(r.Now)
	if s.target.DataCentre != t.dataCentre {
		cost += remoteCost
	}
	return cost
}

// rendezvousTarget returns the candidate with the highest rendezvous weight,
// which is the one that keeps the prompt parts.
func rendezvousTarget(candidates []*targetState, affinity uint64) *targetState {
	best, bestWeight := candidates[0], mix.RendezvousWeight(affinity, candidates[0].target.ID)
	for _, s := range candidates[1:] {
		weight := mix.RendezvousWeight(affinity, s.target.ID)
		if weight > bestWeight {
			best, bestWeight = s, weight
		}
	}
	return best
}

// pendingCost returns the work at the target ahead of a new request, in prompt
// tokens.
func (s *targetState) pendingCost(now time.Time) int64 {
	cost := s.pendingPromptTokens + int64(s.estimatedRequests(now)*runningRequestCost)
	if s.hasFreshReport(now) {
		cost += int64(s.load.Waiting) * waitingRequestCost
	}
	return cost
}

// leastLoaded returns the candidate with the fewest requests, with a penalty
// for those in other data centres.
func (t *Table) leastLoaded(candidates []*targetState, now time.Time) *targetState {
	var best *targetState
	var bestLoad float64
	for _, s := range candidates {
		load := s.estimatedRequests(now)
		if s.target.DataCentre != t.dataCentre {
			load += remoteLoadPenalty
		}
		if best == nil || load < bestLoad {
			best, bestLoad = s, load
		}
	}
	return best
}

// estimatedRequests returns the estimated number of requests at the target.
func (s *targetState) estimatedRequests(now time.Time) float64 {
	own := float64(s.inFlight)
	if !s.hasFreshReport(now) {
		return own
	}
	return max(own, float64(s.load.Running+s.load.Waiting+s.sentSinceReport))
}

// hasFreshReport reports whether the target's last load report is recent enough
// to be used.
func (s *targetState) hasFreshReport(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= loadReportMaxAge
}
