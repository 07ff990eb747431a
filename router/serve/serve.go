// Package serve handles a request within one router: it reserves tokens,
// selects a target, dispatches the request, returns the response and bills it.
//
// Guarantees of the package:
//
//   - Nothing is dispatched before the upper bound of its cost is reserved.
//   - Every reservation ends in exactly one of SettleReplicated, Release,
//     SettleUnknown and HandOver. Release is used only if the target can't have
//     run the request.
//   - A request that is given up gets its error response at once.
//   - A stream whose caller disconnected is parked for ParkGrace. If the caller
//     reconnects in that time, at this router or another one, the stream is
//     resumed; else the engine is told to cancel it and its usage is billed.
package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/route"
	"cuminrock.example/fleet/timeline"
	"cuminrock.example/router/actionrunner"
	"cuminrock.example/router/dispatch"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/target"
)

// Peers is the client of the other routers.
type Peers interface {
	// Members returns the live members, own data centre first.
	Members() []*pb.Member
	// Takeover asks a member to hand over a parked stream.
	Takeover(ctx context.Context, m *pb.Member, req *pb.TakeoverRequest) (*pb.TakeoverResponse, error)
	// Locate asks a member what it knows of a request.
	Locate(ctx context.Context, m *pb.Member, req *pb.LocateRequest) (*pb.LocateResponse, error)
}

// Options configures a Server. All fields are required.
type Options struct {
	// Incarnation identifies this run of the router process.
	Incarnation string
	// Config returns the current configuration; nil before there is one.
	Config   func() *config.View
	Ledger   *ledger.Ledger
	Dispatch *dispatch.Dispatcher
	Targets  *target.Client
	Actions  *actionrunner.Runner
	Peers    Peers
	Recorder *timeline.Recorder
	Log      *zap.Logger
	// ParkGrace is how long a stream is parked.
	ParkGrace time.Duration
	Now       func() time.Time
}

// Server serves requests. It is safe for concurrent use.
type Server struct {
	Options

	// active counts requests and background settlements in progress.
	active  sync.WaitGroup
	streams atomic.Int64
	runs    *runs
	group   *requestGroup
	sent    *sentActions

	stopping     chan struct{}
	stoppingOnce sync.Once
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{Options: o, stopping: make(chan struct{}), runs: newRuns(), group: newRequestGroup(o.Now), sent: newSentActions()}
	return s
}

// ActiveStreams returns the number of streams that have a caller. Parked streams
// aren't counted.
func (s *Server) ActiveStreams() int64 { return s.streams.Load() }

// Close waits until all requests have ended and all reservations are settled,
// or until ctx ends. Parked streams are cancelled at once: a caller that
// reconnects resumes its stream at another router, which reads it from the
// engine.
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

// reserve reserves the upper bound of the request's cost.
func (s *Server) reserve(ctx context.Context, r *Request) (*ledger.Reservation, error) {
	if !s.Now().Before(r.Deadline) {
		return nil, errkind.New(errkind.DeadlinePassed, "the deadline passed before the call was sent")
	}
	bound := r.MaxTotalTokens()
	res, err := s.Ledger.Reserve(ctx, r.Budget, r.Workspace.Name, r.ID, bound)
	if err != nil {
		return nil, err
	}
	s.record(r, pb.EventKind_EVENT_KIND_RESERVED, "", bound, "")
	return res, nil
}

// dispatchRequest returns the dispatcher's form of the request.
func (s *Server) dispatchRequest(r *Request) dispatch.Request {
	selection := route.Request{
		Service:         r.Service.Name,
		RequestID:       r.ID,
		DefaultProvider: r.Service.DefaultProvider,
		PrefixHash:      prefixHash(r),
	}
	view := s.Config()
	if view != nil {
		selection.Shares = view.Shares(r.Workspace.Name, r.Service.Name)
	}
	return dispatch.Request{
		Route:    selection,
		Call:     s.targetCall(r, nil),
		Kind:     r.Call.Kind,
		Priority: r.Workspace.Priority,
		OnSend:   func(t *pb.Target) { s.record(r, pb.EventKind_EVENT_KIND_DISPATCHED, t.Name, 0, "") },
	}
}

// targetCall returns the target client's form of the request.
func (s *Server) targetCall(r *Request, t *pb.Target) target.Call {
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

// reservedTokens returns the number of reserved tokens that is sent to an
// engine. Calls of other services carry none, so it returns 0.
func reservedTokens(r *Request) int64 {
	if r.Call.Kind != pb.CallKind_CALL_KIND_MODEL {
		return 0
	}
	return r.MaxTotalTokens()
}

// endFailedReservation ends the reservation of a request that failed. Its tokens
// are released only if it didn't run.
func endFailedReservation(res *ledger.Reservation, state pb.RunState) {
	if state == pb.RunState_RUN_STATE_NOT_RUN {
		res.Release()
		return
	}
	res.SettleUnknown()
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
