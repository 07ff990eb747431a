package forward

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/egress"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/relay"
	"cuminrock.example/router/wait"
)

const (
	// requestTimeout bounds the wait for a request after its offer was accepted.
	requestTimeout = time.Second
	// drainPollInterval is how often a stopping gateway checks whether all forwarded
	// requests have ended.
	drainPollInterval = 50 * time.Millisecond
)

// ServerOptions configures a Server. All fields are required.
type ServerOptions struct {
	Targets *placement.Table
	// Upstream sends requests to targets on this gateway's own connections.
	Upstream relay.Upstream
	// Reachability knows whether this gateway is cut off itself.
	Reachability Reachability
	// ConnectionRefused reports whether a target's address refuses connections.
	ConnectionRefused func(ctx context.Context, address string) bool
	// Overloaded reports whether this gateway has more work than it can do; urgent work
	// is refused last.
	Overloaded func(urgent bool) bool
	// Egress is told the bytes that are sent to targets and to other gateways.
	Egress  *egress.Meter
	Metrics *Metrics
	Log     *zap.Logger
	Now     func() time.Time
}

// Server sends requests of other gateways to targets. It implements
// pb.ForwardServiceServer and is safe for concurrent use.
type Server struct {
	pb.UnimplementedForwardServiceServer
	ServerOptions
	stopping atomic.Bool
	active   atomic.Int64
}

// NewServer returns a server.
func NewServer(opts ServerOptions) *Server { return &Server{ServerOptions: opts} }

// RefuseNew refuses new requests from now on, as a stopping gateway does.
func (s *Server) RefuseNew() { s.stopping.Store(true) }

// Drain waits until all forwarded requests have ended, or returns the error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	for s.active.Load() > 0 {
		if !wait.For(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Forward implements pb.ForwardServiceServer.
func (s *Server) Forward(stream pb.ForwardService_ForwardServer) error {
	s.active.Add(1)
	defer s.active.Add(-1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	lease, verdict := s.accept(first.GetOffer())
	err = stream.Send(&pb.ForwardResponse{Part: &pb.ForwardResponse_Verdict{Verdict: verdict}})
	if lease == nil {
		return err
	}
	f := &forwarded{server: s, stream: stream, lease: lease}
	if err != nil {
		lease.Done(placement.Neutral, s.Now())
		return err
	}
	return f.serve()
}

// accept decides about an offer. The lease is nil unless it is accepted.
func (s *Server) accept(offer *pb.ForwardOffer) (*placement.Lease, pb.ForwardVerdict) {
	if !s.available(offer.GetUrgent()) {
		return nil, pb.ForwardVerdict_FORWARD_VERDICT_GATEWAY_UNAVAILABLE
	}
	process := placement.Process{ID: offer.GetTargetId(), StartTimeMs: offer.GetStartTimeMs()}
	lease, ok := s.Targets.Take(process, offer.GetPromptTokens(), s.Now())
	if !ok {
		return nil, pb.ForwardVerdict_FORWARD_VERDICT_TARGET_UNAVAILABLE
	}
	return lease, pb.ForwardVerdict_FORWARD_VERDICT_ACCEPTED
}

// available reports whether this gateway passes requests on.
func (s *Server) available(urgent bool) bool {
	return !s.stopping.Load() && !s.Reachability.CutOff() && !s.Overloaded(urgent)
}

// GetForwardStatus implements pb.ForwardServiceServer.
func (s *Server) GetForwardStatus(context.Context, *pb.GetForwardStatusRequest) (*pb.GetForwardStatusResponse, error) {
	return &pb.GetForwardStatusResponse{Available: s.available(false)}, nil
}

// CheckTarget implements pb.ForwardServiceServer.
func (s *Server) CheckTarget(ctx context.Context, req *pb.CheckTargetRequest) (*pb.CheckTargetResponse, error) {
	return &pb.CheckTargetResponse{Ended: s.endsHere(ctx, req.Address)}, nil
}
