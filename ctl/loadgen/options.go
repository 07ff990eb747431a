package loadgen

import (
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// CallKind is how a call is made and checked.
type CallKind string

// The kinds of calls.
const (
	// CallModel streams tokens.
	CallModel CallKind = "model"
	// CallLookup is a plain call that may be repeated.
	CallLookup CallKind = "lookup"
	// CallAction is a plain call that may not.
	CallAction CallKind = "action"
)

// Call is one entry of the mix.
type Call struct {
	// Weight is its part of the requests, relative to the other entries.
	Weight int      `json:"weight"`
	Kind   CallKind `json:"kind"`
	// Service and Path are as the configuration names them.
	Service string `json:"service"`
	Path    string `json:"path"`
}

// DefaultCall is the mix where none is given.
var DefaultCall = Call{Weight: 1, Kind: CallModel, Service: "model-pool", Path: "v1/chat/completions"}

// callParts is the number of parts of a call's text form.
const callParts = 3

// ParseCall reads "weight:kind:service/path".
func ParseCall(text string) (Call, error) {
	parts := strings.SplitN(text, ":", callParts)
	if len(parts) != callParts {
		return Call{}, trace.BadParameter("%q is not weight:kind:service/path", text)
	}
	weight, err := strconv.Atoi(parts[0])
	if err != nil || weight < 1 {
		return Call{}, trace.BadParameter("%q: the weight is not a positive number", text)
	}
	service, path, found := strings.Cut(parts[2], "/")
	if !found || service == "" || path == "" {
		return Call{}, trace.BadParameter("%q: no service/path", text)
	}
	call := Call{Weight: weight, Kind: CallKind(parts[1]), Service: service, Path: path}
	switch call.Kind {
	case CallModel, CallLookup, CallAction:
		return call, nil
	}
	return Call{}, trace.BadParameter("%q: the kind is not model, lookup or action", text)
}

// Options describes one load. All fields are required unless a default is
// named.
type Options struct {
	Seed uint64 `json:"seed"`
	// RequestsPerSecond is the mean rate of arrivals.
	RequestsPerSecond float64       `json:"requests_per_second"`
	Duration          time.Duration `json:"duration_ns"`
	// Warmup is a time at the start whose requests are checked but not timed.
	Warmup time.Duration `json:"warmup_ns"`
	// MinTokens and MaxTokens bound the uniform length of the answers.
	MinTokens int `json:"min_tokens"`
	MaxTokens int `json:"max_tokens"`
	// PromptBytes is the length of each prompt.
	PromptBytes int `json:"prompt_bytes"`
	// Calls is the mix.
	Calls []Call `json:"calls"`
	// Keys are the bearer keys of the workspaces; requests are spread evenly.
	Keys []string `json:"-"`
	// Timeout bounds one request; it is also the deadline told to the router.
	Timeout time.Duration `json:"timeout_ns"`
}

// Validate returns the first fault of the options.
func (o *Options) Validate() error {
	switch {
	case o.RequestsPerSecond <= 0:
		return trace.BadParameter("requests per second must be positive")
	case o.Duration <= o.Warmup:
		return trace.BadParameter("the duration must be longer than the warm-up")
	case o.MinTokens < 1 || o.MaxTokens < o.MinTokens:
		return trace.BadParameter("the token lengths must be 1 or more, the least first")
	case o.PromptBytes < 0:
		return trace.BadParameter("the prompt's length is negative")
	case len(o.Calls) == 0:
		return trace.BadParameter("the mix has no call")
	case o.Timeout <= 0:
		return trace.BadParameter("the timeout must be positive")
	}
	return nil
}
