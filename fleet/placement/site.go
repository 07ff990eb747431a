package placement

import "time"

const (
	// strikesToSuspectSite is the number of targets of another data centre that
	// couldn't be reached, with no answer from there in between, which make the
	// whole of it suspect.
	strikesToSuspectSite = 2
	// quietAfter and quietRequests tell a data centre from which nothing has
	// come for so long, with so many requests in progress there.
	quietAfter    = 300 * time.Millisecond
	quietRequests = 3
)

// site is what was learnt of a data centre as a whole.
type site struct {
	health health
	// unreached counts targets that couldn't be reached since the last answer
	// from there, and last names the newest.
	unreached int
	last      string
	// active counts this router's requests in progress there. waitingSince is
	// since when nothing has come while there were any.
	active       int
	waitingSince time.Time
}

// sent notes that a request was sent there.
func (s *site) sent(now time.Time) {
	if s.active == 0 {
		s.waitingSince = now
	}
	s.active++
}

// ended notes that a request is no longer in progress there.
func (s *site) ended() { s.active-- }

// heard notes that a part of an answer came from there.
func (s *site) heard(now time.Time) { s.waitingSince = now }

// quiet tells whether the data centre may be out of reach. Streams tell within
// a moment; its targets count as silent only much later.
func (s *site) quiet(now time.Time) bool {
	return s.active >= quietRequests && now.Sub(s.waitingSince) > quietAfter
}

// answered notes an answer from the data centre.
func (s *site) answered(now time.Time) {
	s.unreached = 0
	s.last = ""
	s.health.clear()
	s.heard(now)
}

// missed notes a target that couldn't be reached.
func (s *site) missed(id string, now time.Time) {
	if id == s.last && s.health.extra < 0 {
		return
	}
	s.last = id
	s.unreached++
	if s.unreached >= strikesToSuspectSite {
		s.health.fail(now)
	}
}
