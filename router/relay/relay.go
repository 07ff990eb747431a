// Package relay forwards requests through a gateway: it admits a request, reserves
// tokens, picks a target, sends the request, forwards the response and settles the
// reservation.
//
// It is independent of the wire protocol: a front end passes in Requests and
// provides a ResponseWriter, and an Upstream reaches the targets. Guarantees:
//
//   - A request that isn't repeatable is sent again only if no byte of it was
//     sent, or if the target says that it didn't run the request.
//   - An error whose kind says "not run" is returned only when that is known.
//   - Nothing is sent before its tokens are reserved; every reservation is
//     settled exactly once.
//   - A request is answered within its route's timeout.
package relay

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/allotment"
	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/quarantine"
	"cuminrock.example/router/prepaid"
)

const (
	// mostUrgent and lowestPriority are the bounds of the priorities that targets
	// support.
	mostUrgent     = 0
	lowestPriority = 9
	// defaultTimeout applies when neither the route nor the caller sets a timeout.
	defaultTimeout = 60 * time.Second
	// maxUnreachableTargets bounds how many unreachable targets are tried for one
	// request.
	maxUnreachableTargets = 3
	// maxDeniedPermits bounds how many targets without a permit are skipped for one
	// request.
	maxDeniedPermits = 8
	// outcomeAnswered and outcomeCallerLeft are the outcomes in logs and metrics
	// that aren't error kinds.
	outcomeAnswered   = "answered"
	outcomeCallerLeft = "caller left"
	// outcomeBrokeOff is that of a response that broke off while it was forwarded.
	outcomeBrokeOff = "broke off"
	// overloadedRetryAfter is the Retry-After while this router is overloaded. It is
	// short, since the next try reaches another router.
	overloadedRetryAfter = 50 * time.Millisecond
	// stoppingRetryAfter is the Retry-After while this router stops: the next try reaches
	// another one.
	stoppingRetryAfter = 50 * time.Millisecond
	// notReadyRetryAfter is the Retry-After before a configuration is loaded, or
	// when it lacks the route's service.
	notReadyRetryAfter = time.Second
)

// Relay serves forwarded requests. It is safe for concurrent use.
type Relay struct {
	Options
	active atomic.Int64
}

// New returns a relay.
func New(opts Options) *Relay { return &Relay{Options: opts} }

// Active returns the number of requests in progress.
func (r *Relay) Active() int64 { return r.active.Load() }

// Serve answers one request. ctx must end when the caller disconnects.
func (r *Relay) Serve(ctx context.Context, req *Request, w ResponseWriter) {
	r.active.Add(1)
	defer r.active.Add(-1)
	p := &proxiedRequest{relay: r, writer: &meteredWriter{ResponseWriter: w, relay: r}}
	err := r.serve(ctx, req, p)
	if err != nil {
		refusal := p.timedByAdmission(err)
		if refusal == nil {
			refusal = withRetryAfter(err, req, r.Now())
		}
		w.WriteError(refusal)
		p.retryAfter = refusal.RetryAfter
		p.outcome = refusal.Kind.String()
	}
	if ctx.Err() != nil && p.outcome != outcomeAnswered {
		p.outcome = outcomeCallerLeft
	}
	p.logDone(req, err)
}

// RecordRefusal logs and counts a request that the front end refused.
func (r *Relay) RecordRefusal(id string, err *errkind.Error) {
	r.Metrics.Requests.WithLabelValues(noRoute, err.Kind.String()).Inc()
	r.Log.Info("relay: request refused by the front end.", zap.String("request", id), zap.Error(err))
}

// Terms are what is known of a request from its head.
type Terms struct {
	// Deadline is when the request must have been answered.
	Deadline time.Time
	// Urgent is set for the requests that are refused last.
	Urgent bool
}

// Admit checks a request, whose body hasn't been read yet, against the current
// configuration, and whether this router can take it on. Serve checks the former again.
func (r *Relay) Admit(req *Request) (Terms, *errkind.Error) {
	a, err := r.admit(req)
	if err != nil {
		return Terms{}, withRetryAfter(err, req, r.Now())
	}
	req.Admitted = true
	return Terms{Deadline: a.deadline, Urgent: a.urgent()}, nil
}

func (r *Relay) serve(ctx context.Context, req *Request, p *proxiedRequest) *errkind.Error {
	a, err := r.admit(req)
	if err != nil {
		return err
	}
	p.admittedRequest = a
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	p.fingerprint = a.fingerprint()
	p.traits = append(a.Prompt.traits(), quarantine.RequestTrait(uint64(p.fingerprint)))
	err = p.refuseHarmful()
	if err != nil {
		return err
	}
	err = p.refuseByLocation()
	if err != nil {
		return err
	}
	err = p.findOrigin(ctx)
	if err != nil {
		return err
	}
	if p.origin.version != "" {
		err = p.refuseByLocation()
		if err != nil {
			return err
		}
	}
	r.Retries.ForService(a.service.Name).Deposit()
	reservation, err := r.reserve(ctx, a)
	if err != nil {
		return err
	}
	p.reservation = reservation
	defer p.settle()
	err = p.awaitSlot(ctx)
	if err != nil {
		return err
	}
	if a.route.Kind == catalog.Stream {
		return p.serveStream(ctx)
	}
	return p.serveBuffered(ctx)
}

// admit checks a request against the current configuration.
func (r *Relay) admit(req *Request) (*admittedRequest, *errkind.Error) {
	c := r.Catalog()
	if c == nil {
		return nil, errkind.New(errkind.NotReady, "no configuration is loaded yet").WithRetryAfter(notReadyRetryAfter)
	}
	a := &admittedRequest{Request: req, catalog: c, route: c.Route(req.HostName, req.Path)}
	if a.route == nil {
		return nil, errkind.New(errkind.UnknownService, "no route matches this host and path")
	}
	if c.KeysRequired && !a.route.Public {
		a.workspace = c.WorkspaceByKey(req.Key)
		if a.workspace == nil {
			return nil, errkind.New(errkind.UnknownKey, "the API key is unknown")
		}
	}
	if !req.Admitted && r.overloaded(a) {
		return nil, errkind.New(errkind.Overloaded, "this router has more work than its processor or link allow").WithRetryAfter(overloadedRetryAfter)
	}
	a.service = c.Service(a.route.ServiceFor(req.ID))
	if a.service == nil {
		return nil, errkind.New(errkind.NoTarget, "the configuration lacks the route's service").WithRetryAfter(notReadyRetryAfter)
	}
	a.deadline = req.Arrived.Add(a.timeout())
	err := r.refuseLate(a.deadline)
	if err != nil {
		return nil, err
	}
	return a, nil
}

// refuseLate refuses a request that this router, which is stopping, could cut.
func (r *Relay) refuseLate(deadline time.Time) *errkind.Error {
	if r.TooLate == nil || !r.TooLate(deadline) {
		return nil
	}
	return errkind.New(errkind.Draining, "this router stops before the request must have been answered").WithRetryAfter(stoppingRetryAfter)
}

// overloaded reports whether this router can't take on the request.
func (r *Relay) overloaded(a *admittedRequest) bool {
	if a.LongBody {
		return r.ProcessorOverloaded(a.urgent())
	}
	return r.Overloaded(a.urgent())
}

// timeout returns the time limit of the request, counted from its arrival.
func (a *admittedRequest) timeout() time.Duration {
	timeout := defaultTimeout
	if a.route.Timeout > 0 {
		timeout = a.route.Timeout
	}
	if a.CallerTimeout > 0 {
		timeout = min(timeout, a.CallerTimeout)
	}
	return timeout
}

// reserve reserves the most tokens that the request can consume. It waits for them
// for up to a quarter of the timeout and half of the route's latency goal.
func (r *Relay) reserve(ctx context.Context, a *admittedRequest) (prepaid.Reservation, *errkind.Error) {
	if a.Prompt == nil {
		return prepaid.Unlimited{}, nil
	}
	maxWait := a.timeout() / 4
	if a.route.LatencyGoal > 0 {
		maxWait = min(maxWait, a.route.LatencyGoal/2)
	}
	reservation, err := r.Budgets.Reserve(ctx, a.ID, a.workspace, a.Prompt.MaxTotalTokens(), a.budgetRank(), maxWait)
	if err != nil {
		return nil, errkind.FromError(err)
	}
	r.recordTokens(a)
	return reservation, nil
}

// budgetRank returns the rank at which the request asks for tokens. A stream that is taken up
// is the most urgent: its caller has a part of the answer, which is lost without the rest.
func (a *admittedRequest) budgetRank() int {
	if a.resumesStream() {
		return allotment.ResumedRank
	}
	return a.route.Priority
}

// withRetryAfter sets the Retry-After of an error that may be retried later, bounded
// by a fraction of the caller's remaining time.
func withRetryAfter(err *errkind.Error, req *Request, now time.Time) *errkind.Error {
	if err.Kind.Properties().Retry != errkind.RetryLater {
		return err
	}
	after := err.RetryAfter
	if after == 0 {
		after = defaultRetryAfter
	}
	if req.CallerTimeout > 0 {
		remaining := req.CallerTimeout - now.Sub(req.Arrived)
		after = min(after, max(remaining/retryAfterDivisor, 0))
	}
	return err.WithRetryAfter(after)
}
