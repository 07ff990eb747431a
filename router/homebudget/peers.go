package homebudget

import (
	"context"

	"google.golang.org/grpc"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/peerconn"
)

// GRPCPeers calls other gateways over gRPC. It is safe for concurrent use.
type GRPCPeers struct {
	conns *peerconn.Pool
}

// NewConns returns a pool of connections to other gateways, whose messages are
// small.
func NewConns() *peerconn.Pool {
	return peerconn.NewPool(grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes))
}

// NewGRPCPeers returns peers that are called over the connections.
func NewGRPCPeers(conns *peerconn.Pool) *GRPCPeers { return &GRPCPeers{conns: conns} }

// Reserve implements Peers.
func (p *GRPCPeers) Reserve(ctx context.Context, address string, req *pb.ReserveTokensRequest) (*pb.ReserveTokensResponse, error) {
	return peerconn.Call(ctx, p.conns, address, req, pb.NewAllotmentServiceClient, pb.AllotmentServiceClient.Reserve)
}

// Settle implements Peers.
func (p *GRPCPeers) Settle(ctx context.Context, address string, req *pb.SettleTokensRequest) (*pb.SettleTokensResponse, error) {
	return peerconn.Call(ctx, p.conns, address, req, pb.NewAllotmentServiceClient, pb.AllotmentServiceClient.Settle)
}
