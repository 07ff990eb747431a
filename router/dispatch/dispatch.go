// Package dispatch sends a request to the targets that the route table selects.
// It retries within the retry budget and the deadline, returns each lease of a
// target exactly once, and reports the outcome of each call to the table.
package dispatch

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/retry"
	"cuminrock.example/fleet/route"
	"cuminrock.example/router/target"
	"cuminrock.example/router/wait"
)

// Request is a request to dispatch.
type Request struct {
	// Route selects targets. The dispatcher sets its Exclude and Now.
	Route route.Request
	// Call is the call to send. The dispatcher sets its Target.
	Call target.Call
	// Kind decides in which cases the call may be retried.
	Kind pb.CallKind
	// Priority orders requests while all targets are at their limit.
	Priority pb.Priority
	// OnSend is called before each attempt; may be nil.
	OnSend func(*pb.Target)
}

// Stats has the counters of a Dispatcher. Its fields can be published by expvar.
type Stats struct {
	// Requests counts requests, and Retries the attempts after the first one of
	// each request.
	Requests expvar.Int
	Retries  expvar.Int
	// Hedges counts hedged attempts: second sends of lookups that got no
	// response within the hedge delay.
	Hedges expvar.Int
}

// Dispatcher sends requests. It is safe for concurrent use.
type Dispatcher struct {
	table       *route.Table
	client      *target.Client
	retryBudget *retry.Budget
	policy      retry.Policy
	stats       Stats
	hedgeDelay  *retry.Hedge
	// hedgeBudget bounds the hedged attempts.
	hedgeBudget *retry.Budget
	// background has the attempts of hedged lookups, which may outlive their
	// callers.
	background conc.WaitGroup
	// queues has a *waitQueue for each service.
	queues sync.Map
}

// New returns a dispatcher that selects targets from the table and calls them
// with the client.
func New(table *route.Table, client *target.Client, budget *retry.Budget, policy retry.Policy) *Dispatcher {
	return &Dispatcher{
		table:       table,
		client:      client,
		retryBudget: budget,
		policy:      policy,
		hedgeDelay:  retry.NewHedge(),
		hedgeBudget: retry.NewBudget(hedgePermille, hedgeBurst),
	}
}

// Stats returns the dispatcher's counters.
func (d *Dispatcher) Stats() *Stats { return &d.stats }

// Close waits for attempts that run on without a caller. The client's timeouts
// end them. No request may be in progress or follow.
func (d *Dispatcher) Close() { d.background.Wait() }

// Do sends an idempotent or model call and returns its unary response. A lookup
// without a response within the hedge delay is also sent to a second target.
func (d *Dispatcher) Do(ctx context.Context, req Request) (*target.Response, error) {
	if req.Kind == pb.CallKind_CALL_KIND_LOOKUP {
		return doUnary(ctx, d, req, d.hedgedAttempt)
	}
	return doUnary(ctx, d, req, singleAttempt(d, d.client.Do))
}

// Action sends an action. It is sent to another target only if every failed
// attempt before is known not to have run it.
func (d *Dispatcher) Action(ctx context.Context, req Request) (*target.Response, error) {
	req.Kind = pb.CallKind_CALL_KIND_ACTION
	return doUnary(ctx, d, req, singleAttempt(d, d.client.Action))
}

// Stream sends a model call and returns when its first event has arrived. The
// call isn't retried after that.
func (d *Dispatcher) Stream(ctx context.Context, req Request) (*Stream, error) {
	s, a, err := sendWithRetries(ctx, d, req, singleAttempt(d, d.openStream))
	if err != nil {
		return nil, err
	}
	s.attempt = a
	a.reportFirstByte()
	return s, nil
}

// openStream opens a stream and waits for its first event.
func (d *Dispatcher) openStream(ctx context.Context, call target.Call) (*Stream, error) {
	s, err := d.client.Stream(ctx, call)
	if err != nil {
		return nil, err
	}
	first, err := s.Next(ctx)
	if err != nil {
		s.Close()
		return nil, err
	}
	return &Stream{Stream: s, first: &first}, nil
}

// doUnary sends a call with a unary response.
func doUnary(ctx context.Context, d *Dispatcher, req Request, try attemptFunc[*target.Response]) (*target.Response, error) {
	resp, a, err := sendWithRetries(ctx, d, req, try)
	if err != nil {
		return nil, err
	}
	if req.Kind == pb.CallKind_CALL_KIND_MODEL {
		// The time to a unary response grows with its tokens, so it isn't a
		// measure of congestion.
		a.firstByte = 0
	}
	a.release(nil)
	return resp, nil
}

// callFunc is a method of the target client.
type callFunc[T any] func(context.Context, target.Call) (T, error)

// attemptFunc makes one attempt. The attempt is nil if no target was selected.
type attemptFunc[T any] func(context.Context, *Request) (T, *attempt, error)

// singleAttempt returns an attemptFunc that sends to one target.
func singleAttempt[T any](d *Dispatcher, call callFunc[T]) attemptFunc[T] {
	return func(ctx context.Context, req *Request) (T, *attempt, error) {
		a, err := d.acquire(ctx, req)
		if err != nil {
			var zero T
			return zero, nil, err
		}
		result, err := runAttempt(ctx, a, req.Call, call)
		return result, a, err
	}
}

// sendWithRetries makes attempts until one succeeds or may not be retried.
func sendWithRetries[T any](ctx context.Context, d *Dispatcher, req Request, try attemptFunc[T]) (T, *attempt, error) {
	d.stats.Requests.Add(1)
	d.retryBudget.Deposit()
	var lastErr error
	for attempts := 1; ; attempts++ {
		result, a, err := try(ctx, &req)
		if err == nil {
			return result, a, nil
		}
		if a == nil {
			return result, nil, preferEarlier(lastErr, err)
		}
		lastErr = leastCertain(lastErr, err)
		if !d.waitToRetry(ctx, &req, attempts, err) {
			return result, nil, lastErr
		}
		req.Route.Exclude = append(req.Route.Exclude, a.lease.Target().Name)
		req.Call.NewConnection = errkind.KindOf(err) == errkind.TargetSilent
		d.stats.Retries.Add(1)
	}
}

// acquire selects a target for the request's call and leases it.
func (d *Dispatcher) acquire(ctx context.Context, req *Request) (*attempt, error) {
	lease, err := d.pick(ctx, req)
	if errkind.KindOf(err) == errkind.NoTarget && len(req.Route.Exclude) > 0 {
		// No other target is available. A retry at a target that failed is
		// better than none.
		req.Route.Exclude = nil
		lease, err = d.pick(ctx, req)
	}
	if err != nil {
		return nil, err
	}
	return d.startAttempt(req, lease), nil
}

// startAttempt starts an attempt at the target of a lease.
func (d *Dispatcher) startAttempt(req *Request, lease route.Lease) *attempt {
	req.Call.Target = lease.Target()
	if req.OnSend != nil {
		req.OnSend(lease.Target())
	}
	return &attempt{lease: lease, start: time.Now(), queue: d.queueFor(req.Route.Service)}
}

// runAttempt makes the call of an attempt. It releases the attempt on failure.
func runAttempt[T any](ctx context.Context, a *attempt, call target.Call, do callFunc[T]) (T, error) {
	result, err := do(ctx, call)
	if err != nil {
		a.release(err)
		return result, err
	}
	a.firstByte = time.Since(a.start)
	return result, nil
}

// waitToRetry waits for the backoff before the next attempt. It reports false if
// the request may not be retried.
func (d *Dispatcher) waitToRetry(ctx context.Context, req *Request, attempts int, err error) bool {
	delay, ok := d.policy.Next(d.retryBudget, retry.Failure{
		Attempts:  attempts,
		Call:      req.Kind,
		Kind:      errkind.KindOf(err),
		Remaining: remainingTime(ctx, req.Call.Deadline),
		Random:    rand.Uint64(),
	})
	return ok && wait.For(ctx, delay)
}

// remainingWithoutDeadline is the remaining time of a request without a deadline.
const remainingWithoutDeadline = time.Hour

func remainingTime(ctx context.Context, deadline time.Time) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if deadline.IsZero() {
		return remainingWithoutDeadline
	}
	return time.Until(deadline)
}

// leastCertain returns the error whose run state holds for all attempts
// together: an attempt that may have run must not be hidden by a later one that
// didn't.
func leastCertain(prev, err error) error {
	if prev != nil && target.RunState(err) == pb.RunState_RUN_STATE_NOT_RUN {
		if target.RunState(prev) != pb.RunState_RUN_STATE_NOT_RUN {
			return prev
		}
	}
	return err
}

// preferEarlier returns the error of earlier attempts if there were any, else err,
// which says that no target was found for a further attempt.
func preferEarlier(earlier, err error) error {
	if earlier != nil {
		return earlier
	}
	return err
}
