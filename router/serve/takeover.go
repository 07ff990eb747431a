package serve

import (
	"context"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/ledger"
)

// takeoverTimeout bounds the search for the router that parked a stream.
const takeoverTimeout = 300 * time.Millisecond

// takeover asks the other routers to hand over the request's stream, and
// returns the stream's reservation. At most one router has a run parked, so
// the search ends with the first router that grants the takeover.
func (s *Server) takeover(ctx context.Context, r *Request) (*ledger.Reservation, bool) {
	req := &pb.TakeoverRequest{RequestId: r.ID, Taker: s.Incarnation, RequestSha256: requestDigest(r)}
	resp, granted := queryPeers(ctx, s.Peers, takeoverTimeout, func(ctx context.Context, m *pb.Member) (*pb.TakeoverResponse, bool) {
		resp, err := s.Peers.Takeover(ctx, m, req)
		return resp, err == nil && resp.Granted
	})
	if !granted {
		return nil, false
	}
	return s.adoptReservation(resp)
}

func (s *Server) adoptReservation(resp *pb.TakeoverResponse) (*ledger.Reservation, bool) {
	res, err := s.Ledger.TakeOver(resp.Covering)
	if err != nil {
		s.Log.Warn("serve: could not take over the reservation of a parked stream", zap.Error(err))
		return nil, false
	}
	return res, true
}

// runID returns the ID of one run of a request, formed from the engine's stream.
func runID(targetName, stream string) string { return targetName + "/" + stream }
