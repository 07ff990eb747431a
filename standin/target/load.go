package target

import (
	"sync"
	"time"
)

// LoadReport is the response to GET /v1/load.
type LoadReport struct {
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
	Leaving  bool `json:"leaving"`
}

// reportHistoryLen is the maximum number of past reports that are kept for
// Faults.LoadLagMs.
const reportHistoryLen = 10_000

// loadHistory keeps past load reports, so that a stale one can be served.
type loadHistory struct {
	mu      sync.Mutex
	history []timedReport
}

type timedReport struct {
	at     time.Time
	report LoadReport
}

// record adds a report unless it equals the previous one. When the history is
// full, it drops the older half.
func (l *loadHistory) record(at time.Time, r LoadReport) {
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

// at returns the report that was current at time t, or a report without load
// if there was none.
func (l *loadHistory) at(t time.Time) LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.history) - 1; i >= 0; i-- {
		if !l.history[i].at.After(t) {
			return l.history[i].report
		}
	}
	return LoadReport{}
}
