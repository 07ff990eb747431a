package target

import (
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Silence is what a silent connection swallows.
type Silence string

// The kinds of silence.
const (
	// SilenceNone leaves connections alone.
	SilenceNone Silence = ""
	// SilenceBoth swallows what comes and what goes: a request sent on such
	// a connection never reaches the target.
	SilenceBoth Silence = "both"
	// SilenceResponses swallows only what the target sends: a request runs.
	SilenceResponses Silence = "answers"
)

// Faults are the faults of one target. The zero value is a healthy target.
// Fields named Next hit that many of the requests that follow, in the order
// Refuse, Fail, Die, Late, Cross; one request is hit by one of them.
type Faults struct {
	// Leaving is told in the load report; requests are still served, so that
	// work sent to a leaving target shows in its counts.
	Leaving bool `json:"leaving,omitempty"`
	// Refuse answers every request not_run.
	Refuse bool `json:"refuse,omitempty"`
	// Stall makes all answers go silent while connections stay open.
	Stall bool `json:"stall,omitempty"`
	// RefuseNext requests are answered not_run.
	RefuseNext int `json:"refuse_next,omitempty"`
	// FailNext requests are answered 500 without a run state; a plain service
	// executes them first.
	FailNext int `json:"fail_next,omitempty"`
	// DisconnectNext requests have their connection cut: a stream after DieAtToken
	// tokens, a plain call after it was executed.
	DisconnectNext    int `json:"die_next,omitempty"`
	DisconnectAtToken int `json:"die_at_token,omitempty"`
	// DelayNext requests run at once and are answered after LateMs
	// milliseconds.
	DelayNext int   `json:"late_next,omitempty"`
	DelayMs   int64 `json:"late_ms,omitempty"`
	// WrongIDNext requests are answered with another request's id.
	WrongIDNext int `json:"cross_next,omitempty"`
	// ForgetStreams makes an engine answer 404 to every resume.
	ForgetStreams bool `json:"forget_streams,omitempty"`
	// ExtraUsageTokens are told in every usage beyond what was generated.
	ExtraUsageTokens int64 `json:"over_usage_tokens,omitempty"`
	// LoadLagMs is the age of the load report, in milliseconds.
	LoadLagMs int64 `json:"load_lag_ms,omitempty"`
	// SlowPercent lengthens the service time and the token interval: 100
	// doubles them.
	SlowPercent int `json:"slow_percent,omitempty"`
	// Silence makes the connections that are open now silent for good; new
	// ones work. It acts once, when it is set.
	Silence Silence `json:"silence,omitempty"`
}

func (f Faults) check() error {
	switch f.Silence {
	case SilenceNone, SilenceBoth, SilenceResponses:
	default:
		return trace.BadParameter("silence: unknown value %q", f.Silence)
	}
	if min(f.DelayMs, f.LoadLagMs, f.ExtraUsageTokens, int64(f.SlowPercent), int64(f.DisconnectAtToken)) < 0 {
		return trace.BadParameter("a time or an amount is negative")
	}
	return nil
}

// RequestFault is what happens to one request.
type RequestFault int

// The fates.
const (
	// NoFault requests are served.
	NoFault RequestFault = iota
	// FaultRefuse requests are answered not_run.
	FaultRefuse
	// FaultFail requests are answered 500.
	FaultFail
	// FaultDisconnect cuts the connection.
	FaultDisconnect
	// FaultDelay withholds the answer.
	FaultDelay
	// FaultWrongID echoes another request's id.
	FaultWrongID
)

// gate holds the faults in force.
type gate struct {
	mu     sync.Mutex
	faults Faults
}

func (g *gate) set(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

func (g *gate) get() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

// next decides the fate of the next request and counts it down.
func (g *gate) next() RequestFault {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.Refuse {
		return FaultRefuse
	}
	ordered := []struct {
		left *int
		fate RequestFault
	}{
		{&g.faults.RefuseNext, FaultRefuse},
		{&g.faults.FailNext, FaultFail},
		{&g.faults.DisconnectNext, FaultDisconnect},
		{&g.faults.DelayNext, FaultDelay},
		{&g.faults.WrongIDNext, FaultWrongID},
	}
	for _, o := range ordered {
		if *o.left > 0 {
			*o.left--
			return o.fate
		}
	}
	return NoFault
}

// ScaleDuration returns a time lengthened by the faults' SlowPercent.
func (f Faults) ScaleDuration(d time.Duration) time.Duration {
	return d + d*time.Duration(f.SlowPercent)/100
}
