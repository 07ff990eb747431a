// Package peer is the door between the fleet's own routers: a gRPC server
// that hands each message to the part that owns it, and a pool of clients.
//
// The door holds no state of the protocols. Messages may be lost, doubled or
// reordered; the parts behind it are built for that.
package peer

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

const (
	// callTimeout bounds one call to a peer, whatever longer bound its caller
	// sets.
	callTimeout = 2 * time.Second
	// fetchTimeout bounds a call that may bring a whole configuration.
	fetchTimeout = 10 * time.Second
	// pingInterval is the idle time after which a connection is probed, so
	// that one that has gone silent is closed and dialled anew.
	pingInterval = 10 * time.Second
	// pingTimeout is the wait for the answer to a probe.
	pingTimeout = 2 * time.Second
	// firstReconnectDelay and maxReconnectDelay bound the wait between two
	// attempts to connect, so that a partition's end is seen within a second.
	firstReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay   = time.Second
	// reconnectFactor is the growth of that wait.
	reconnectFactor = 1.6
	// maxMessageBytes bounds one message, so that a snapshot fits.
	maxMessageBytes = 256 << 20
)

// MembershipHandler handles heartbeats.
type MembershipHandler interface {
	HandleHeartbeat(ctx context.Context, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error)
}

// LedgerHandler handles loans and bills.
type LedgerHandler interface {
	HandleBorrow(ctx context.Context, req *pb.BorrowRequest) (*pb.BorrowResponse, error)
	HandleSettle(ctx context.Context, req *pb.SettleRequest) (*pb.SettleResponse, error)
}

// ConfigHandler hands out configurations.
type ConfigHandler interface {
	HandleFetchConfig(ctx context.Context, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error)
}

// RequestHandler tells of requests and hands over parked streams.
type RequestHandler interface {
	HandleLocate(ctx context.Context, req *pb.LocateRequest) (*pb.LocateResponse, error)
	HandleTakeover(ctx context.Context, req *pb.TakeoverRequest) (*pb.TakeoverResponse, error)
}

// Server is the peer door's service.
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
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}),
		grpc.UnaryInterceptor(answerKind),
	)
	pb.RegisterPeerServiceServer(g, &Server{membership: m, ledger: l, config: c, requests: r})
	return g
}

// answerKind gives errors the gRPC code of their kind.
func answerKind(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	resp, err := handler(ctx, req)
	if err == nil {
		return resp, nil
	}
	e := errkind.FromError(err)
	return nil, status.Error(e.Kind.Properties().Code, e.Error())
}

// Heartbeat implements the peer service.
func (s *Server) Heartbeat(ctx context.Context, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	return s.membership.HandleHeartbeat(ctx, req)
}

// Borrow implements the peer service.
func (s *Server) Borrow(ctx context.Context, req *pb.BorrowRequest) (*pb.BorrowResponse, error) {
	return s.ledger.HandleBorrow(ctx, req)
}

// Settle implements the peer service.
func (s *Server) Settle(ctx context.Context, req *pb.SettleRequest) (*pb.SettleResponse, error) {
	return s.ledger.HandleSettle(ctx, req)
}

// FetchConfig implements the peer service.
func (s *Server) FetchConfig(ctx context.Context, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	return s.config.HandleFetchConfig(ctx, req)
}

// Locate implements the peer service.
func (s *Server) Locate(ctx context.Context, req *pb.LocateRequest) (*pb.LocateResponse, error) {
	return s.requests.HandleLocate(ctx, req)
}

// Takeover implements the peer service.
func (s *Server) Takeover(ctx context.Context, req *pb.TakeoverRequest) (*pb.TakeoverResponse, error) {
	return s.requests.HandleTakeover(ctx, req)
}

// Pool keeps one connection for each peer address. It is safe for concurrent
// use.
type Pool struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{conns: make(map[string]*grpc.ClientConn)}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	clear(p.conns)
}

// Retain closes the connections to addresses that are no longer members.
func (p *Pool) Retain(members []*pb.Member) {
	live := make(map[string]struct{}, len(members))
	for _, m := range members {
		live[m.PeerAddress] = struct{}{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		if _, ok := live[address]; ok {
			continue
		}
		_ = c.Close()
		delete(p.conns, address)
	}
}

func (p *Pool) client(address string) (pb.PeerServiceClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		return pb.NewPeerServiceClient(c), nil
	}
	c, err := grpc.NewClient(address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout, PermitWithoutStream: true}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(reconnect()),
	)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.conns[address] = c
	return pb.NewPeerServiceClient(c), nil
}

// reconnect returns how a lost connection is made again.
func reconnect() grpc.ConnectParams {
	delays := backoff.DefaultConfig
	delays.BaseDelay = firstReconnectDelay
	delays.Multiplier = reconnectFactor
	delays.MaxDelay = maxReconnectDelay
	return grpc.ConnectParams{Backoff: delays, MinConnectTimeout: maxReconnectDelay}
}

// Heartbeat calls a peer by its address. A peer that doesn't answer in time
// gets a new connection, since the old one may have gone silent.
func (p *Pool) Heartbeat(ctx context.Context, address string, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	resp, err := call(ctx, p, address, req, pb.PeerServiceClient.Heartbeat)
	if status.Code(trace.Unwrap(err)) == codes.DeadlineExceeded {
		p.replace(address)
	}
	return resp, err
}

// replace forgets the connection to an address, so that the next call makes
// another. Calls in progress on the old one may still end.
func (p *Pool) replace(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.conns[address]
	if !ok {
		return
	}
	delete(p.conns, address)
	time.AfterFunc(callTimeout, func() { _ = old.Close() })
}

// Borrow asks a member for tokens.
func (p *Pool) Borrow(ctx context.Context, m *pb.Member, req *pb.BorrowRequest) (*pb.BorrowResponse, error) {
	return call(ctx, p, m.PeerAddress, req, pb.PeerServiceClient.Borrow)
}

// Settle brings bills to a member.
func (p *Pool) Settle(ctx context.Context, m *pb.Member, req *pb.SettleRequest) (*pb.SettleResponse, error) {
	return call(ctx, p, m.PeerAddress, req, pb.PeerServiceClient.Settle)
}

// FetchConfig asks a member for its configuration.
func (p *Pool) FetchConfig(ctx context.Context, m *pb.Member, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	return callWithin(ctx, fetchTimeout, p, m.PeerAddress, req, pb.PeerServiceClient.FetchConfig)
}

// Locate asks a member what it knows of a request.
func (p *Pool) Locate(ctx context.Context, m *pb.Member, req *pb.LocateRequest) (*pb.LocateResponse, error) {
	return call(ctx, p, m.PeerAddress, req, pb.PeerServiceClient.Locate)
}

// Takeover asks a member for a parked stream.
func (p *Pool) Takeover(ctx context.Context, m *pb.Member, req *pb.TakeoverRequest) (*pb.TakeoverResponse, error) {
	return call(ctx, p, m.PeerAddress, req, pb.PeerServiceClient.Takeover)
}

// call is one unary call within the usual time.
func call[Req, Resp any](
	ctx context.Context, p *Pool, address string, req Req,
	method func(pb.PeerServiceClient, context.Context, Req, ...grpc.CallOption) (Resp, error),
) (Resp, error) {
	return callWithin(ctx, callTimeout, p, address, req, method)
}

// callWithin is one unary call that ends after a time.
func callWithin[Req, Resp any](
	ctx context.Context, timeout time.Duration, p *Pool, address string, req Req,
	method func(pb.PeerServiceClient, context.Context, Req, ...grpc.CallOption) (Resp, error),
) (Resp, error) {
	var none Resp
	c, err := p.client(address)
	if err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := method(c, ctx, req)
	if err != nil {
		return none, trace.Wrap(err)
	}
	return resp, nil
}
