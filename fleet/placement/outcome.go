package placement

import "time"

// Result is how a request ended at its target.
type Result uint8

const (
	// Neutral says nothing of the target, such as a caller that left.
	Neutral Result = iota
	// OK is a request that was answered.
	OK
	// Refused is a target that didn't start the request.
	Refused
	// Failed is a target that answered with a failure or broke off.
	Failed
	// Silent is a target that didn't answer in time.
	Silent
	// Unreachable is a target that no connection could be made to.
	Unreachable
)

const (
	// suspectMin and suspectMax bound how long a suspect target gets no work.
	suspectMin = 500 * time.Millisecond
	suspectMax = 4 * time.Second
	// refusedPause is how long a target that refused gets no work.
	refusedPause = 100 * time.Millisecond
	// strikesToSuspect is the number of failures in a row that make a target
	// suspect; one unreachable target is suspect at once.
	strikesToSuspect = 2
)

// Told takes the target's own word of its load.
func (l *Lease) Told(load Load, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.state.load, l.state.toldAt, l.state.sentSince = load, now, 0
}

// Done gives the place back and learns from the result.
func (l *Lease) Done(result Result, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	s := l.state
	s.own--
	switch result {
	case OK:
		s.strikes = 0
		s.suspectUntil = time.Time{}
	case Refused:
		s.suspectUntil = later(s.suspectUntil, now.Add(refusedPause))
	case Failed, Silent:
		s.strike(now, strikesToSuspect)
	case Unreachable:
		s.strike(now, 1)
	}
}

// strike counts a failure; from the given number in a row on the target is
// suspect for a time that doubles with each.
func (s *state) strike(now time.Time, enough int) {
	s.strikes++
	extra := s.strikes - enough
	if extra < 0 {
		return
	}
	wait := min(suspectMin<<min(extra, 8), suspectMax)
	s.suspectUntil = now.Add(wait)
}

// healthy tells whether the target isn't suspect.
func (s *state) healthy(now time.Time) bool { return !now.Before(s.suspectUntil) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
