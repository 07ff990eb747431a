package placement

import "time"

const (
	// minSuspectTime and maxSuspectTime bound the time for which a suspect gets
	// no requests.
	minSuspectTime = 500 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// failuresToSuspect is the number of consecutive failures that make a
	// target suspect. One that can't be reached is suspect at once.
	failuresToSuspect = 2
)

// health decides whether a target or a data centre gets requests. A suspect
// gets none for a time that doubles with each further failure, and after that
// one request at a time until one is answered.
type health struct {
	// extraFailures counts the failures beyond the one that made the target or
	// data centre suspect; -1 means that it isn't suspect.
	extraFailures int
	suspectUntil  time.Time
	// probing is set while a probe request to a suspect is in progress.
	probing bool
}

func newHealth() health { return health{extraFailures: -1} }

// accepts reports whether a request may be sent.
func (h *health) accepts(now time.Time) bool {
	return h.extraFailures < 0 || !now.Before(h.suspectUntil) && !h.probing
}

// recordSend records that a request is sent. It reports whether the request is
// a probe.
func (h *health) recordSend() bool {
	if h.extraFailures < 0 {
		return false
	}
	h.probing = true
	return true
}

// recordFailure makes the target or data centre suspect, or extends the time
// for which it is.
func (h *health) recordFailure(now time.Time) {
	h.extraFailures++
	h.suspectUntil = now.Add(min(minSuspectTime<<min(h.extraFailures, 8), maxSuspectTime))
}

// reset makes the target or data centre no longer suspect.
func (h *health) reset() { *h = newHealth() }
