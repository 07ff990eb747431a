package placement

import "time"

const (
	// suspectMin and suspectMax bound how long a suspect gets no work.
	suspectMin = 500 * time.Millisecond
	suspectMax = 4 * time.Second
	// strikesToSuspect is the number of failures in a row that make a target
	// suspect; one that can't be reached is suspect at once.
	strikesToSuspect = 2
)

// health tells whether a target, or a data centre, may get work. A suspect gets
// none for a time that doubles with each further failure, and then one request
// at a time until one is answered.
type health struct {
	// extra counts the failures beyond those that made it a suspect; -1 means
	// that it isn't one.
	extra int
	until time.Time
	// probing says that a request is on its way to a suspect.
	probing bool
}

func newHealth() health { return health{extra: -1} }

// open tells whether work may be sent.
func (h *health) open(now time.Time) bool {
	return h.extra < 0 || !now.Before(h.until) && !h.probing
}

// sent notes that work was sent. It reports whether that is a probe.
func (h *health) sent() bool {
	if h.extra < 0 {
		return false
	}
	h.probing = true
	return true
}

// fail makes it a suspect, or one for longer.
func (h *health) fail(now time.Time) {
	h.extra++
	h.until = now.Add(min(suspectMin<<min(h.extra, 8), suspectMax))
}

// clear ends the suspicion.
func (h *health) clear() { *h = newHealth() }
