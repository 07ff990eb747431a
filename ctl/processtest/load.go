package processtest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/sourcegraph/conc"
)

// CallResults collects the responses that the callers of a load received.
type CallResults struct {
	mu sync.Mutex
	// UsageByRequest is the usage that the responses reported, keyed by request
	// id.
	UsageByRequest map[string]int64
	// RefusalsByKind counts refusals, which are errors that the router reports
	// as not run, by error kind.
	RefusalsByKind map[string]int
	// Interrupted holds the errors of calls that were neither refused nor
	// failed to connect, such as responses that began and were never completed.
	Interrupted []error
	// DialFailures counts calls that couldn't connect to the router.
	DialFailures int
}

func newCallResults() *CallResults {
	return &CallResults{UsageByRequest: make(map[string]int64), RefusalsByKind: make(map[string]int)}
}

func (r *CallResults) recordServed(id string, usage int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.UsageByRequest[id] = usage
}

// recordFailure records a failed call as refused, failed to connect, or
// interrupted.
func (r *CallResults) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var streamErr *StreamError
	var opErr *net.OpError
	switch {
	case errors.As(err, &streamErr) && streamErr.Info.RunState == "not_run":
		r.RefusalsByKind[streamErr.Info.Kind]++
	case errors.As(err, &opErr) && opErr.Op == "dial":
		r.DialFailures++
	default:
		r.Interrupted = append(r.Interrupted, err)
	}
}

// ServedCount returns the number of requests that were served.
func (r *CallResults) ServedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.UsageByRequest)
}

// TotalUsage returns the sum of the reported usage in tokens.
func (r *CallResults) TotalUsage() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum int64
	for _, usage := range r.UsageByRequest {
		sum += usage
	}
	return sum
}

// brokenResponses returns the interruptions after at least one byte of a
// response. In the others the router closed the connection as the request was on
// its way, or read the request and left it unanswered; only the router's own
// count of the requests that it received tells these two apart.
func (r *CallResults) brokenResponses() []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var broken []error
	for _, err := range r.Interrupted {
		if !errors.Is(err, ErrNoResponse) {
			broken = append(broken, err)
		}
	}
	return broken
}

// answeredCount returns the number of calls that got a complete response or a
// refusal.
func (r *CallResults) answeredCount() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	answered := len(r.UsageByRequest)
	for _, refusals := range r.RefusalsByKind {
		answered += refusals
	}
	return int64(answered)
}

// refusalCount returns the number of refusals of an error kind.
func (r *CallResults) refusalCount(kind string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.RefusalsByKind[kind]
}

// Load is a set of concurrent callers, each of which makes calls one after the
// other until it is stopped.
type Load struct {
	*CallResults
	callers conc.WaitGroup
	cancel  context.CancelFunc
}

// StartLoad starts callers that stream responses of maxTokens from one router.
// Idempotency keys start with the prefix. A caller stops after a call that
// couldn't connect.
func StartLoad(r *Router, prefix string, callers, maxTokens int) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{CallResults: newCallResults(), cancel: cancel}
	for c := range callers {
		l.callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				q := ChatRequest(fmt.Sprintf("%s-%d-%d", prefix, c, n), maxTokens, true)
				if !l.call(r, q) {
					return
				}
			}
		})
	}
	return l
}

// call makes one call and completes it even if the load is stopped meanwhile. It
// returns false if the router no longer accepts connections.
func (l *Load) call(r *Router, q Request) bool {
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	var response StreamedResponse
	before := l.dialFailures()
	err := r.ReadStream(ctx, q, &response, nil)
	if err == nil {
		l.recordServed(q.ID(), response.Usage)
		return true
	}
	l.recordFailure(err)
	return l.dialFailures() == before
}

func (l *Load) dialFailures() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.DialFailures
}

// Stop waits until the calls in progress have ended and returns the results of
// all calls.
func (l *Load) Stop() *CallResults {
	l.cancel()
	l.callers.Wait()
	return l.CallResults
}
