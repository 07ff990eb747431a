package targetlimit

import (
	"context"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/peerconn"
)

// Server issues permits to other gateways. It implements
// pb.TargetLimitServiceServer.
type Server struct {
	pb.UnimplementedTargetLimitServiceServer
	limiter *Limiter
}

// NewServer returns a server of the limiter's permits.
func NewServer(l *Limiter) *Server { return &Server{limiter: l} }

// Acquire implements pb.TargetLimitServiceServer.
func (s *Server) Acquire(_ context.Context, req *pb.AcquirePermitRequest) (*pb.AcquirePermitResponse, error) {
	target := placement.Target{ID: req.TargetId, StartTimeMs: req.StartTimeMs, DataCentre: req.DataCentre, Service: req.Service}
	limit := decodeLimit(req.Limit)
	s.limiter.book.LearnService(req.Service, limit)
	s.limiter.book.Learn(target.Process(), limit)
	s.limiter.rooms.Learn(target.Process(), decodeReport(req.Load, req.LoadAgeMs), s.limiter.Now())
	s.limiter.learnCold(target.Process(), req.ColdPeriod)
	permit := s.limiter.issue(target, req.NewsOnly, time.Duration(req.LifetimeMs)*time.Millisecond, req.ColdBound)
	return &pb.AcquirePermitResponse{
		Granted: permit.Granted, Permit: permit.ID, RetryAfterMs: permit.RetryAfter.Milliseconds(),
		Limit: encodeLimit(s.limiter.book.Limit(target.Process())), ColdPeriod: s.limiter.encodeCold(target.Process()),
	}, nil
}

// Release implements pb.TargetLimitServiceServer.
func (s *Server) Release(_ context.Context, req *pb.ReleasePermitsRequest) (*pb.ReleasePermitsResponse, error) {
	s.limiter.recordReleases(req)
	return &pb.ReleasePermitsResponse{}, nil
}

// GRPCPeers calls other gateways over gRPC. It implements Peers.
type GRPCPeers struct {
	conns *peerconn.Pool
}

// NewGRPCPeers returns peers that are called over the connections.
func NewGRPCPeers(conns *peerconn.Pool) *GRPCPeers { return &GRPCPeers{conns: conns} }

// Acquire implements Peers.
func (p *GRPCPeers) Acquire(ctx context.Context, address string, req *pb.AcquirePermitRequest) (*pb.AcquirePermitResponse, error) {
	return peerconn.Call(ctx, p.conns, address, req, pb.NewTargetLimitServiceClient, pb.TargetLimitServiceClient.Acquire)
}

// Release implements Peers.
func (p *GRPCPeers) Release(ctx context.Context, address string, req *pb.ReleasePermitsRequest) error {
	_, err := peerconn.Call(ctx, p.conns, address, req, pb.NewTargetLimitServiceClient, pb.TargetLimitServiceClient.Release)
	return err
}
