package forward

import (
	"context"
	"time"

	"google.golang.org/grpc"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/peerconn"
)

// GRPCPeers calls other gateways over gRPC. It implements Peers.
type GRPCPeers struct {
	conns *peerconn.Pool
}

// replacedFor is how long a connection to a gateway stays open that isn't used for new
// requests, so that forwarded ones can end.
const replacedFor = time.Minute

// bufferBytes is the size of a connection's read and write buffers. A small VM may have
// connections to dozens of gateways.
const bufferBytes = 4 << 10

// NewConns returns a pool of connections that carry forwarded requests.
func NewConns() *peerconn.Pool {
	conns := peerconn.NewPool(grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes))
	conns.KeepReplaced(replacedFor)
	return conns
}

// NewGRPCPeers returns peers that are called over the connections.
func NewGRPCPeers(conns *peerconn.Pool) *GRPCPeers { return &GRPCPeers{conns: conns} }

// Open implements Peers.
func (p *GRPCPeers) Open(ctx context.Context, address string, offer *pb.ForwardOffer) (Stream, error) {
	conn, err := p.conns.Conn(address)
	if err != nil {
		return nil, err
	}
	stream, err := pb.NewForwardServiceClient(conn).Forward(ctx)
	if err != nil {
		return nil, err
	}
	return stream, stream.Send(&pb.ForwardRequest{Part: &pb.ForwardRequest_Offer{Offer: offer}})
}

// Drop implements Peers.
func (p *GRPCPeers) Drop(address string) { p.conns.Replace(address) }

// GetForwardStatus implements Peers.
func (p *GRPCPeers) GetForwardStatus(ctx context.Context, address string, req *pb.GetForwardStatusRequest) (*pb.GetForwardStatusResponse, error) {
	return peerconn.Call(ctx, p.conns, address, req, pb.NewForwardServiceClient, pb.ForwardServiceClient.GetForwardStatus)
}

// CheckTarget implements Peers.
func (p *GRPCPeers) CheckTarget(ctx context.Context, address string, req *pb.CheckTargetRequest) (*pb.CheckTargetResponse, error) {
	return peerconn.Call(ctx, p.conns, address, req, pb.NewForwardServiceClient, pb.ForwardServiceClient.CheckTarget)
}
