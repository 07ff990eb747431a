package loadgen

import (
	"cmp"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cuminrock.example/ctl/streamcheck"
)

const (
	// The histograms hold microseconds up to ten minutes, with three significant
	// digits.
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// outcome is the outcome of one request.
type outcome struct {
	call    CallKind
	verdict streamcheck.Verdict
	// errorKind is the error kind of a refused or unreachable request, or "cut"
	// if the response broke off.
	errorKind string
	// measured is true if the request was planned after the warm-up.
	measured bool
	// latency is the time from the planned arrival to the first token, or to the
	// end of a plain response.
	latency time.Duration
	gaps    []time.Duration
	tokens  int
}

// tally collects the outcomes of a run.
type tally struct {
	mu           sync.Mutex
	totals       Report
	refusals     map[string]int
	inFlight     int
	firstToken   *hdrhistogram.Histogram
	tokenGaps    *hdrhistogram.Histogram
	plainCalls   *hdrhistogram.Histogram
	lastChange   time.Time
	inFlightTime time.Duration
}

func newTally() *tally {
	return &tally{
		refusals:   make(map[string]int),
		firstToken: hdrhistogram.New(1, histogramMax, histogramDigits),
		tokenGaps:  hdrhistogram.New(1, histogramMax, histogramDigits),
		plainCalls: hdrhistogram.New(1, histogramMax, histogramDigits),
		lastChange: time.Now(),
	}
}

func (t *tally) requestStarted() { t.changeInFlight(1) }

func (t *tally) requestFinished() { t.changeInFlight(-1) }

// changeInFlight updates the number of requests in flight and its integral over
// time, from which the mean follows.
func (t *tally) changeInFlight(delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.inFlightTime += time.Duration(t.inFlight) * now.Sub(t.lastChange)
	t.lastChange = now
	t.inFlight += delta
	t.totals.MaxInFlight = max(t.totals.MaxInFlight, t.inFlight)
}

func (t *tally) add(o *outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals.Requests++
	t.totals.Tokens += o.tokens
	t.countVerdict(o)
	if !o.measured || o.verdict != streamcheck.Whole {
		return
	}
	if o.call != CallModel {
		record(t.plainCalls, o.latency)
		return
	}
	record(t.firstToken, o.latency)
	for _, gap := range o.gaps {
		record(t.tokenGaps, gap)
	}
}

func (t *tally) countVerdict(o *outcome) {
	counts := map[streamcheck.Verdict]*int{
		streamcheck.Whole:       &t.totals.Whole,
		streamcheck.Refused:     &t.totals.Refused,
		streamcheck.Broken:      &t.totals.Broken,
		streamcheck.Crossed:     &t.totals.Crossed,
		streamcheck.Altered:     &t.totals.Altered,
		streamcheck.Unreachable: &t.totals.Unreachable,
	}
	*counts[o.verdict]++
	if o.verdict == streamcheck.Refused || o.verdict == streamcheck.Unreachable {
		t.refusals[o.errorKind]++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), 1), histogramMax)
	_ = h.RecordValue(us) // the value is within the histogram's range
}

// report returns the report of a run. It is called after the last request.
func (t *tally) report(elapsed time.Duration) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.totals
	report.Seconds = elapsed.Seconds()
	report.TokensPerSecond = float64(report.Tokens) / elapsed.Seconds()
	report.MeanInFlight = t.inFlightTime.Seconds() / elapsed.Seconds()
	report.FirstToken = percentiles(t.firstToken)
	report.Gap = percentiles(t.tokenGaps)
	report.Plain = percentiles(t.plainCalls)
	for kind, count := range t.refusals {
		report.Refusals = append(report.Refusals, RefusalCount{Kind: kind, Count: count})
	}
	slices.SortFunc(report.Refusals, func(a, b RefusalCount) int { return cmp.Compare(a.Kind, b.Kind) })
	return &report
}

// processCPUTime returns the CPU time that this process has used, or 0 if it
// can't be read.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
