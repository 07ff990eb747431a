package retry

import (
	"sync/atomic"
	"time"
)

// The estimate of the hedge delay.
const (
	// initialHedgeDelay is the delay before the first observation.
	initialHedgeDelay = 100 * time.Millisecond
	// minHedgeDelay is the shortest delay.
	minHedgeDelay = time.Millisecond
	// hedgeStepDivisor divides the estimate to give the step of one
	// observation.
	hedgeStepDivisor = 64
	// hedgeTailDivisor sets the quantile: one in so many calls is slower than
	// the delay.
	hedgeTailDivisor = 20
)

// Hedge estimates after which delay an unanswered idempotent lookup is sent to
// a second target (Dean and Barroso, "The Tail at Scale", 2013). The delay
// follows the 95th percentile of the latency in small steps (Ma, Muthukrishnan
// and Sandler, "Frugal Streaming for Estimating Quantiles", 2013). Each hedged
// send withdraws from a retry Budget. It is safe for concurrent use.
type Hedge struct {
	delay atomic.Int64
}

// NewHedge returns a hedge without observations.
func NewHedge() *Hedge {
	h := &Hedge{}
	h.delay.Store(int64(initialHedgeDelay))
	return h
}

// Delay returns how long to wait for the first response before a second send.
func (h *Hedge) Delay() time.Duration { return time.Duration(h.delay.Load()) }

// Observe records the latency of a response or, if none came, how long the
// caller waited for it.
func (h *Hedge) Observe(latency time.Duration) {
	delay := h.delay.Load()
	step := max(delay/hedgeStepDivisor, 1)
	if int64(latency) > delay {
		h.delay.Add(step * (hedgeTailDivisor - 1))
		return
	}
	if delay > int64(minHedgeDelay) {
		h.delay.Add(-step)
	}
}
