package targetlimit

import (
	"time"

	"cuminrock.example/fleet/placement"
)

// coldState is what is known of one target.
type coldState struct {
	target placement.Target
	// until is the end of the cold period of which the target told last, at toldAt.
	until, toldAt time.Time
	// doubtAt is when the target's state came into doubt; zero if it isn't in doubt.
	// doubtUntil ends the doubt; zero if only ColdRule.Period does.
	doubtAt, doubtUntil time.Time
	// answeredAt is when an answer last told of a cold period.
	answeredAt time.Time
	// entriesFrom is the time from which on entries that are read were written later than
	// what is known.
	entriesFrom time.Time
	// since is when the target turned cold for this gateway, which may have sent it
	// requests without permits until then.
	since time.Time
}

// cold reports whether the target counts as cold.
func (s *coldState) cold(period time.Duration, now time.Time) bool {
	return now.Before(s.until) || s.inDoubt(period, now)
}

// inDoubt reports whether the target's state is in doubt.
func (s *coldState) inDoubt(period time.Duration, now time.Time) bool {
	if s.doubtAt.IsZero() || !s.doubtUntil.IsZero() && !now.Before(s.doubtUntil) {
		return false
	}
	return period == 0 || now.Before(s.doubtAt.Add(period))
}

// newColdState returns the state of a target of which nothing was known.
func newColdState(t placement.Target, doubt bool, now time.Time) *coldState {
	s := &coldState{target: t}
	if doubt {
		s.doubtAt = now
	}
	return s
}

// sameProcess reports whether an entry is of the process that is known.
func (s *coldState) sameProcess(t placement.Target) bool {
	return s.target.Process() == t.Process() && s.target.Address == t.Address
}

// recordEntry takes an entry; later is set if it was written after the last one.
func (s *coldState) recordEntry(t placement.Target, later bool, now time.Time) {
	s.target = t
	until := time.Time{}
	if t.ColdFor > 0 {
		until, s.toldAt = now.Add(t.ColdFor+coldMargin), now
	}
	if later && !now.Before(s.entriesFrom) {
		s.until, s.doubtAt = until, time.Time{}
		return
	}
	s.until = latest(s.until, until)
}

// doubt brings the target's state into doubt, until a time unless that is zero.
func (s *coldState) doubt(now, until time.Time) {
	s.doubtAt, s.doubtUntil, s.entriesFrom = now, until, now.Add(entryDelay)
}

// appendChange makes a change to what is known of a target, and appends it if the target
// has turned cold, or no longer is. Doubt counts without its limits.
func appendChange(changes []ColdChange, s *coldState, now time.Time, cause ColdCause, change func()) []ColdChange {
	isNew := s.since.IsZero() && !s.doubtAt.IsZero()
	wasCold := !isNew && s.cold(0, now)
	change()
	isCold := s.cold(0, now)
	if isCold == wasCold {
		return changes
	}
	if isCold {
		s.since = now
		if !s.doubtAt.IsZero() {
			cause = ColdInDoubt
		}
	}
	return append(changes, ColdChange{Target: s.target, Cold: isCold, Cause: cause, For: max(s.until.Sub(now), 0)})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
