package loadgen

import (
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// CallKind determines how a call is made and how its response is checked.
type CallKind string

// The call kinds.
const (
	// CallModel is a model call with a streamed response.
	CallModel CallKind = "model"
	// CallLookup is an idempotent call with a plain response.
	CallLookup CallKind = "lookup"
	// CallAction is a call with a plain response that must run at most once.
	CallAction CallKind = "action"
)

// Call is one entry of the call mix.
type Call struct {
	// Weight is the share of the requests, relative to the other entries.
	Weight int      `json:"weight"`
	Kind   CallKind `json:"kind"`
	// Service and Path are those of the configuration.
	Service string `json:"service"`
	Path    string `json:"path"`
}

// DefaultCall is the only entry of the mix if none is given.
var DefaultCall = Call{Weight: 1, Kind: CallModel, Service: "model-pool", Path: "v1/chat/completions"}

// callParts is the number of parts in the text form of a call.
const callParts = 3

// ParseCall parses "weight:kind:service/path".
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
		return Call{}, trace.BadParameter("%q has no service/path", text)
	}
	call := Call{Weight: weight, Kind: CallKind(parts[1]), Service: service, Path: path}
	switch call.Kind {
	case CallModel, CallLookup, CallAction:
		return call, nil
	}
	return Call{}, trace.BadParameter("%q: the kind is not model, lookup or action", text)
}

// Options describes a load. All fields are required unless a default is given.
type Options struct {
	Seed uint64 `json:"seed"`
	// RequestsPerSecond is the mean rate of arrivals.
	RequestsPerSecond float64       `json:"requests_per_second"`
	Duration          time.Duration `json:"duration_ns"`
	// Warmup is the time at the start whose requests are checked but not included
	// in the latency figures.
	Warmup time.Duration `json:"warmup_ns"`
	// MinTokens and MaxTokens bound the lengths of the responses, which are
	// uniformly distributed.
	MinTokens int `json:"min_tokens"`
	MaxTokens int `json:"max_tokens"`
	// PromptBytes is the length of each prompt in bytes.
	PromptBytes int `json:"prompt_bytes"`
	// Calls is the call mix.
	Calls []Call `json:"calls"`
	// Keys are the bearer keys of the workspaces. Each request uses one at
	// random, all with the same probability.
	Keys []string `json:"-"`
	// Timeout bounds one request. It is also sent to the router as the deadline.
	Timeout time.Duration `json:"timeout_ns"`
}

// Validate returns an error for the first invalid option.
func (o *Options) Validate() error {
	switch {
	case o.RequestsPerSecond <= 0:
		return trace.BadParameter("requests per second must be positive")
	case o.Duration <= o.Warmup:
		return trace.BadParameter("the duration must be longer than the warm-up")
	case o.MinTokens < 1 || o.MaxTokens < o.MinTokens:
		return trace.BadParameter("the response lengths must be at least 1 token and the minimum not above the maximum")
	case o.PromptBytes < 0:
		return trace.BadParameter("the prompt length must not be negative")
	case len(o.Calls) == 0:
		return trace.BadParameter("the call mix is empty")
	case o.Timeout <= 0:
		return trace.BadParameter("the timeout must be positive")
	}
	return nil
}
