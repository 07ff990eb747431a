package placement

import (
	"strings"
	"time"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/location"
)

// locationRetryAfter is the retry-after of requests that no data centre may get. An
// operator's change ends that, which takes longer than a busy moment.
const locationRetryAfter = time.Second

// SetEvacuated replaces the set of evacuated data centres, whose targets get no new
// requests. What was known of the load and of the cached prompt parts of targets is
// forgotten when their evacuation begins or is withdrawn: it is outdated when they are
// used again.
func (t *Table) SetEvacuated(evacuated location.DataCentres, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.evacuated
	t.evacuated = evacuated
	for _, s := range t.byID {
		if before.Has(s.target.DataCentre) == evacuated.Has(s.target.DataCentre) {
			continue
		}
		s.load, s.reportedAt, s.sentSinceReport = Load{}, time.Time{}, 0
		s.work.reportedAt, s.work.requests = 0, levelEstimate{}
		s.registeredAt = now
	}
	for affinity, last := range t.lastPlacement {
		s := t.byID[last.id]
		if s != nil && before.Has(s.target.DataCentre) != evacuated.Has(s.target.DataCentre) {
			delete(t.lastPlacement, affinity)
		}
	}
}

// SetRegions sets the regions of the data centres.
func (t *Table) SetRegions(regions location.Regions) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.regions = regions
}

// Evacuated reports whether the data centre is evacuated.
func (t *Table) Evacuated(dataCentre string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuated.Has(dataCentre)
}

// RefusedByLocation returns an error of kind NoTarget if no target is in a data centre
// that the request may be sent to. Without home regions, it does so only if the service
// has targets elsewhere that would take the request.
func (t *Table) RefusedByLocation(r *Request) *errkind.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.evacuated) == 0 && r.Homes == nil {
		return nil
	}
	found := false
	for _, s := range t.services[r.Service] {
		if s.announced.leaving || !r.allows(s) {
			continue
		}
		if t.locationAllows(r, s) {
			return nil
		}
		found = true
	}
	if r.Homes != nil {
		return errkind.New(errkind.NoTarget, "the request's home regions have no target for it: [%s]; evacuated data centres: [%s]",
			strings.Join(r.Homes.Names(), ", "), strings.Join(t.evacuated.Names(), ", ")).WithRetryAfter(locationRetryAfter)
	}
	if !found {
		return nil
	}
	return errkind.New(errkind.NoTarget, "the data centres of all targets are evacuated: %s", strings.Join(t.evacuated.Names(), ", ")).
		WithRetryAfter(locationRetryAfter)
}

// locationAllows reports whether the request may be sent to the target's data centre.
func (t *Table) locationAllows(r *Request, s *targetState) bool {
	return !t.evacuated.Has(s.target.DataCentre) && t.regions.Allow(r.Homes, s.target.DataCentre)
}
