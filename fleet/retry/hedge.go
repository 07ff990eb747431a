package retry

import (
	"sync/atomic"
	"time"
)

// The estimate of the hedge delay.
const (
	// hedgeStart is the delay before anything was observed.
	hedgeStart = 100 * time.Millisecond
	// hedgeMin is the shortest delay.
	hedgeMin = time.Millisecond
	// hedgeStepPart divides the estimate; one observation moves it by a step.
	hedgeStepPart = 64
	// hedgeTail is the part of calls, one in so many, that are slower than the
	// delay.
	hedgeTail = 20
)

// Hedge tells when an unanswered idempotent lookup is sent to a second target
// (Dean and Barroso, "The Tail at Scale", 2013). The delay follows the 95th
// percentile of the answers by small steps (Ma, Muthukrishnan and Sandler,
// "Frugal Streaming for Estimating Quantiles", 2013). Each second send takes
// from the retry Budget. It is safe for concurrent use.
type Hedge struct {
	delay atomic.Int64
}

// NewHedge returns a hedge that has observed nothing.
func NewHedge() *Hedge {
	h := &Hedge{}
	h.delay.Store(int64(hedgeStart))
	return h
}

// Delay returns how long to wait for the first answer.
func (h *Hedge) Delay() time.Duration { return time.Duration(h.delay.Load()) }

// Observe takes how long an answer took, or how long it was waited for.
func (h *Hedge) Observe(took time.Duration) {
	delay := h.delay.Load()
	step := max(delay/hedgeStepPart, 1)
	if int64(took) > delay {
		h.delay.Add(step * (hedgeTail - 1))
		return
	}
	if delay > int64(hedgeMin) {
		h.delay.Add(-step)
	}
}
