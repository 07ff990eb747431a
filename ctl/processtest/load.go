package processtest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/sourcegraph/conc"
)

// CallResults is what a load's callers were told.
type CallResults struct {
	mu sync.Mutex
	// UsageByRequest is the usage told to callers by request id.
	UsageByRequest map[string]int64
	// RefusalsByKind counts refusals by kind.
	RefusalsByKind map[string]int
	// Interrupted holds the errors of answers that began and never came whole.
	Interrupted []error
	// DialFailures counts calls that found no door.
	DialFailures int
}

func newTally() *CallResults {
	return &CallResults{UsageByRequest: make(map[string]int64), RefusalsByKind: make(map[string]int)}
}

func (y *CallResults) serve(id string, usage int64) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.UsageByRequest[id] = usage
}

// fail notes how a call failed and reports whether it was refused.
func (y *CallResults) fail(err error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	var told *StreamError
	var op *net.OpError
	switch {
	case errors.As(err, &told) && told.Info.RunState == "not_run":
		y.RefusalsByKind[told.Info.Kind]++
	case errors.As(err, &op) && op.Op == "dial":
		y.DialFailures++
	default:
		y.Interrupted = append(y.Interrupted, err)
	}
}

// ServedCount returns how many requests were served.
func (y *CallResults) ServedCount() int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return len(y.UsageByRequest)
}

// TotalUsage returns the usage told to callers.
func (y *CallResults) TotalUsage() int64 {
	y.mu.Lock()
	defer y.mu.Unlock()
	var sum int64
	for _, usage := range y.UsageByRequest {
		sum += usage
	}
	return sum
}

// refusals returns how often a kind was told.
func (y *CallResults) refusals(kind string) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.RefusalsByKind[kind]
}

// Load is a number of callers that call one after the other until told to
// stop.
type Load struct {
	*CallResults
	wait conc.WaitGroup
	stop context.CancelFunc
}

// StartLoad runs callers that stream answers of maxTokens from one router.
// Keys start with the prefix. A caller stops after a call that found no door.
func StartLoad(r *Router, prefix string, callers, maxTokens int) *Load {
	ctx, stop := context.WithCancel(context.Background())
	l := &Load{CallResults: newTally(), stop: stop}
	for c := range callers {
		l.wait.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				q := ChatRequest(fmt.Sprintf("%s-%d-%d", prefix, c, n), maxTokens, true)
				if !l.once(r, q) {
					return
				}
			}
		})
	}
	return l
}

// once makes one call to its end, also when the load is stopped meanwhile. It
// reports false when the door is gone.
func (l *Load) once(r *Router, q Request) bool {
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	var a StreamedResponse
	before := l.unreached()
	err := r.ReadStream(ctx, q, &a, nil)
	if err == nil {
		l.serve(q.ID(), a.Usage)
		return true
	}
	l.fail(err)
	return l.unreached() == before
}

func (l *Load) unreached() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.DialFailures
}

// Stop lets the calls in progress end and returns what the callers were told.
func (l *Load) Stop() *CallResults {
	l.stop()
	l.wait.Wait()
	return l.CallResults
}
