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
	// Silent is a target that didn't answer, or acknowledge, in time.
	Silent
	// Unreachable is a target that no connection could be made to.
	Unreachable
)

// refusedPause is how long a target that refused gets no work.
const refusedPause = 100 * time.Millisecond

// ReportLoad takes the target's own word of its load.
func (l *Lease) ReportLoad(load Load, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.state.load, l.state.toldAt, l.state.sentSince = load, now, 0
}

// RecordProgress takes that a part of the answer came: the prompt is read.
func (l *Lease) RecordProgress(now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.read()
	l.site().heard(now)
}

// read takes the prompt off the unread ones, once.
func (l *Lease) read() {
	l.state.unread -= l.unread
	l.unread = 0
}

// Done gives the place back and learns from the result.
func (l *Lease) Done(result Result, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	s := l.state
	s.own--
	l.site().ended()
	l.read()
	l.endProbe()
	switch result {
	case OK:
		s.strikes = 0
		s.health.clear()
		l.site().answered(now)
	case Refused:
		s.refusedUntil = now.Add(refusedPause)
		l.site().answered(now)
	case Failed:
		s.strike(now, strikesToSuspect)
	case Silent:
		s.strike(now, strikesToSuspect)
		l.table.missed(s, now)
	case Unreachable:
		s.strike(now, 1)
		l.table.missed(s, now)
	}
}

// site returns what was learnt of the target's data centre. The lock is held.
func (l *Lease) site() *site { return l.table.site(l.target.DataCentre) }

// endProbe lets the next request probe a suspect.
func (l *Lease) endProbe() {
	if l.probesTarget {
		l.state.health.probing = false
	}
	if l.probesSite {
		l.site().health.probing = false
	}
}

// strike counts a failure; the given number in a row makes the target suspect.
func (s *state) strike(now time.Time, enough int) {
	s.strikes++
	if s.strikes >= enough {
		s.health.fail(now)
	}
}

// missed notes that a target couldn't be reached. The router's own data centre
// is never suspect as a whole.
func (t *Table) missed(s *state, now time.Time) {
	if s.target.DataCentre != t.dataCentre {
		t.site(s.target.DataCentre).missed(s.target.ID, now)
	}
}

// site returns what was learnt of a data centre. The lock is held.
func (t *Table) site(dataCentre string) *site {
	known := t.sites[dataCentre]
	if known == nil {
		known = &site{health: newHealth()}
		t.sites[dataCentre] = known
	}
	return known
}
