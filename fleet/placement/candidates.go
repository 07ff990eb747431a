package placement

import (
	"slices"
	"time"
)

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
	return r.allows(s) && r.heardInTime(s) && t.locationAllows(r, s) && s.acceptsNew(r.Now)
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
