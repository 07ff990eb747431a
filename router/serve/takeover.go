package serve

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/ledger"
)

const (
	// takeoverTimeout bounds the search for the router that has parked a
	// stream.
	takeoverTimeout = 300 * time.Millisecond
	// takeoverWorkers is how many routers are asked at the same time.
	takeoverWorkers = 32
)

// takeover asks the other routers to hand over the request's stream, and
// returns the reservation that came with it. A run is parked at one router at
// most, so the first that grants ends the search.
func (s *Server) takeover(ctx context.Context, r *Request) (*ledger.Reservation, bool) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	req := &pb.TakeoverRequest{RequestId: r.ID, Taker: s.Incarnation, RequestSha256: requestDigest(r)}
	granted := make(chan *pb.TakeoverResponse, 1)
	workers := pool.New().WithMaxGoroutines(takeoverWorkers)
	for _, m := range s.Peers.Members() {
		if ctx.Err() != nil {
			break
		}
		workers.Go(func() {
			resp, err := s.Peers.Takeover(ctx, m, req)
			if err != nil || !resp.Granted {
				return
			}
			select {
			case granted <- resp:
			default:
			}
			cancel()
		})
	}
	workers.Wait()
	select {
	case resp := <-granted:
		return s.takeUp(resp)
	default:
		return nil, false
	}
}

func (s *Server) takeUp(resp *pb.TakeoverResponse) (*ledger.Reservation, bool) {
	res, err := s.Ledger.TakeUp(resp.Covering)
	if err != nil {
		s.Log.Warn("serve: a handed over reservation can't be taken up.", zap.Error(err))
		return nil, false
	}
	return res, true
}

// runName names one run of a request by its engine's stream.
func runName(targetName, stream string) string { return targetName + "/" + stream }
