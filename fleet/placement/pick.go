package placement

import (
	"time"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/location"
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
	// SilentSince is the time since which nothing has arrived from the request's target,
	// for a request that looks for another one; zero for all others.
	SilentSince time.Time
	// heardSince, if it isn't zero, restricts the choice to targets that were heard since.
	heardSince time.Time
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
	if !r.SilentSince.IsZero() {
		return t.pickWhileSilent(r)
	}
	return t.pick(r)
}

// pick does the same. The table's lock must be held.
func (t *Table) pick(r *Request) (*Lease, error) {
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
	s.beginSilence(now)
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
