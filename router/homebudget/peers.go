package homebudget

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/peerconn"
)

// GRPCPeers calls other gateways over gRPC. It is safe for concurrent use.
type GRPCPeers struct {
	conns *peerconn.Pool
}

// NewGRPCPeers returns peers without connections.
func NewGRPCPeers() *GRPCPeers {
	return &GRPCPeers{conns: peerconn.NewPool(
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
	)}
}

// Reserve implements Peers.
func (p *GRPCPeers) Reserve(ctx context.Context, address string, req *pb.ReserveTokensRequest) (*pb.ReserveTokensResponse, error) {
	return call(ctx, p, address, req, pb.AllotmentServiceClient.Reserve)
}

// Settle implements Peers.
func (p *GRPCPeers) Settle(ctx context.Context, address string, req *pb.SettleTokensRequest) (*pb.SettleTokensResponse, error) {
	return call(ctx, p, address, req, pb.AllotmentServiceClient.Settle)
}

// Retain closes the connections to all addresses but these.
func (p *GRPCPeers) Retain(addresses map[string]struct{}) { p.conns.Retain(addresses) }

// Close closes all connections.
func (p *GRPCPeers) Close() { p.conns.Close() }

// call makes one call. The connection of one that wasn't answered in time is
// replaced, since it may be dead.
func call[Req, Resp any](
	ctx context.Context, p *GRPCPeers, address string, req Req,
	method func(pb.AllotmentServiceClient, context.Context, Req, ...grpc.CallOption) (Resp, error),
) (Resp, error) {
	var none Resp
	conn, err := p.conns.Conn(address)
	if err != nil {
		return none, err
	}
	resp, err := method(pb.NewAllotmentServiceClient(conn), ctx, req)
	if status.Code(err) == codes.DeadlineExceeded {
		p.conns.Replace(address)
	}
	return resp, err
}
