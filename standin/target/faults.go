package target

import (
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Silence is the traffic that a silenced connection discards.
type Silence string

// The directions of traffic that a silenced connection discards.
const (
	// SilenceNone leaves connections unchanged.
	SilenceNone Silence = ""
	// SilenceBoth discards both directions: a request sent on such a
	// connection never reaches the target.
	SilenceBoth Silence = "both"
	// SilenceResponses discards only what the target sends: a request still
	// runs.
	SilenceResponses Silence = "answers"
)

// Faults are the faults of one target. The zero value is a healthy target.
// Fields whose name ends in Next are the number of upcoming requests that the
// fault affects. A request is affected by at most one of them; they are used
// up in the order refuse, fail, disconnect, delay, wrong id.
type Faults struct {
	// Leaving is reported in the load report. Requests are still served, so
	// that work sent to a leaving target shows in its counters.
	Leaving bool `json:"leaving,omitempty"`
	// Refuse makes the target refuse every request with run state not_run.
	Refuse bool `json:"refuse,omitempty"`
	// Stall holds back all responses while connections stay open.
	Stall bool `json:"stall,omitempty"`
	// RefuseNext requests are refused with run state not_run.
	RefuseNext int `json:"refuse_next,omitempty"`
	// FailNext requests get status 500 without a run state; a plain service
	// executes them first.
	FailNext int `json:"fail_next,omitempty"`
	// DisconnectNext requests have their connection closed: a stream after
	// DisconnectAtToken tokens, a plain call after it was executed.
	DisconnectNext    int `json:"die_next,omitempty"`
	DisconnectAtToken int `json:"die_at_token,omitempty"`
	// HoldAtToken makes every stream of an engine pause once it has generated
	// this many tokens, until the fault is cleared; 0 holds none.
	HoldAtToken int `json:"hold_at_token,omitempty"`
	// DelayNext requests run at once and get their response after DelayMs
	// milliseconds.
	DelayNext int   `json:"late_next,omitempty"`
	DelayMs   int64 `json:"late_ms,omitempty"`
	// WrongIDNext requests get a response that carries a different request's
	// id.
	WrongIDNext int `json:"cross_next,omitempty"`
	// ForgetStreams makes an engine respond to every resume and cancel with
	// status 404.
	ForgetStreams bool `json:"forget_streams,omitempty"`
	// ExtraUsageTokens are added to every reported usage, beyond the tokens
	// that were generated.
	ExtraUsageTokens int64 `json:"over_usage_tokens,omitempty"`
	// LoadLagMs is the age of the load report, in milliseconds.
	LoadLagMs int64 `json:"load_lag_ms,omitempty"`
	// SlowPercent increases the service time, the time to the first token and
	// the token interval by this percentage: 100 doubles them.
	SlowPercent int `json:"slow_percent,omitempty"`
	// Silence permanently silences the connections that are open when it is
	// set; connections opened later work. It acts once.
	Silence Silence `json:"silence,omitempty"`
}

func (f Faults) check() error {
	switch f.Silence {
	case SilenceNone, SilenceBoth, SilenceResponses:
	default:
		return trace.BadParameter("silence: unknown value %q", f.Silence)
	}
	if min(f.DelayMs, f.LoadLagMs, f.ExtraUsageTokens, int64(f.SlowPercent), int64(f.DisconnectAtToken), int64(f.HoldAtToken)) < 0 {
		return trace.BadParameter("late_ms, load_lag_ms, over_usage_tokens, slow_percent, die_at_token and hold_at_token must not be negative")
	}
	return nil
}

// RequestFault is the fault that is injected into one request.
type RequestFault int

// The request faults.
const (
	// NoFault serves the request normally.
	NoFault RequestFault = iota
	// FaultRefuse refuses the request with run state not_run.
	FaultRefuse
	// FaultFail responds with status 500.
	FaultFail
	// FaultDisconnect closes the connection.
	FaultDisconnect
	// FaultDelay delays the response.
	FaultDelay
	// FaultWrongID responds with a different request's id.
	FaultWrongID
)

// faultState holds the active faults.
type faultState struct {
	mu     sync.Mutex
	faults Faults
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// next returns the fault for the next request and decrements its count.
func (s *faultState) next() RequestFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse {
		return FaultRefuse
	}
	ordered := []struct {
		remaining *int
		fault     RequestFault
	}{
		{&s.faults.RefuseNext, FaultRefuse},
		{&s.faults.FailNext, FaultFail},
		{&s.faults.DisconnectNext, FaultDisconnect},
		{&s.faults.DelayNext, FaultDelay},
		{&s.faults.WrongIDNext, FaultWrongID},
	}
	for _, o := range ordered {
		if *o.remaining > 0 {
			*o.remaining--
			return o.fault
		}
	}
	return NoFault
}

// ScaleDuration returns d increased by SlowPercent percent.
func (f Faults) ScaleDuration(d time.Duration) time.Duration {
	return d + d*time.Duration(f.SlowPercent)/100
}
