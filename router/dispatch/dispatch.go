// Package dispatch sends one request to the targets that the route table
// picks: it retries within the retry budget and the deadline, gives each place
// at a target back once, and reports to the table what each call showed.
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

// Request is one request to dispatch.
type Request struct {
	// Route selects targets; its Exclude and Now are set by the dispatcher.
	Route route.Request
	// Call is sent; its Target is set by the dispatcher.
	Call target.Call
	// Kind says how the call may be repeated.
	Kind pb.CallKind
	// Priority orders requests while no target has room.
	Priority pb.Priority
	// OnSend is called before each send; may be nil.
	OnSend func(*pb.Target)
}

// Stats counts what a Dispatcher did. Its fields can be published by expvar.
type Stats struct {
	// Requests counts plans, Retries sends beyond the first of each.
	Requests expvar.Int
	Retries  expvar.Int
	// Hedges counts second sends of lookups that weren't answered in time.
	Hedges expvar.Int
}

// Dispatcher sends requests. It is safe for concurrent use.
type Dispatcher struct {
	table  *route.Table
	client *target.Client
	budget *retry.Budget
	policy retry.Policy
	stats  Stats
	hedge  *retry.Hedge
	// hedges bounds second sends of lookups.
	hedges *retry.Budget
	// background has the sends whose answer is wanted no more.
	background conc.WaitGroup
	// rooms has a *waitRoom for each service.
	rooms sync.Map
}

// New returns a dispatcher over a table and a client.
func New(table *route.Table, client *target.Client, budget *retry.Budget, policy retry.Policy) *Dispatcher {
	return &Dispatcher{
		table:  table,
		client: client,
		budget: budget,
		policy: policy,
		hedge:  retry.NewHedge(),
		hedges: retry.NewBudget(hedgePermille, hedgeBurst),
	}
}

// Stats returns the dispatcher's counters.
func (d *Dispatcher) Stats() *Stats { return &d.stats }

// Close waits for sends whose answer is wanted no more. They end at the
// client's limits. No request may be in progress or follow.
func (d *Dispatcher) Close() { d.background.Wait() }

// Do sends an idempotent or model call and returns its whole answer. A lookup
// that isn't answered in time is sent to a second target.
func (d *Dispatcher) Do(ctx context.Context, plan Request) (*target.Response, error) {
	if plan.Kind == pb.CallKind_CALL_KIND_LOOKUP {
		return whole(ctx, d, plan, d.tryHedged)
	}
	return whole(ctx, d, plan, plainly(d, d.client.Do))
}

// Action sends an action. It is sent to another target only while each failure
// before proves that it didn't run.
func (d *Dispatcher) Action(ctx context.Context, plan Request) (*target.Response, error) {
	plan.Kind = pb.CallKind_CALL_KIND_ACTION
	return whole(ctx, d, plan, plainly(d, d.client.Action))
}

// Stream sends a model call and returns when its first event came. After that
// nothing is sent again.
func (d *Dispatcher) Stream(ctx context.Context, plan Request) (*Stream, error) {
	s, sent, err := send(ctx, d, plan, plainly(d, d.open))
	if err != nil {
		return nil, err
	}
	s.sent = sent
	sent.reportStart()
	return s, nil
}

// open opens a stream and waits for its first event.
func (d *Dispatcher) open(ctx context.Context, call target.Call) (*Stream, error) {
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

// whole sends a call whose answer ends with it.
func whole(ctx context.Context, d *Dispatcher, plan Request, once trier[*target.Response]) (*target.Response, error) {
	answer, sent, err := send(ctx, d, plan, once)
	if err != nil {
		return nil, err
	}
	if plan.Kind == pb.CallKind_CALL_KIND_MODEL {
		// A whole answer takes as long as its tokens; that isn't congestion.
		sent.firstByte = 0
	}
	sent.done(nil)
	return answer, nil
}

// caller is one method of the target client.
type caller[T any] func(context.Context, target.Call) (T, error)

// trier makes one try. The sent is nil when no target was picked.
type trier[T any] func(context.Context, *Request) (T, *sent, error)

// plainly returns the trier that sends to one target.
func plainly[T any](d *Dispatcher, call caller[T]) trier[T] {
	return func(ctx context.Context, plan *Request) (T, *sent, error) {
		s, err := d.take(ctx, plan)
		if err != nil {
			var none T
			return none, nil, err
		}
		answer, err := finish(ctx, s, plan.Call, call)
		return answer, s, err
	}
}

// send tries targets until one answers or the failure is final.
func send[T any](ctx context.Context, d *Dispatcher, plan Request, once trier[T]) (T, *sent, error) {
	d.stats.Requests.Add(1)
	d.budget.Deposit()
	var last error
	for tries := 1; ; tries++ {
		answer, s, err := once(ctx, &plan)
		if err == nil {
			return answer, s, nil
		}
		if s == nil {
			return answer, nil, earlier(last, err)
		}
		last = worse(last, err)
		if !d.again(ctx, &plan, tries, err) {
			return answer, nil, last
		}
		plan.Route.Exclude = append(plan.Route.Exclude, s.lease.Target().Name)
		plan.Call.NewConnection = errkind.KindOf(err) == errkind.TargetSilent
		d.stats.Retries.Add(1)
	}
}

// take takes a place at a target for the plan's call.
func (d *Dispatcher) take(ctx context.Context, plan *Request) (*sent, error) {
	lease, err := d.pick(ctx, plan)
	if errkind.KindOf(err) == errkind.NoTarget && len(plan.Route.Exclude) > 0 {
		// Better the same target again than none.
		plan.Route.Exclude = nil
		lease, err = d.pick(ctx, plan)
	}
	if err != nil {
		return nil, err
	}
	return d.taken(plan, lease), nil
}

// taken begins the send to the target of a lease.
func (d *Dispatcher) taken(plan *Request, lease route.Lease) *sent {
	plan.Call.Target = lease.Target()
	if plan.OnSend != nil {
		plan.OnSend(lease.Target())
	}
	return &sent{lease: lease, start: time.Now(), room: d.room(plan.Route.Service)}
}

// finish makes the call of a send. A failure gives the place back.
func finish[T any](ctx context.Context, s *sent, call target.Call, do caller[T]) (T, error) {
	answer, err := do(ctx, call)
	if err != nil {
		s.done(err)
		return answer, err
	}
	s.firstByte = time.Since(s.start)
	return answer, nil
}

// again waits for the next try. It reports false when the failure is final.
func (d *Dispatcher) again(ctx context.Context, plan *Request, tries int, err error) bool {
	delay, ok := d.policy.Next(d.budget, retry.Failure{
		Attempts:  tries,
		Call:      plan.Kind,
		Kind:      errkind.KindOf(err),
		Remaining: left(ctx, plan.Call.Deadline),
		Random:    rand.Uint64(),
	})
	return ok && wait.For(ctx, delay)
}

// unbounded is the time left of a request without a deadline.
const unbounded = time.Hour

func left(ctx context.Context, deadline time.Time) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if deadline.IsZero() {
		return unbounded
	}
	return time.Until(deadline)
}

// worse returns the failure that tells the truth on all sends together: one
// send of unknown outcome makes the request's outcome unknown.
func worse(last, err error) error {
	if last != nil && target.RunState(err) == pb.RunState_RUN_STATE_NOT_RUN {
		if target.RunState(last) != pb.RunState_RUN_STATE_NOT_RUN {
			return last
		}
	}
	return err
}

// earlier returns the failure of earlier sends where no further target was
// found.
func earlier(last, err error) error {
	if last != nil {
		return last
	}
	return err
}
