package placement

import (
	"time"

	"cuminrock.example/fleet/breaker"
)

const (
	// unreachableToSuspect is the number of targets of another data centre after
	// which the whole data centre is suspect, if they can't be reached or don't
	// answer in time and no response arrives from there in between.
	unreachableToSuspect = 2
	// A data centre counts as silent if nothing has arrived from it for longer
	// than silenceLimit while at least silenceMinRequests requests are in
	// progress there.
	silenceLimit       = 300 * time.Millisecond
	silenceMinRequests = 3
)

// dataCentreState is what the table knows about a data centre as a whole.
type dataCentreState struct {
	health breaker.Breaker
	// unreachableCount counts the targets that couldn't be reached or didn't
	// answer in time since the last response from the data centre;
	// lastUnreachable is the id of the newest one.
	unreachableCount int
	lastUnreachable  string
	// inFlight counts this router's requests in progress there. silentSince is
	// the time since which nothing has arrived while there were any.
	inFlight    int
	silentSince time.Time
}

// recordSend records that a request was sent to the data centre.
func (s *dataCentreState) recordSend(now time.Time) {
	if s.inFlight == 0 {
		s.silentSince = now
	}
	s.inFlight++
}

// recordEnd records that a request is no longer in progress there.
func (s *dataCentreState) recordEnd() { s.inFlight-- }

// recordProgress records that a part of a response arrived from there.
func (s *dataCentreState) recordProgress(now time.Time) { s.silentSince = now }

// silent reports whether the data centre may be unreachable. Its streams show
// this within a moment, while an individual target counts as silent only much
// later.
func (s *dataCentreState) silent(now time.Time) bool {
	return s.inFlight >= silenceMinRequests && now.Sub(s.silentSince) > silenceLimit
}

// accepts reports whether the data centre is neither suspect nor silent.
func (s *dataCentreState) accepts(now time.Time) bool {
	return s.health.Accepts(now) && !s.silent(now)
}

// recordResponse records a response from the data centre.
func (s *dataCentreState) recordResponse(now time.Time) {
	s.unreachableCount = 0
	s.lastUnreachable = ""
	s.health.Reset()
	s.recordProgress(now)
}

// recordUnreachable records a target that couldn't be reached or didn't answer
// in time. Until the data centre is suspect, successive failures of one target
// count once.
func (s *dataCentreState) recordUnreachable(id string, now time.Time) {
	if id == s.lastUnreachable && s.health.Closed() {
		return
	}
	s.lastUnreachable = id
	s.unreachableCount++
	if s.unreachableCount >= unreachableToSuspect {
		s.health.RecordFailure(now)
	}
}
