// Package peer carries calls between the routers of the fleet: a gRPC server
// that passes each message to the component that handles it, and a pool of
// clients.
//
// The server keeps no protocol state. Messages may be lost, duplicated or
// reordered; the handlers must tolerate that.
package peer

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/peerconn"
)

const (
	// callTimeout bounds one call to a peer, even if the caller's context has a
	// later deadline.
	callTimeout = 2 * time.Second
	// fetchTimeout bounds a call that may return a whole configuration.
	fetchTimeout = 10 * time.Second
	// keepaliveInterval is the idle time after which a connection is probed, so
	// that a dead connection is closed and dialled again.
	keepaliveInterval = 10 * time.Second
	// keepaliveTimeout bounds the wait for the response to a probe.
	keepaliveTimeout = 2 * time.Second
	// maxMessageBytes bounds one message; a configuration snapshot must fit.
	maxMessageBytes = 256 << 20
)

// MembershipHandler handles heartbeats.
type MembershipHandler interface {
	HandleHeartbeat(ctx context.Context, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error)
}

// LedgerHandler handles loans and the settling of bills.
type LedgerHandler interface {
	HandleBorrow(ctx context.Context, req *pb.BorrowRequest) (*pb.BorrowResponse, error)
	HandleSettle(ctx context.Context, req *pb.SettleRequest) (*pb.SettleResponse, error)
}

// ConfigHandler handles requests for the configuration.
type ConfigHandler interface {
	HandleFetchConfig(ctx context.Context, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error)
}

// RequestHandler reports on callers' requests and hands over parked streams.
type RequestHandler interface {
	HandleLocate(ctx context.Context, req *pb.LocateRequest) (*pb.LocateResponse, error)
	HandleTakeover(ctx context.Context, req *pb.TakeoverRequest) (*pb.TakeoverResponse, error)
}

// Server implements the gRPC peer service.
type Server struct {
	pb.UnimplementedPeerServiceServer

	membership MembershipHandler
	ledger     LedgerHandler
	config     ConfigHandler
	requests   RequestHandler
}

// NewServer returns a gRPC server with the peer service registered.
func NewServer(m MembershipHandler, l LedgerHandler, c ConfigHandler, r RequestHandler) *grpc.Server {
	g := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(peerconn.MaxHeaderBytes),
		grpc.MaxConcurrentStreams(peerconn.MaxStreams),
		grpc.ConnectionTimeout(peerconn.HandshakeTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
		grpc.UnaryInterceptor(errorCodeInterceptor),
	)
	pb.RegisterPeerServiceServer(g, &Server{membership: m, ledger: l, config: c, requests: r})
	return g
}

// errorCodeInterceptor converts errors to gRPC status errors with the code of
// their kind.
func errorCodeInterceptor(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	resp, err := handler(ctx, req)
	if err == nil {
		return resp, nil
	}
	e := errkind.FromError(err)
	return nil, status.Error(e.Kind.Properties().Code, e.Error())
}

// Heartbeat implements pb.PeerServiceServer.
func (s *Server) Heartbeat(ctx context.Context, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	return s.membership.HandleHeartbeat(ctx, req)
}

// Borrow implements pb.PeerServiceServer.
func (s *Server) Borrow(ctx context.Context, req *pb.BorrowRequest) (*pb.BorrowResponse, error) {
	return s.ledger.HandleBorrow(ctx, req)
}

// Settle implements pb.PeerServiceServer.
func (s *Server) Settle(ctx context.Context, req *pb.SettleRequest) (*pb.SettleResponse, error) {
	return s.ledger.HandleSettle(ctx, req)
}

// FetchConfig implements pb.PeerServiceServer.
func (s *Server) FetchConfig(ctx context.Context, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	return s.config.HandleFetchConfig(ctx, req)
}

// Locate implements pb.PeerServiceServer.
func (s *Server) Locate(ctx context.Context, req *pb.LocateRequest) (*pb.LocateResponse, error) {
	return s.requests.HandleLocate(ctx, req)
}

// Takeover implements pb.PeerServiceServer.
func (s *Server) Takeover(ctx context.Context, req *pb.TakeoverRequest) (*pb.TakeoverResponse, error) {
	return s.requests.HandleTakeover(ctx, req)
}

// Pool calls peers by their addresses. It is safe for concurrent use.
type Pool struct {
	conns *peerconn.Pool
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{conns: peerconn.NewPool(
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	)}
}

// Close closes all connections.
func (p *Pool) Close() { p.conns.Close() }

// Retain closes the connections to addresses that belong to none of the
// members.
func (p *Pool) Retain(members []*pb.Member) {
	live := make(map[string]struct{}, len(members))
	for _, m := range members {
		live[m.PeerAddress] = struct{}{}
	}
	p.conns.Retain(live)
}

// Heartbeat calls a peer by its address. If the peer doesn't respond in time,
// its connection is replaced, since the old one may be dead.
func (p *Pool) Heartbeat(ctx context.Context, address string, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	resp, err := call(ctx, p, address, req, pb.PeerServiceClient.Heartbeat)
	if status.Code(trace.Unwrap(err)) == codes.DeadlineExceeded {
		p.conns.Replace(address)
	}
	return resp, err
}

// Borrow requests a loan of tokens from a member.
func (p *Pool) Borrow(ctx context.Context, m *pb.Member, req *pb.BorrowRequest) (*pb.BorrowResponse, error) {
	return call(ctx, p, m.PeerAddress, req, pb.PeerServiceClient.Borrow)
}

// Settle sends bills to a member for settlement.
func (p *Pool) Settle(ctx context.Context, m *pb.Member, req *pb.SettleRequest) (*pb.SettleResponse, error) {
	return call(ctx, p, m.PeerAddress, req, pb.PeerServiceClient.Settle)
}

// FetchConfig requests a member's configuration.
func (p *Pool) FetchConfig(ctx context.Context, m *pb.Member, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	return callWithTimeout(ctx, fetchTimeout, p, m.PeerAddress, req, pb.PeerServiceClient.FetchConfig)
}

// Locate asks a member what it knows of a caller's request.
func (p *Pool) Locate(ctx context.Context, m *pb.Member, req *pb.LocateRequest) (*pb.LocateResponse, error) {
	return call(ctx, p, m.PeerAddress, req, pb.PeerServiceClient.Locate)
}

// Takeover asks a member to hand over a parked stream.
func (p *Pool) Takeover(ctx context.Context, m *pb.Member, req *pb.TakeoverRequest) (*pb.TakeoverResponse, error) {
	return call(ctx, p, m.PeerAddress, req, pb.PeerServiceClient.Takeover)
}

// call makes one unary call that is bounded by callTimeout.
func call[Req, Resp any](
	ctx context.Context, p *Pool, address string, req Req,
	method func(pb.PeerServiceClient, context.Context, Req, ...grpc.CallOption) (Resp, error),
) (Resp, error) {
	return callWithTimeout(ctx, callTimeout, p, address, req, method)
}

// callWithTimeout makes one unary call that is bounded by a timeout.
func callWithTimeout[Req, Resp any](
	ctx context.Context, timeout time.Duration, p *Pool, address string, req Req,
	method func(pb.PeerServiceClient, context.Context, Req, ...grpc.CallOption) (Resp, error),
) (Resp, error) {
	var none Resp
	conn, err := p.conns.Conn(address)
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := method(pb.NewPeerServiceClient(conn), ctx, req)
	if err != nil {
		return none, trace.Wrap(err)
	}
	return resp, nil
}
