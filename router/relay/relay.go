// Package relay is the path of a forwarded request through a gateway: admit,
// reserve tokens, pick a target, send, pass the answer on, settle.
//
// It knows no protocol: a front end hands in Requests and takes answers by an
// Answerer, and an Upstream reaches the targets. What callers of the package
// may rely on:
//
//   - A request that isn't repeatable is sent again only where no byte of it
//     was sent, or where the target says that it didn't run.
//   - A refusal whose kind says "not run" is given only where that is known.
//   - Nothing is sent before its tokens are reserved; every reservation is
//     settled once.
//   - A request is answered by its route's timeout.
package relay

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/retry"
	"cuminrock.example/router/prepaid"
)

const (
	// lowestPriority is the least urgent rank that targets know.
	lowestPriority = 9
	// defaultTimeout bounds requests whose route and caller name no time.
	defaultTimeout = 60 * time.Second
	// maxUnreached bounds the targets tried in vain for one request.
	maxUnreached = 3
	// outcomeAnswered and outcomeLeft are outcomes in logs and metrics beside
	// the kinds of errors.
	outcomeAnswered = "answered"
	outcomeLeft     = "caller left"
	// notReadyRetry is advised before there is a configuration.
	notReadyRetry = time.Second
)

// Options is what a Relay works with. All fields are required.
type Options struct {
	// Catalog returns the configuration in force; nil before there is one.
	Catalog  func() *catalog.Catalog
	Targets  *placement.Table
	Budgets  *prepaid.Manager
	Retries  *retry.Budgets
	Upstream Upstream
	Metrics  *Metrics
	Log      *zap.Logger
	Now      func() time.Time
}

// Relay serves forwarded requests. It is safe for concurrent use.
type Relay struct {
	Options
	active atomic.Int64
}

// New returns a relay.
func New(opts Options) *Relay { return &Relay{Options: opts} }

// Active returns the number of requests in progress.
func (r *Relay) Active() int64 { return r.active.Load() }

// Serve answers one request. ctx ends when the caller leaves.
func (r *Relay) Serve(ctx context.Context, req *Request, out ResponseWriter) {
	r.active.Add(1)
	defer r.active.Add(-1)
	j := &journey{relay: r, out: out}
	err := r.serve(ctx, req, j)
	if err != nil {
		refusal := advised(err, req, r.Now())
		out.WriteError(refusal)
		j.retryAfter = refusal.RetryAfter
		j.outcome = refusal.Kind.String()
	}
	if ctx.Err() != nil && j.outcome != outcomeAnswered {
		j.outcome = outcomeLeft
	}
	j.log(req, err)
}

// RecordRefusal logs and counts a request that a front end refused.
func (r *Relay) RecordRefusal(id string, err *errkind.Error) {
	r.Metrics.Requests.WithLabelValues(noRoute, err.Kind.String()).Inc()
	r.Log.Info("relay: request refused by the front end.", zap.String("request", id), zap.Error(err))
}

func (r *Relay) serve(ctx context.Context, req *Request, j *journey) *errkind.Error {
	a, err := r.admit(req)
	if err != nil {
		return err
	}
	j.admitted = a
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	r.Retries.ForService(a.service.Name).Deposit()
	hold, err := r.reserve(ctx, a)
	if err != nil {
		return err
	}
	j.hold = hold
	defer j.settle()
	if a.route.Kind == catalog.Stream {
		return j.stream(ctx)
	}
	return j.whole(ctx)
}

// admit checks a request against the configuration in force.
func (r *Relay) admit(req *Request) (*admitted, *errkind.Error) {
	c := r.Catalog()
	if c == nil {
		return nil, errkind.New(errkind.NotReady, "no configuration is in force yet").WithRetryAfter(notReadyRetry)
	}
	a := &admitted{Request: req, catalog: c, route: c.Route(req.HostName, req.Path)}
	if a.route == nil {
		return nil, errkind.New(errkind.UnknownService, "no route takes this host and path")
	}
	if c.KeysRequired && !a.route.Public {
		a.workspace = c.WorkspaceByKey(req.Key)
		if a.workspace == nil {
			return nil, errkind.New(errkind.UnknownKey, "the API key isn't known")
		}
	}
	a.service = c.Service(a.route.ServiceFor(req.ID))
	if a.service == nil {
		return nil, errkind.New(errkind.NoTarget, "the route's service isn't declared").WithRetryAfter(notReadyRetry)
	}
	a.deadline = req.Arrived.Add(a.timeout())
	return a, nil
}

// timeout returns the time that the request has from its arrival on.
func (a *admitted) timeout() time.Duration {
	timeout := defaultTimeout
	if a.route.Timeout > 0 {
		timeout = a.route.Timeout
	}
	if a.CallerTimeout > 0 {
		timeout = min(timeout, a.CallerTimeout)
	}
	return timeout
}

// reserve sets aside the tokens that the request can consume. It waits for them
// up to half of the route's latency goal.
func (r *Relay) reserve(ctx context.Context, a *admitted) (*prepaid.Reservation, *errkind.Error) {
	if a.Prompt == nil {
		return &prepaid.Reservation{}, nil
	}
	patience := a.timeout() / 4
	if a.route.LatencyGoal > 0 {
		patience = min(patience, a.route.LatencyGoal/2)
	}
	hold, err := r.Budgets.Reserve(ctx, a.ID, a.workspace, a.Prompt.MaxTotalTokens(), a.route.Priority, patience)
	if err != nil {
		return nil, errkind.FromError(err)
	}
	return hold, nil
}

// advised bounds the advice when to come back by the time that the caller has
// left.
func advised(err *errkind.Error, req *Request, now time.Time) *errkind.Error {
	if err.Kind.Properties().Retry != errkind.RetryLater {
		return err
	}
	after := err.RetryAfter
	if after == 0 {
		after = busyRetry
	}
	if req.CallerTimeout > 0 {
		left := req.CallerTimeout - now.Sub(req.Arrived)
		after = min(after, max(left/patienceDivisor, 0))
	}
	return err.WithRetryAfter(after)
}
