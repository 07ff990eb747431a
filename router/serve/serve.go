// Package serve is the path of a request through one router: reserve tokens,
// pick a target, dispatch, pass the answer on, bill.
//
// Rules that callers of the package may rely on:
//
//   - Nothing is dispatched before its upper bound is reserved.
//   - Every reservation ends in exactly one of Settle, Release and Unknown.
//     Release is used only where the target can't have run the request.
//   - A request that is given up is answered at once.
//   - A stream whose caller vanished is parked for a short grace. It then goes
//     on where the caller comes back, at this router or at another; else the
//     engine is told to cancel and its usage is billed.
package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/route"
	"cuminrock.example/fleet/timeline"
	"cuminrock.example/router/actions"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/target"
)

// Peers reaches the other routers.
type Peers interface {
	// Members returns the live members, own data centre first.
	Members() []*pb.Member
	// Takeover asks a member for a parked stream.
	Takeover(ctx context.Context, m *pb.Member, req *pb.TakeoverRequest) (*pb.TakeoverResponse, error)
}

// Retries bounds how much work is sent again. It is safe for concurrent use.
type Retries interface {
	// Request counts a new request.
	Request()
	// Take asks for one retry.
	Take() bool
}

// Options is what a Server works with. All fields are required.
type Options struct {
	// Incarnation names this run of the router.
	Incarnation string
	// Config returns the configuration in force; nil before there is one.
	Config   func() *config.View
	Ledger   *ledger.Ledger
	Routes   *route.Table
	Targets  *target.Client
	Actions  *actions.Actions
	Peers    Peers
	Retries  Retries
	Recorder *timeline.Recorder
	Log      *zap.Logger
	// Grace is how long a stream is parked.
	Grace time.Duration
	Now   func() time.Time
}

// Server serves requests. It is safe for concurrent use.
type Server struct {
	Options

	// active counts requests and background settlements in progress.
	active  sync.WaitGroup
	streams atomic.Int64
	runs    registry
	flights *flights

	stopping     chan struct{}
	stoppingOnce sync.Once
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{Options: o, stopping: make(chan struct{}), flights: newFlights(o.Now)}
	s.runs.init()
	return s
}

// Streams returns the number of streams in progress, parked ones included.
func (s *Server) Streams() int64 { return s.streams.Load() }

// Close waits until every stream in progress has ended and every reservation
// is settled, or until ctx ends. Parked streams are ended at once: a caller
// that comes back resumes at another router, from the engine.
func (s *Server) Close(ctx context.Context) error {
	s.stoppingOnce.Do(func() { close(s.stopping) })
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve reserves the request's upper bound.
func (s *Server) reserve(ctx context.Context, r *Request) (*ledger.Reservation, error) {
	if !s.Now().Before(r.Deadline) {
		return nil, errkind.New(errkind.DeadlinePassed, "the deadline passed before the call was sent")
	}
	bound := r.Bound()
	res, err := s.Ledger.Reserve(ctx, r.Budget, r.Workspace.Name, r.ID, bound)
	if err != nil {
		return nil, err
	}
	s.record(r, pb.EventKind_EVENT_KIND_RESERVED, "", bound, "")
	return res, nil
}

// pick chooses a target for an attempt: one that wasn't tried, or any where
// all were. The retry budget and maxAttempts bound the attempts.
func (s *Server) pick(r *Request, tried []string) (route.Lease, error) {
	lease, err := s.pickExcept(r, tried)
	if len(tried) > 0 && errkind.Of(err) == errkind.NoTarget {
		return s.pickExcept(r, nil)
	}
	return lease, err
}

// pickExcept chooses a target that wasn't tried.
func (s *Server) pickExcept(r *Request, tried []string) (route.Lease, error) {
	view := s.Config()
	if view == nil {
		return route.Lease{}, errkind.New(errkind.NotReady, "no configuration is in force").After(time.Second)
	}
	return s.Routes.Pick(&route.Request{
		Service:         r.Service.Name,
		RequestID:       r.ID,
		Shares:          view.Shares(r.Workspace.Name, r.Service.Name),
		DefaultProvider: r.Service.DefaultProvider,
		PrefixHash:      prefixHash(r),
		Exclude:         tried,
		Now:             s.Now(),
	})
}

// call describes the request to the target's client.
func (s *Server) call(r *Request, t *pb.Target) target.Call {
	return target.Call{
		Target:    t,
		RequestID: r.ID,
		Method:    "POST",
		Path:      r.Call.Path,
		Body:      r.Body,
		MaxTokens: reservedTokens(r),
		Deadline:  r.Deadline,
	}
}

// reservedTokens returns the bound that an engine is told; other calls have
// none.
func reservedTokens(r *Request) int64 {
	if r.Call.Kind != pb.CallKind_CALL_KIND_MODEL {
		return 0
	}
	return r.Bound()
}

// mayRetry tells whether a failed attempt may be repeated at another target:
// the deadline allows, and either it truly did not run or the call may be
// repeated and the retry budget has room.
func (s *Server) mayRetry(r *Request, err error, attempts int) bool {
	if attempts >= maxAttempts || !s.Now().Before(r.Deadline) {
		return false
	}
	switch errkind.Of(err) {
	case errkind.TargetRefused, errkind.TargetUnreachable, errkind.TargetFailed, errkind.TargetSilent, errkind.AnswerMismatch:
	default:
		return false
	}
	if r.Call.Kind == pb.CallKind_CALL_KIND_ACTION {
		return false
	}
	return s.Retries.Take()
}

const (
	// maxAttempts bounds the dispatches of one request.
	maxAttempts = 3
	// backoffBase is half of the longest wait before the first retry.
	backoffBase = 10 * time.Millisecond
)

// pause waits before attempt number n, with jitter.
func (s *Server) pause(ctx context.Context, n int) {
	wait := time.Duration(rand.Int64N(int64(backoffBase << n)))
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// outcome tells the balancer how an attempt ended that began at start.
func (s *Server) outcome(err error, start time.Time) route.Outcome {
	now := s.Now()
	if errors.Is(err, target.ErrStale) {
		return route.Outcome{Result: route.Neutral, Now: now}
	}
	return route.Outcome{Result: route.ResultOf(err), FirstByte: now.Sub(start), Now: now}
}

// endReservation finishes a reservation of an attempt that failed.
func endReservation(res *ledger.Reservation, run pb.RunState) {
	if run == pb.RunState_RUN_STATE_NOT_RUN {
		res.Release()
		return
	}
	res.Unknown()
}

func (s *Server) record(r *Request, kind pb.EventKind, targetName string, tokens int64, detail string) {
	s.Recorder.Record(&pb.Event{
		Kind:      kind,
		RequestId: r.ID,
		Budget:    r.Budget,
		Workspace: r.Workspace.Name,
		Target:    targetName,
		Tokens:    tokens,
		Detail:    detail,
	})
}
