package placement

import "time"

// Result is how a request ended at its target.
type Result uint8

const (
	// Neutral says nothing about the target, for example because the caller
	// left.
	Neutral Result = iota
	// OK means that the target answered the request.
	OK
	// Refused means that the target didn't start the request.
	Refused
	// Failed means that the target answered with a failure or broke off its
	// response.
	Failed
	// Silent means that the target didn't answer, or acknowledge, in time.
	Silent
	// Unreachable means that no connection to the target could be made.
	Unreachable
)

// refusalPause is how long a target that refused a request gets no further
// requests.
const refusalPause = 100 * time.Millisecond

// ReportLoad stores the load that the target reported about itself.
func (l *Lease) ReportLoad(load Load, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.state.load, l.state.reportedAt, l.state.sentSinceReport = load, now, 0
	l.table.learnLoad(l.state, load, now)
}

// RecordProgress records that a part of the response arrived, which implies that
// the target has processed the prompt.
func (l *Lease) RecordProgress(now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.state.heard(now)
	l.markPromptProcessed()
	l.learnFirstEvent(now)
	l.dataCentreState().recordProgress(now)
}

// markPromptProcessed subtracts the request's prompt from the target's pending
// prompt tokens. It has an effect only once.
func (l *Lease) markPromptProcessed() {
	l.state.pendingPromptTokens -= l.pendingPromptTokens
	l.pendingPromptTokens = 0
}

// Done releases the lease and updates the state of the target and its data
// centre by the result.
func (l *Lease) Done(result Result, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	s := l.state
	s.inFlight--
	l.dataCentreState().recordEnd()
	l.markPromptProcessed()
	l.endProbes()
	l.learnEnd(result, now)
	if l.pickedAt.Before(l.table.failuresForgottenAt) && result != OK && result != Refused {
		return
	}
	switch result {
	case OK:
		s.heard(now)
		s.consecutiveFailures = 0
		s.health.Reset()
		l.dataCentreState().recordResponse(now)
	case Refused:
		s.heard(now)
		s.refusedUntil = now.Add(refusalPause)
		l.dataCentreState().recordResponse(now)
	case Failed:
		s.recordFailure(now, failuresToSuspect)
	case Silent:
		s.leftSilentAt = now
		s.recordFailure(now, failuresToSuspect)
		l.table.recordUnreachable(s, now)
	case Unreachable:
		s.recordFailure(now, 1)
		l.table.recordUnreachable(s, now)
	}
}

// Defer releases the lease of a request that wasn't sent, since the target takes no
// further ones for a while. The target isn't picked until then.
func (l *Lease) Defer(pause time.Duration, now time.Time) {
	l.Done(Neutral, now)
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.state.sentSinceReport = max(l.state.sentSinceReport-1, 0)
	l.state.deferredUntil = now.Add(pause)
	l.table.forgetPlacement(l.target.ID, l.affinity)
	l.forgetHolder()
}

// ForgetFailures forgets all failures of targets and data centres, and ignores those of
// requests that are in progress: they were this router's own.
func (t *Table) ForgetFailures(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failuresForgottenAt = now
	t.forgetTimes()
	for _, s := range t.byID {
		s.consecutiveFailures = 0
		s.health.Reset()
	}
	for _, dc := range t.dataCentres {
		dc.recordResponse(now)
	}
}

// dataCentreState returns the state of the target's data centre. The table's
// lock must be held.
func (l *Lease) dataCentreState() *dataCentreState {
	return l.table.dataCentreState(l.target.DataCentre)
}

// endProbes ends the probes that this request made, so that the next request
// can probe the suspect.
func (l *Lease) endProbes() {
	if l.probesTarget {
		l.state.health.EndProbe()
	}
	if l.probesDataCentre {
		l.dataCentreState().health.EndProbe()
	}
}

// recordFailure counts a failure. The target becomes suspect after threshold
// consecutive failures.
func (s *targetState) recordFailure(now time.Time, threshold int) {
	s.consecutiveFailures++
	if s.consecutiveFailures >= threshold {
		s.health.RecordFailure(now)
	}
}

// recordUnreachable records at the data centre that one of its targets couldn't
// be reached or didn't answer in time. The router's own data centre never
// becomes suspect as a whole.
func (t *Table) recordUnreachable(s *targetState, now time.Time) {
	if s.target.DataCentre != t.dataCentre {
		t.dataCentreState(s.target.DataCentre).recordUnreachable(s.target.ID, now)
	}
}

// dataCentreState returns the state of a data centre, which it creates if
// needed. The table's lock must be held.
func (t *Table) dataCentreState(dataCentre string) *dataCentreState {
	known := t.dataCentres[dataCentre]
	if known == nil {
		known = &dataCentreState{health: newHealth()}
		t.dataCentres[dataCentre] = known
	}
	return known
}
