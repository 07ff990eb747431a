package placement

import (
	"time"

	"cuminrock.example/fleet/workmodel"
)

// minDataCentreReports is the number of recent reports of targets of a data centre from
// which an estimate counts as known for one that hasn't reported itself lately: a gateway
// that sends a small part of the requests hears from each target every few seconds only.
const minDataCentreReports = 8

// Estimate is what a request can expect at the best target now.
type Estimate struct {
	// Known is set if the service is placed by expected work and the target reported its
	// load within loadReportMaxAge, or enough targets of its data centre did lately.
	Known bool
	// SlotFree is the time until a slot is expected to be free, and FirstEvent the time to
	// the first event, which includes it.
	SlotFree, FirstEvent time.Duration
	// Queued is the part of FirstEvent that is spent on other requests: the wait for a slot,
	// and for their prompts to be read.
	Queued time.Duration
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
	p.noRandom = true
	best, found := t.cheapest(&p)
	if !found {
		return Estimate{}
	}
	return Estimate{
		Known:    best.state.hasFreshReport(r.Now) || best.state.work.dataCentre.known.hasFreshReports(p.now),
		SlotFree: duration(best.slotWait), FirstEvent: duration(best.firstEvent),
		Queued: duration(best.slotWait + best.factor*svc.model.ReadTime(best.ahead)),
	}
}

// hasFreshReports reports whether enough is known of the targets of a data centre as a
// whole.
func (w *dataCentreWork) hasFreshReports(now workmodel.Instant) bool {
	return w.reports.value(now) >= minDataCentreReports && now.Sub(w.requests.at) <= loadReportMaxAge
}
