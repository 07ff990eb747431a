package placement

import "time"

const (
	// maxQuietTime bounds how long a target that asks for quiet gets no requests.
	maxQuietTime = time.Hour
	// pastRetention is how long what a target announced is kept after it is no
	// longer listed, since its entry may come back, and maxPastTargets bounds how
	// many of these are kept.
	pastRetention  = 10 * time.Minute
	maxPastTargets = 10_000
)

// Announcement is what a target says about itself in a response.
type Announcement struct {
	// Leaving means that the target gets no new requests until its process has
	// been replaced.
	Leaving bool
	// Quiet is how long the target wants no requests from this router; 0 if it
	// doesn't say.
	Quiet time.Duration
	// Limit is the number of requests a second that the target takes from all
	// routers together; 0 if it names none.
	Limit float64
	// MaxRefusals is the number of requests a second that a brittle target may have to
	// turn away without falling over; 0 if it isn't brittle.
	MaxRefusals int
	// ColdFor is how long the target stays cold, and ColdKnown is set if it says so.
	ColdFor   time.Duration
	ColdKnown bool
}

// announced is what a process of a target has announced. It holds whatever the
// list of targets says, until the process is replaced.
type announced struct {
	leaving    bool
	quietUntil time.Time
}

// add adds an announcement. The longest of several times of quiet counts.
func (a *announced) add(n Announcement, now time.Time) {
	a.leaving = a.leaving || n.Leaving
	until := now.Add(min(n.Quiet, maxQuietTime))
	if n.Quiet > 0 && until.After(a.quietUntil) {
		a.quietUntil = until
	}
}

// quiet reports whether the target wants no requests now.
func (a *announced) quiet(now time.Time) bool { return now.Before(a.quietUntil) }

// Announce records what the target said in a response. It holds from the next
// pick on.
func (l *Lease) Announce(n Announcement, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.state.announced.add(n, now)
}

// Process identifies one process of a target; successive processes under one id
// differ in their start time, in Unix milliseconds.
type Process struct {
	ID          string
	StartTimeMs int64
}

// Process returns the process that the target is.
func (t *Target) Process() Process { return Process{ID: t.ID, StartTimeMs: t.StartTimeMs} }

// pastTarget is what a target that is no longer listed had announced.
type pastTarget struct {
	announced
	listedUntil time.Time
}

// rememberPast keeps what the targets announced that are no longer listed, and
// forgets what is too old. All are forgotten when there are too many.
func (t *Table) rememberPast(old map[string]*targetState, now time.Time) {
	for past, known := range t.past {
		if now.Sub(known.listedUntil) > pastRetention {
			delete(t.past, past)
		}
	}
	if len(t.past) > maxPastTargets {
		clear(t.past)
	}
	for id, s := range old {
		if t.byID[id] != s && (s.announced.leaving || s.announced.quiet(now)) {
			t.past[s.target.Process()] = pastTarget{announced: s.announced, listedUntil: now}
		}
	}
}

// untilAccepting returns the time until the first of the service's targets that
// asked for quiet, or reached its limit, takes requests again; 0 if none of them
// did. Those in data centres that the request may not be sent to don't count.
func (t *Table) untilAccepting(r *Request) time.Duration {
	var first time.Duration
	for _, s := range t.services[r.Service] {
		if s.announced.leaving || s.acceptsNew(r.Now) || !t.locationAllows(r, s) {
			continue
		}
		left := max(s.announced.quietUntil.Sub(r.Now), s.deferredUntil.Sub(r.Now))
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}
