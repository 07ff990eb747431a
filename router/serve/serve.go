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

// Peers reaches the other routers.
type Peers interface {
	// Members returns the live members, own data centre first.
	Members() []*pb.Member
	// Takeover asks a member for a parked stream.
	Takeover(ctx context.Context, m *pb.Member, req *pb.TakeoverRequest) (*pb.TakeoverResponse, error)
	// Locate asks a member what it knows of a request.
	Locate(ctx context.Context, m *pb.Member, req *pb.LocateRequest) (*pb.LocateResponse, error)
}

// Options is what a Server works with. All fields are required.
type Options struct {
	// Incarnation names this run of the router.
	Incarnation string
	// Config returns the configuration in force; nil before there is one.
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
	flights *flights
	sent    *sentActions

	stopping     chan struct{}
	stoppingOnce sync.Once
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{Options: o, stopping: make(chan struct{}), runs: newRuns(), flights: newFlights(o.Now), sent: newSentActions()}
	return s
}

// ActiveStreams returns the number of streams in progress, parked ones included.
func (s *Server) ActiveStreams() int64 { return s.streams.Load() }

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
	bound := r.MaxTotalTokens()
	res, err := s.Ledger.Reserve(ctx, r.Budget, r.Workspace.Name, r.ID, bound)
	if err != nil {
		return nil, err
	}
	s.record(r, pb.EventKind_EVENT_KIND_RESERVED, "", bound, "")
	return res, nil
}

// plan describes the request to the dispatcher.
func (s *Server) plan(r *Request) dispatch.Request {
	pick := route.Request{
		Service:         r.Service.Name,
		RequestID:       r.ID,
		DefaultProvider: r.Service.DefaultProvider,
		PrefixHash:      prefixHash(r),
	}
	view := s.Config()
	if view != nil {
		pick.Shares = view.Shares(r.Workspace.Name, r.Service.Name)
	}
	return dispatch.Request{
		Route:    pick,
		Call:     s.call(r, nil),
		Kind:     r.Call.Kind,
		Priority: r.Workspace.Priority,
		OnSend:   func(t *pb.Target) { s.record(r, pb.EventKind_EVENT_KIND_DISPATCHED, t.Name, 0, "") },
	}
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
	return r.MaxTotalTokens()
}

// endReservation finishes a reservation of an attempt that failed.
func endReservation(res *ledger.Reservation, run pb.RunState) {
	if run == pb.RunState_RUN_STATE_NOT_RUN {
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
