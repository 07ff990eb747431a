package placement

import "time"

const (
	// leastCopied is the least shared tokens worth a copy; reading fewer anew
	// takes no longer.
	leastCopied = 500
	// placedFor is how long a target is taken to keep parts that it was sent,
	// and mostPlaced the number of prompts of which that is known.
	placedFor  = 15 * time.Second
	mostPlaced = 10_000
	// filledAfter is how long after its start a target is taken to keep little.
	filledAfter = 15 * time.Second
)

// placed is where this router sent the shared parts of a prompt last.
type placed struct {
	id string
	at time.Time
}

// source returns where the picked target can copy the shared parts from, and
// nil where there is nothing to copy: the target that this router sent them to
// last, or else their home in another data centre, whose routers may have used
// it. A target that is leaving serves as well.
func (t *Table) source(picked *state, r *Request) *Target {
	if r.Affinity == 0 || r.SharedTokens < leastCopied {
		return nil
	}
	last, known := t.lastOf(r)
	t.remember(r, picked)
	if known {
		if last == picked {
			return nil
		}
		return last.copied()
	}
	keepers := t.keepers(picked, r)
	if len(keepers) == 0 {
		return nil
	}
	return homeOf(keepers, r.Affinity).copied()
}

// copied returns a copy of the target, which outlives the table's lock.
func (s *state) copied() *Target {
	target := s.target
	return &target
}

// lastOf returns the target that was sent the parts last, if it may still keep
// them.
func (t *Table) lastOf(r *Request) (*state, bool) {
	last, known := t.placed[r.Affinity]
	if !known || r.Now.Sub(last.at) > placedFor {
		return nil, false
	}
	s := t.byID[last.id]
	return s, s != nil && t.takes(s, r.Now)
}

// remember notes where the parts are sent. What it forgets costs a copy.
func (t *Table) remember(r *Request, s *state) {
	if len(t.placed) >= mostPlaced {
		clear(t.placed)
	}
	t.placed[r.Affinity] = placed{id: s.target.ID, at: r.Now}
}

// keepers returns the targets of other data centres that may keep the parts.
func (t *Table) keepers(picked *state, r *Request) []*state {
	var found []*state
	for _, s := range t.services[r.Service] {
		far := s.target.DataCentre != picked.target.DataCentre
		if far && t.takes(s, r.Now) && r.Now.Sub(s.since) > filledAfter {
			found = append(found, s)
		}
	}
	return found
}
