package placement

import (
	"slices"
	"time"
)

// silenceShare is the part of a target's silence for which another one must have been
// silent, too, to count as silent.
const silenceShare = 2

// RecordHeard records that the target has answered, if only with a header.
func (l *Lease) RecordHeard(now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.state.heard(now)
}

// heard records that something has arrived from the target.
func (s *targetState) heard(now time.Time) { s.heardAt, s.silentSince = now, now }

// isSilent reports whether nothing has arrived from the target since a time while requests
// are in flight, or one was taken away from it after that time for its silence.
func (s *targetState) isSilent(since time.Time) bool {
	waiting := s.inFlight > 0 && s.silentSince.Before(since)
	left := s.leftSilentAt.After(since) && s.heardAt.Before(s.leftSilentAt)
	return waiting || left
}

// beginSilence starts the time for which nothing arrives from the target when the first
// request is sent to it.
func (s *targetState) beginSilence(now time.Time) {
	if s.inFlight == 0 {
		s.silentSince = now
	}
}

// pickWhileSilent picks a target for a request whose target is silent: one that was heard
// meanwhile. One of which nothing is known is picked only if no other is silent as well:
// otherwise the silence isn't the target's alone, and others are likely to be silent, too.
// The table's lock must be held.
func (t *Table) pickWhileSilent(r *Request) (*Lease, error) {
	since := r.Now.Add(-r.Now.Sub(r.SilentSince) / silenceShare)
	heard := *r
	heard.heardSince = since
	l, err := t.pick(&heard)
	if err == nil || t.othersSilent(r, since) {
		return l, err
	}
	return t.pick(r)
}

// othersSilent reports whether a target that the request hasn't tried is silent.
func (t *Table) othersSilent(r *Request, since time.Time) bool {
	return slices.ContainsFunc(t.services[r.Service], func(s *targetState) bool {
		return s.isSilent(since) && !slices.Contains(r.Exclude, s.target.ID)
	})
}

// heardInTime reports whether the target was heard since the request requires it.
func (r *Request) heardInTime(s *targetState) bool {
	return r.heardSince.IsZero() || !s.heardAt.Before(r.heardSince)
}
