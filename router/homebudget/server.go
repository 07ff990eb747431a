package homebudget

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/peerconn"
	"cuminrock.example/router/prepaid"
	"cuminrock.example/router/wait"
)

const (
	// bufferBytes is the size of a connection's read and write buffers. Messages
	// are small, and a gateway has a connection to each other one of its data
	// centre.
	bufferBytes = 4 << 10
	// maxMessageBytes bounds one message.
	maxMessageBytes = 1 << 20
	// drainPollInterval is how often a stopping home checks whether its
	// reservations are settled.
	drainPollInterval = 50 * time.Millisecond
)

// ServerOptions configures a Server. All fields are required.
type ServerOptions struct {
	// Local holds the tokens that this gateway takes from the platform.
	Local *prepaid.Manager
	// Catalog returns the configuration in force; nil before there is one.
	Catalog func() *catalog.Catalog
	Metrics *Metrics
	Log     *zap.Logger
	Now     func() time.Time
}

// Server reserves tokens for other gateways. It implements
// pb.AllotmentServiceServer and is safe for concurrent use.
type Server struct {
	pb.UnimplementedAllotmentServiceServer
	ServerOptions
	reservations reservationTable
	stopping     atomic.Bool
}

// NewServer returns a server without reservations.
func NewServer(opts ServerOptions) *Server {
	return &Server{ServerOptions: opts, reservations: newReservationTable()}
}

// GRPCServer returns a gRPC server with the service registered.
func (s *Server) GRPCServer() *grpc.Server {
	g := grpc.NewServer(
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxHeaderListSize(peerconn.MaxHeaderBytes),
		grpc.MaxConcurrentStreams(peerconn.MaxStreams), grpc.ConnectionTimeout(peerconn.HandshakeTimeout),
	)
	pb.RegisterAllotmentServiceServer(g, s)
	return g
}

// Reserve implements pb.AllotmentServiceServer.
func (s *Server) Reserve(ctx context.Context, req *pb.ReserveTokensRequest) (*pb.ReserveTokensResponse, error) {
	s.settle(req.Run, req.Settlements)
	workspace := s.workspace(req.Workspace)
	key := reservationKey{run: req.Run, number: req.Number}
	expiresAt := s.Now().Add(time.Duration(req.LifetimeMs) * time.Millisecond)
	if s.stopping.Load() || !prepaid.Limited(workspace) || !s.reservations.begin(key, req.Tokens, expiresAt) {
		return &pb.ReserveTokensResponse{Result: pb.ReserveResult_RESERVE_RESULT_NOT_HOME}, nil
	}
	reservation, err := s.reserve(ctx, req, workspace)
	if err != nil {
		s.reservations.abandon(key)
		return encodeRefusal(err), nil
	}
	s.reservations.complete(key, reservation)
	s.Metrics.recordResult(resultServed)
	return &pb.ReserveTokensResponse{Result: pb.ReserveResult_RESERVE_RESULT_RESERVED}, nil
}

// errNotHeld means that the tokens aren't held, and weren't to be taken.
var errNotHeld = errkind.New(errkind.BudgetUnreachable, "too few tokens are held here")

func (s *Server) reserve(ctx context.Context, req *pb.ReserveTokensRequest, w *catalog.Workspace) (prepaid.Reservation, error) {
	if !req.HeldOnly {
		maxWait := time.Duration(req.MaxWaitMs) * time.Millisecond
		return s.Local.Reserve(ctx, req.RequestId, w, req.Tokens, int(req.Rank), maxWait)
	}
	reservation, held := s.Local.ReserveHeld(w, req.Tokens, int(req.Rank))
	if !held {
		return nil, errNotHeld
	}
	return reservation, nil
}

// workspace returns a workspace of the configuration in force, or nil.
func (s *Server) workspace(name string) *catalog.Workspace {
	c := s.Catalog()
	if c == nil {
		return nil
	}
	return c.Workspace(name)
}

// encodeRefusal returns the response for a refused reservation.
func encodeRefusal(err error) *pb.ReserveTokensResponse {
	refusal := errkind.FromError(err)
	resp := &pb.ReserveTokensResponse{Result: pb.ReserveResult_RESERVE_RESULT_INSUFFICIENT, RetryAfterMs: refusal.RetryAfter.Milliseconds()}
	switch {
	case refusal.Kind == errkind.BudgetExhausted:
		resp.Result = pb.ReserveResult_RESERVE_RESULT_EXHAUSTED
	case refusal.Kind != errkind.BudgetUnreachable:
		resp.Result = pb.ReserveResult_RESERVE_RESULT_NOT_HOME
	case errors.Is(err, prepaid.ErrPlatformDown):
		resp.Result = pb.ReserveResult_RESERVE_RESULT_PLATFORM_DOWN
	}
	return resp
}

// Settle implements pb.AllotmentServiceServer.
func (s *Server) Settle(_ context.Context, req *pb.SettleTokensRequest) (*pb.SettleTokensResponse, error) {
	s.settle(req.Run, req.Settlements)
	return &pb.SettleTokensResponse{}, nil
}

func (s *Server) settle(run string, settlements []*pb.TokenSettlement) {
	now := s.Now()
	for _, settlement := range settlements {
		s.reservations.settle(reservationKey{run: run, number: settlement.Number}, settlement.Used, now)
	}
	expired := s.reservations.expire(now)
	if expired > 0 {
		s.Metrics.results.WithLabelValues(resultExpired).Add(float64(expired))
		s.Log.Warn("budget: counting reservations of other gateways as used, which weren't settled in time.", zap.Int("reservations", expired))
	}
}

// RefuseNew refuses new reservations from now on, as a stopping gateway does.
func (s *Server) RefuseNew() { s.stopping.Store(true) }

// Drain waits until all reservations are settled, or returns the error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	for s.reservations.outstanding() > 0 {
		if !wait.For(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}
