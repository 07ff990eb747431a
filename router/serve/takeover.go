package serve

import (
	"context"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/ledger"
)

// takeoverTimeout bounds the search for the router that has parked a stream.
const takeoverTimeout = 300 * time.Millisecond

// takeover asks the other routers to hand over the request's stream, and
// returns the reservation that came with it. A run is parked at one router at
// most, so the first that grants ends the search.
func (s *Server) takeover(ctx context.Context, r *Request) (*ledger.Reservation, bool) {
	req := &pb.TakeoverRequest{RequestId: r.ID, Taker: s.Incarnation, RequestSha256: requestDigest(r)}
	resp, granted := askMembers(ctx, s.Peers, takeoverTimeout, func(ctx context.Context, m *pb.Member) (*pb.TakeoverResponse, bool) {
		resp, err := s.Peers.Takeover(ctx, m, req)
		return resp, err == nil && resp.Granted
	})
	if !granted {
		return nil, false
	}
	return s.takeUp(resp)
}

func (s *Server) takeUp(resp *pb.TakeoverResponse) (*ledger.Reservation, bool) {
	res, err := s.Ledger.TakeOver(resp.Covering)
	if err != nil {
		s.Log.Warn("serve: a handed over reservation can't be taken up.", zap.Error(err))
		return nil, false
	}
	return res, true
}

// runName names one run of a request by its engine's stream.
func runName(targetName, stream string) string { return targetName + "/" + stream }
