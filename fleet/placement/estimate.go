package placement

import "time"

// Estimate is what a request can expect at the best target now.
type Estimate struct {
	// Known is set if the service is placed by expected work and the target reported its
	// load within loadReportMaxAge.
	Known bool
	// SlotFree is the time until a slot is expected to be free, and FirstEvent the time to
	// the first event, which includes it.
	SlotFree, FirstEvent time.Duration
}

// Estimate returns what the request can expect at the best target now. It compares the
// same kinds of candidates as Pick, and leases none.
func (t *Table) Estimate(r *Request) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	svc := t.placedByWork(r.Service, r.Now)
	if svc == nil {
		return Estimate{}
	}
	p := t.newPricing(svc, r)
	best, found := t.cheapest(&p)
	if !found {
		return Estimate{}
	}
	return Estimate{
		Known:    best.state.hasFreshReport(r.Now),
		SlotFree: duration(best.slotWait), FirstEvent: duration(best.firstEvent),
	}
}
