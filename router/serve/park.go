package serve

import (
	"context"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/ledger"
)

const (
	// cancelAttempts bounds how often an engine is asked for the usage of a
	// stream that nobody reads.
	cancelAttempts = 4
	// cancelTimeout bounds one such call.
	cancelTimeout = 2 * time.Second
	// cancelBackoff is half of the wait after the first one.
	cancelBackoff = 10 * time.Millisecond
	// learnInterval is the first wait before an unknown usage is asked for
	// again; it doubles up to maxLearnInterval.
	learnInterval    = 5 * time.Second
	maxLearnInterval = 20 * time.Minute
)

// parked is a dispatched stream without a reader.
type parked struct {
	target *pb.Target
	stream string
	res    *ledger.Reservation
}

// park keeps a stream for the grace, then ends it.
func (s *Server) park(r *Request, p *parked) {
	select {
	case <-s.stopping:
		s.runs.remove(r.ID)
		s.finishInBackground(r, p)
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
		if s.runs.take(r.ID, p) {
			s.settleAbandoned(r, p)
		}
	}()
}

// finishInBackground cancels and bills a stream that nobody will read.
func (s *Server) finishInBackground(r *Request, p *parked) {
	s.active.Add(1)
	go func() {
		defer s.active.Done()
		s.settleAbandoned(r, p)
	}()
}

// settleAbandoned asks the engine to cancel the stream and bills the usage it
// names. Where no answer can be had the bound stays charged as unknown, and
// the engine is asked again from time to time.
func (s *Server) settleAbandoned(r *Request, p *parked) {
	for attempt := 1; attempt <= cancelAttempts; attempt++ {
		tokens, err := s.cancelRun(r, p)
		if err == nil {
			s.bill(r, p.res, p.target.Name, tokens)
			return
		}
		time.Sleep(cancelBackoff << attempt)
	}
	p.res.SettleUnknown()
	s.record(r, pb.EventKind_EVENT_KIND_CUT, p.target.Name, 0, "usage unknown")
	go s.learnUsage(r, p)
}

// cancelRun asks the engine once to cancel a stream, and returns its usage.
func (s *Server) cancelRun(r *Request, p *parked) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	usage, err := s.Targets.Cancel(ctx, p.target, r.ID, p.stream)
	return total(usage), err
}

// learnUsage asks an engine for the usage of a stream that was billed as
// unknown, at growing intervals, until it answers or the router stops.
func (s *Server) learnUsage(r *Request, p *parked) {
	for wait := learnInterval; wait <= maxLearnInterval; wait *= 2 {
		select {
		case <-time.After(wait):
		case <-s.stopping:
			return
		}
		tokens, err := s.cancelRun(r, p)
		if err != nil {
			continue
		}
		err = s.Ledger.ReportUsage(r.Budget, r.Workspace.Name, r.ID, runName(p.target.Name, p.stream), tokens)
		if err != nil {
			s.Log.Warn("serve: a late usage was not taken.", zap.String("request", r.ID), zap.Error(err))
		}
		return
	}
}

// HandleLocate tells a peer what this router knows of a request.
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

// HandleTakeover hands a parked stream and its reservation to a peer.
func (s *Server) HandleTakeover(_ context.Context, req *pb.TakeoverRequest) (*pb.TakeoverResponse, error) {
	p := s.runs.handOver(req.RequestId, req.RequestSha256)
	if p == nil {
		return &pb.TakeoverResponse{}, nil
	}
	covering, ok := p.res.HandOver()
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
