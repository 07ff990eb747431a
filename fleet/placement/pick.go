package placement

import (
	"slices"
	"time"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/location"
	"cuminrock.example/fleet/mix"
)

const (
	// waitingRequestCost and runningRequestCost are the costs of a waiting and
	// of a running request at a target, in prompt tokens to process.
	waitingRequestCost = 4000
	runningRequestCost = 100
	// copyCostFactor is the cost of a shared token that has to be copied from
	// the target that keeps it.
	copyCostFactor = 2
	// remoteCost is the cost of using another data centre, in prompt tokens.
	remoteCost = 2000
	// loadReportMaxAge is how long a load report of a target is used.
	loadReportMaxAge = 2 * time.Second
	// remoteLoadPenalty is added to the load of a target in another data
	// centre, in requests.
	remoteLoadPenalty = 0.25
	// noTargetRetryAfter is the retry-after if no target accepts new requests.
	noTargetRetryAfter = 500 * time.Millisecond
)

// Request is the input of Pick.
type Request struct {
	Service string
	// Affinity is a hash of the prompt parts shared with other requests; 0
	// means that no target is preferred.
	Affinity uint64
	// SharedTokens is the size of those parts and PromptTokens that of the
	// whole prompt.
	SharedTokens, PromptTokens int64
	// MaxOutputTokens is the most output tokens that the request declares. Route and
	// Workspace are the key by which the length of its answer is learned.
	MaxOutputTokens  int64
	Route, Workspace string
	// Version restricts the choice to targets of one version; empty means all.
	Version string
	// Homes are the regions whose targets may get the request.
	Homes location.Homes
	// AllowsVersion restricts the choice to targets of versions for which it returns true;
	// nil means all.
	AllowsVersion func(version string) bool
	// Exclude lists the ids of targets that this request has already tried.
	Exclude []string
	// Avoid reports the targets that are picked only if there is no other; nil for none.
	Avoid func(Target) bool
	Now   time.Time
}

// Lease is a request's slot at a target. Its holder must call Done exactly
// once.
type Lease struct {
	table *Table
	state *targetState
	// target is a copy of the target as of the pick.
	target Target
	// probesTarget and probesDataCentre are set if the request probes a
	// suspect.
	probesTarget, probesDataCentre bool
	// pendingPromptTokens is the number of prompt tokens that the target
	// presumably hasn't processed yet.
	pendingPromptTokens int64
	affinity            uint64
	// source is the target from which the shared parts can be copied; nil for
	// none.
	source *Target
	// pickedAt is when the target was picked.
	pickedAt time.Time
	// work is set if the target was picked by expected work.
	work *workLease
}

// Target returns the picked target.
func (l *Lease) Target() Target { return l.target }

// Source returns the target from which the picked one can copy the shared parts
// of the prompt, or nil for none.
func (l *Lease) Source() *Target { return l.source }

// Pick returns a slot at a target. An error is of kind NoTarget.
func (t *Table) Pick(r *Request) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r = t.relaxed(r)
	if l := t.pickByWork(r); l != nil {
		return l, nil
	}
	candidates := t.candidates(r, true)
	if len(candidates) == 0 {
		candidates = t.candidates(r, false)
	}
	if len(candidates) == 0 {
		return nil, t.noTarget(r)
	}
	s, preferred := t.choose(candidates, r)
	pendingPromptTokens := r.PromptTokens
	if preferred != nil {
		pendingPromptTokens -= r.SharedTokens
	}
	l := t.lease(s, pendingPromptTokens, r.Now)
	l.affinity, l.source = r.Affinity, t.copySource(s, r)
	return l, nil
}

// noTarget returns the error of a request that no target may get.
func (t *Table) noTarget(r *Request) error {
	retryAfter := t.untilAccepting(r)
	if retryAfter == 0 {
		retryAfter = noTargetRetryAfter
	}
	return errkind.New(errkind.NoTarget, "no target of the service accepts new requests").WithRetryAfter(retryAfter)
}

// Take returns a slot at one process of a target, for a request that another router
// passes on. It reports false if the process isn't listed, is leaving, asked for quiet
// or is in an evacuated data centre. Limits are the other router's concern.
func (t *Table) Take(p Process, promptTokens int64, now time.Time) (*Lease, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[p.ID]
	if s == nil || s.target.Process() != p || s.announced.leaving || s.announced.quiet(now) || t.evacuated.Has(s.target.DataCentre) {
		return nil, false
	}
	return t.lease(s, promptTokens, now), true
}

// lease returns a slot at the target. The table's lock must be held.
func (t *Table) lease(s *targetState, pendingPromptTokens int64, now time.Time) *Lease {
	s.inFlight++
	s.sentSinceReport++
	s.pendingPromptTokens += pendingPromptTokens
	dc := t.dataCentreState(s.target.DataCentre)
	dc.recordSend(now)
	return &Lease{
		table: t, state: s, target: s.target, pendingPromptTokens: pendingPromptTokens, pickedAt: now,
		probesTarget:     s.health.Begin(),
		probesDataCentre: dc.health.Begin(),
	}
}

// acceptsNew reports whether the target takes new requests, by what it said.
func (s *targetState) acceptsNew(now time.Time) bool {
	return !s.announced.leaving && !s.announced.quiet(now) && !now.Before(s.deferredUntil)
}

// candidates returns the targets that may get the request: never one that is
// leaving, asked for quiet, takes no more within its limit or is in a data centre that
// the request may not be sent to. If healthy is set, it leaves out unavailable ones;
// Pick calls it again without if none is left.
func (t *Table) candidates(r *Request, healthy bool) []*targetState {
	var candidates []*targetState
	for _, s := range t.services[r.Service] {
		if !t.mayGet(r, s) {
			continue
		}
		if healthy && !t.available(s, r.Now) {
			continue
		}
		candidates = append(candidates, s)
	}
	return candidates
}

// mayGet reports whether the target may get the request at all, also while it is
// unavailable.
func (t *Table) mayGet(r *Request, s *targetState) bool {
	return r.allows(s) && t.locationAllows(r, s) && s.acceptsNew(r.Now)
}

// allows reports whether the request may be sent to the target.
func (r *Request) allows(s *targetState) bool {
	if r.Avoid != nil && r.Avoid(s.target) {
		return false
	}
	return (r.Version == "" || s.target.Version == r.Version) &&
		(r.AllowsVersion == nil || r.AllowsVersion(s.target.Version)) && !slices.Contains(r.Exclude, s.target.ID)
}

// relaxed returns the request, or one that avoids no targets if no others are available.
func (t *Table) relaxed(r *Request) *Request {
	if r.Avoid == nil || len(t.candidates(r, true)) > 0 {
		return r
	}
	everywhere := *r
	everywhere.Avoid = nil
	return &everywhere
}

// available reports whether neither the target nor its data centre is suspect,
// the target has not just refused a request, and the data centre isn't silent.
func (t *Table) available(s *targetState, now time.Time) bool {
	return s.accepts(now) && t.dataCentreState(s.target.DataCentre).accepts(now)
}

// accepts reports whether the target isn't suspect and has not just refused a request.
func (s *targetState) accepts(now time.Time) bool {
	return s.health.Accepts(now) && !now.Before(s.refusedUntil)
}

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
