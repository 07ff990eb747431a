package serve

import (
	"context"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/ledger"
)

const (
	// cancelAttempts bounds how often an engine is asked to cancel a stream
	// without a reader and to report its usage.
	cancelAttempts = 4
	// cancelTimeout bounds one of these attempts.
	cancelTimeout = 2 * time.Second
	// cancelBackoff is half of the wait after the first attempt; the wait
	// doubles with each attempt.
	cancelBackoff = 10 * time.Millisecond
	// usageRetryInterval is the first wait before an engine is asked again for
	// an unknown usage; it doubles up to maxUsageRetryInterval.
	usageRetryInterval    = 5 * time.Second
	maxUsageRetryInterval = 20 * time.Minute
)

// parkedStream is a dispatched stream that no caller reads.
type parkedStream struct {
	target      *pb.Target
	stream      string
	reservation *ledger.Reservation
}

// park keeps a stream for ParkGrace, then cancels and bills it. While the server
// closes, it does so at once.
func (s *Server) park(r *Request, p *parkedStream) {
	select {
	case <-s.stopping:
		s.runs.remove(r.ID)
		s.settleInBackground(r, p)
		return
	default:
	}
	s.active.Add(1)
	s.runs.park(r.ID, p)
	go func() {
		defer s.active.Done()
		select {
		case <-time.After(s.ParkGrace):
		case <-s.stopping:
		}
		if s.runs.removeParked(r.ID, p) {
			s.settleAbandoned(r, p)
		}
	}()
}

// settleInBackground cancels and bills a stream that no caller will read.
func (s *Server) settleInBackground(r *Request, p *parkedStream) {
	s.active.Add(1)
	go func() {
		defer s.active.Done()
		s.settleAbandoned(r, p)
	}()
}

// settleAbandoned asks the engine to cancel the stream and bills the usage that
// it reports. If the engine doesn't respond, the reservation stays charged as
// usage unknown, and the engine is asked again at growing intervals.
func (s *Server) settleAbandoned(r *Request, p *parkedStream) {
	for attempt := 1; attempt <= cancelAttempts; attempt++ {
		tokens, err := s.cancelStream(r, p)
		if err == nil {
			s.bill(r, p.reservation, p.target.Name, tokens)
			return
		}
		time.Sleep(cancelBackoff << attempt)
	}
	p.reservation.SettleUnknown()
	s.record(r, pb.EventKind_EVENT_KIND_CUT, p.target.Name, 0, "usage unknown")
	go s.retryUsage(r, p)
}

// cancelStream asks the engine once to cancel a stream, and returns the tokens
// used.
func (s *Server) cancelStream(r *Request, p *parkedStream) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	usage, err := s.Targets.Cancel(ctx, p.target, r.ID, p.stream)
	return totalTokens(usage), err
}

// retryUsage asks the engine for the usage of a stream that was settled as
// unknown, at growing intervals, until the engine responds, the interval
// exceeds maxUsageRetryInterval or the server closes.
func (s *Server) retryUsage(r *Request, p *parkedStream) {
	for wait := usageRetryInterval; wait <= maxUsageRetryInterval; wait *= 2 {
		select {
		case <-time.After(wait):
		case <-s.stopping:
			return
		}
		tokens, err := s.cancelStream(r, p)
		if err != nil {
			continue
		}
		err = s.Ledger.ReportUsage(r.Budget, r.Workspace.Name, r.ID, runID(p.target.Name, p.stream), tokens)
		if err != nil {
			s.Log.Warn("serve: ledger did not accept the late usage of a request", zap.String("request", r.ID), zap.Error(err))
		}
		return
	}
}

// HandleLocate returns what this router knows of a request. It looks for a bill
// only if the request isn't running at this router and OwnMemory isn't set.
func (s *Server) HandleLocate(ctx context.Context, req *pb.LocateRequest) (*pb.LocateResponse, error) {
	resp := s.runs.locate(req.RequestId)
	if s.sent.has(req.RequestId) {
		resp.Known = true
		resp.RunState = pb.RunState_RUN_STATE_UNKNOWN
	}
	if resp.Running || req.OwnMemory {
		return resp, nil
	}
	bill, found, err := s.Ledger.Bill(ctx, req.RequestId)
	if err != nil {
		return nil, err
	}
	if found {
		resp.Known = true
		resp.Bill = bill
		resp.RunState = pb.RunState_RUN_STATE_RAN
	}
	return resp, nil
}

// HandleTakeover hands a parked stream and its reservation over to a peer.
func (s *Server) HandleTakeover(_ context.Context, req *pb.TakeoverRequest) (*pb.TakeoverResponse, error) {
	p := s.runs.handOver(req.RequestId, req.RequestSha256)
	if p == nil {
		return &pb.TakeoverResponse{}, nil
	}
	covering, ok := p.reservation.HandOver()
	if !ok {
		return &pb.TakeoverResponse{}, nil
	}
	return &pb.TakeoverResponse{
		Granted:  true,
		Target:   p.target.Name,
		Stream:   p.stream,
		Covering: covering,
	}, nil
}
