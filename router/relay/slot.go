package relay

import (
	"time"

	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/targetlimit"
)

// slot is a lease of a target and the permit to send one request to it.
type slot struct {
	*placement.Lease
	limits TargetLimits
	permit targetlimit.Permit
	// turnedAway is set if the target had no room for the request.
	turnedAway bool
	// load is what the target reported, at loadAt; nil for no report.
	load   *placement.Load
	loadAt time.Time
}

// ReportLoad stores the load that the target reported about itself.
func (s *slot) ReportLoad(load placement.Load, now time.Time) {
	s.load, s.loadAt = &load, now
	s.Lease.ReportLoad(load, now)
}

// Done releases the lease and the permit.
func (s *slot) Done(result placement.Result, now time.Time) {
	s.Lease.Done(result, now)
	s.limits.Release(s.Target(), s.permit, targetlimit.Outcome{
		Refused: s.turnedAway, Report: targetlimit.Report{Load: s.load, Age: now.Sub(s.loadAt)},
	})
}
