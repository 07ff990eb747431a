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
	// Histograms hold microseconds up to ten minutes to three digits.
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// outcome is what became of one request.
type outcome struct {
	call    CallKind
	verdict streamcheck.Verdict
	// kind names a refusal or what cut the answer.
	kind   string
	timed  bool
	first  time.Duration
	gaps   []time.Duration
	tokens int
}

// tally collects the outcomes of a phase.
type tally struct {
	mu      sync.Mutex
	phase   Report
	kinds   map[string]int
	open    int
	first   *hdrhistogram.Histogram
	gaps    *hdrhistogram.Histogram
	plain   *hdrhistogram.Histogram
	lastAt  time.Time
	openSum time.Duration
}

func newTally() *tally {
	return &tally{
		kinds:  make(map[string]int),
		first:  hdrhistogram.New(1, histogramMax, histogramDigits),
		gaps:   hdrhistogram.New(1, histogramMax, histogramDigits),
		plain:  hdrhistogram.New(1, histogramMax, histogramDigits),
		lastAt: time.Now(),
	}
}

func (t *tally) opened() { t.changeOpen(1) }

func (t *tally) closed() { t.changeOpen(-1) }

// changeOpen keeps the time integral of the requests in progress.
func (t *tally) changeOpen(by int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.openSum += time.Duration(t.open) * now.Sub(t.lastAt)
	t.lastAt = now
	t.open += by
	t.phase.MaxInFlight = max(t.phase.MaxInFlight, t.open)
}

func (t *tally) add(o *outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.phase.Requests++
	t.phase.Tokens += o.tokens
	t.countVerdict(o)
	if !o.timed || o.verdict != streamcheck.Whole {
		return
	}
	if o.call != CallModel {
		record(t.plain, o.first)
		return
	}
	record(t.first, o.first)
	for _, gap := range o.gaps {
		record(t.gaps, gap)
	}
}

func (t *tally) countVerdict(o *outcome) {
	counts := map[streamcheck.Verdict]*int{
		streamcheck.Whole:       &t.phase.Whole,
		streamcheck.Refused:     &t.phase.Refused,
		streamcheck.Broken:      &t.phase.Broken,
		streamcheck.Crossed:     &t.phase.Crossed,
		streamcheck.Altered:     &t.phase.Altered,
		streamcheck.Unreachable: &t.phase.Unreachable,
	}
	*counts[o.verdict]++
	if o.verdict == streamcheck.Refused || o.verdict == streamcheck.Unreachable {
		t.kinds[o.kind]++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), 1), histogramMax)
	_ = h.RecordValue(us) // the value is in range
}

// report returns the phase after its last request.
func (t *tally) report(took time.Duration) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.phase
	p.Seconds = took.Seconds()
	p.TokensPerSecond = float64(p.Tokens) / took.Seconds()
	p.MeanInFlight = t.openSum.Seconds() / took.Seconds()
	p.FirstToken = percentiles(t.first)
	p.Gap = percentiles(t.gaps)
	p.Plain = percentiles(t.plain)
	for kind, count := range t.kinds {
		p.Refusals = append(p.Refusals, RefusalCount{Kind: kind, Count: count})
	}
	slices.SortFunc(p.Refusals, func(a, b RefusalCount) int { return cmp.Compare(a.Kind, b.Kind) })
	return &p
}

// ownCPU returns the processor time that this process has used.
func ownCPU() time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
