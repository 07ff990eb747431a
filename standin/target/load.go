package target

import (
	"sync"
	"time"
)

// LoadReport is the answer of GET /v1/load.
type LoadReport struct {
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
	Leaving  bool `json:"leaving"`
}

// reportHistoryLen bounds the past that a lagging report is taken from.
const reportHistoryLen = 10_000

// lagged keeps past reports, so that one of an earlier time can be told.
type lagged struct {
	mu      sync.Mutex
	history []timedReport
}

type timedReport struct {
	at     time.Time
	report LoadReport
}

// record keeps the report of a time; equal ones are kept once.
func (l *lagged) record(at time.Time, r LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := len(l.history) - 1
	if last >= 0 && l.history[last].report == r {
		return
	}
	l.history = append(l.history, timedReport{at: at, report: r})
	if len(l.history) > reportHistoryLen {
		l.history = append(l.history[:0], l.history[reportHistoryLen/2:]...)
	}
}

// at returns the report that stood at a time; idle where there was none.
func (l *lagged) at(t time.Time) LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.history) - 1; i >= 0; i-- {
		if !l.history[i].at.After(t) {
			return l.history[i].report
		}
	}
	return LoadReport{}
}
