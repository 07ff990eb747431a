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

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/retry"
	"cuminrock.example/fleet/route"
	"cuminrock.example/router/target"
)

// Plan is one request to dispatch.
type Plan struct {
	// Pick selects targets; its Exclude and Now are set by the dispatcher.
	Pick route.Request
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
}

// Dispatcher sends requests. It is safe for concurrent use.
type Dispatcher struct {
	table  *route.Table
	client *target.Client
	budget *retry.Budget
	policy retry.Policy
	stats  Stats
	// rooms has a *waitRoom for each service.
	rooms sync.Map
}

// New returns a dispatcher over a table and a client.
func New(table *route.Table, client *target.Client, budget *retry.Budget, policy retry.Policy) *Dispatcher {
	return &Dispatcher{table: table, client: client, budget: budget, policy: policy}
}

// Stats returns the dispatcher's counters.
func (d *Dispatcher) Stats() *Stats { return &d.stats }

// Do sends an idempotent or model call and returns its whole answer.
func (d *Dispatcher) Do(ctx context.Context, plan Plan) (*target.Answer, error) {
	return whole(ctx, d, plan, d.client.Do)
}

// Action sends an action. It is sent to another target only while each failure
// before proves that it didn't run.
func (d *Dispatcher) Action(ctx context.Context, plan Plan) (*target.Answer, error) {
	plan.Kind = pb.CallKind_CALL_KIND_ACTION
	return whole(ctx, d, plan, d.client.Action)
}

// Stream sends a model call and returns when its first event came. After that
// nothing is sent again.
func (d *Dispatcher) Stream(ctx context.Context, plan Plan) (*Stream, error) {
	s, sent, err := send(ctx, d, plan, d.open)
	if err != nil {
		return nil, err
	}
	s.sent = sent
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
func whole(ctx context.Context, d *Dispatcher, plan Plan, call caller[*target.Answer]) (*target.Answer, error) {
	answer, sent, err := send(ctx, d, plan, call)
	if err != nil {
		return nil, err
	}
	sent.done(nil)
	return answer, nil
}

// caller is one method of the target client.
type caller[T any] func(context.Context, target.Call) (T, error)

// send tries targets until one answers or the failure is final.
func send[T any](ctx context.Context, d *Dispatcher, plan Plan, call caller[T]) (T, *sent, error) {
	d.stats.Requests.Add(1)
	d.budget.Deposit()
	var last error
	for tries := 1; ; tries++ {
		answer, s, err := try(ctx, d, &plan, call)
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
		plan.Pick.Exclude = append(plan.Pick.Exclude, s.lease.Target().Name)
		plan.Call.Fresh = errkind.Of(err) == errkind.TargetSilent
		d.stats.Retries.Add(1)
	}
}

// try sends to one target. The sent is nil when no target was picked.
func try[T any](ctx context.Context, d *Dispatcher, plan *Plan, call caller[T]) (T, *sent, error) {
	var none T
	lease, err := d.pick(ctx, plan)
	if errkind.Of(err) == errkind.NoTarget && len(plan.Pick.Exclude) > 0 {
		// Better the same target again than none.
		plan.Pick.Exclude = nil
		lease, err = d.pick(ctx, plan)
	}
	if err != nil {
		return none, nil, err
	}
	if plan.OnSend != nil {
		plan.OnSend(lease.Target())
	}
	s := &sent{lease: lease, start: plan.Pick.Now, room: d.room(plan.Pick.Service)}
	plan.Call.Target = lease.Target()
	answer, err := call(ctx, plan.Call)
	if err != nil {
		s.done(err)
		return none, s, err
	}
	s.firstByte = time.Since(s.start)
	return answer, s, nil
}

// again waits for the next try. It reports false when the failure is final.
func (d *Dispatcher) again(ctx context.Context, plan *Plan, tries int, err error) bool {
	wait, ok := d.policy.Next(d.budget, retry.Failure{
		Tries:  tries,
		Call:   plan.Kind,
		Kind:   errkind.Of(err),
		Left:   left(ctx, plan.Call.Deadline),
		Random: rand.Uint64(),
	})
	if !ok {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
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
