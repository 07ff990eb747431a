package placement

import "time"

const (
	// minCopyTokens is the minimum number of shared tokens for which a copy is
	// worthwhile; recomputing fewer takes no longer than the copy.
	minCopyTokens = 500
	// cacheRetention is how long a target is assumed to keep prompt parts that
	// it was sent, and maxPlacementRecords the maximum number of prompts for
	// which the last target is recorded.
	cacheRetention      = 15 * time.Second
	maxPlacementRecords = 10_000
	// cacheFillTime is how long after its registration a target is assumed to
	// have little in its cache.
	cacheFillTime = 15 * time.Second
)

// placementRecord is the target to which this router last sent the shared parts
// of a prompt.
type placementRecord struct {
	id string
	at time.Time
}

// copySource returns the target from which the picked one can copy the shared
// prompt parts, or nil if there is nothing to copy. It is the target to which
// this router last sent them, if that is recent and the target is available, or
// else the rendezvous target among those of other data centres, which the
// routers there may have used. A leaving target is a valid source, one in a data centre
// that the request may not be sent to isn't.
func (t *Table) copySource(picked *targetState, r *Request) *Target {
	if r.Affinity == 0 || r.SharedTokens < minCopyTokens {
		return nil
	}
	last, known := t.lastHolder(r)
	known = known && t.locationAllows(r, last)
	t.recordPlacement(r, picked)
	if known {
		if last == picked {
			return nil
		}
		return last.cloneTarget()
	}
	holders := t.remoteHolders(picked, r)
	if len(holders) == 0 {
		return nil
	}
	return rendezvousTarget(holders, r.Affinity).cloneTarget()
}

// cloneTarget returns a copy of the target that remains valid after the table's
// lock is released.
func (s *targetState) cloneTarget() *Target {
	target := s.target
	return &target
}

// lastHolder returns the target to which the shared parts were last sent, if it
// may still keep them.
func (t *Table) lastHolder(r *Request) (*targetState, bool) {
	last, known := t.lastPlacement[r.Affinity]
	if !known || r.Now.Sub(last.at) > cacheRetention {
		return nil, false
	}
	s := t.byID[last.id]
	return s, s != nil && t.available(s, r.Now)
}

// recordPlacement records the target to which the shared parts are sent. All
// records are dropped when there are too many; each lost record costs at most
// one copy.
func (t *Table) recordPlacement(r *Request, s *targetState) {
	if len(t.lastPlacement) >= maxPlacementRecords {
		clear(t.lastPlacement)
	}
	t.lastPlacement[r.Affinity] = placementRecord{id: s.target.ID, at: r.Now}
}

// forgetPlacement forgets that the shared parts were sent to a target.
func (t *Table) forgetPlacement(id string, affinity uint64) {
	if t.lastPlacement[affinity].id == id {
		delete(t.lastPlacement, affinity)
	}
}

// remoteHolders returns the available targets outside the picked target's data
// centre that may keep the shared parts.
func (t *Table) remoteHolders(picked *targetState, r *Request) []*targetState {
	var found []*targetState
	for _, s := range t.services[r.Service] {
		remote := s.target.DataCentre != picked.target.DataCentre
		if remote && t.locationAllows(r, s) && t.available(s, r.Now) && r.Now.Sub(s.registeredAt) > cacheFillTime {
			found = append(found, s)
		}
	}
	return found
}
