package serve

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
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
		s.finishAbandoned(r, p)
		return
	default:
	}
	s.active.Add(1)
	s.runs.park(r.ID, p)
	go func() {
		defer s.active.Done()
		select {
		case <-time.After(s.Grace):
		case <-s.stopping:
		}
		if s.runs.take(r.ID, p) {
			s.settleAbandoned(r, p)
		}
	}()
}

// finishAbandoned cancels and bills a stream that nobody will read.
func (s *Server) finishAbandoned(r *Request, p *parked) {
	s.runs.remove(r.ID)
	s.settleAbandoned(r, p)
}

func (s *Server) finishInBackground(r *Request, p *parked) {
	s.active.Add(1)
	go func() {
		defer s.active.Done()
		s.finishAbandoned(r, p)
	}()
}

// settleAbandoned asks the engine to cancel the stream and bills the usage it
// names. Where no answer can be had the bound stays charged as unknown, and
// the engine is asked again from time to time.
func (s *Server) settleAbandoned(r *Request, p *parked) {
	for attempt := 1; attempt <= cancelAttempts; attempt++ {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		usage, err := s.Targets.Cancel(ctx, p.target, r.ID, p.stream)
		cancel()
		if err == nil {
			s.bill(r, p.res, p.target.Name, total(usage))
			return
		}
		time.Sleep(cancelBackoff << attempt)
	}
	p.res.Unknown()
	s.record(r, pb.EventKind_EVENT_KIND_CUT, p.target.Name, 0, "usage unknown")
	go s.learnUsage(r, p)
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
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		usage, err := s.Targets.Cancel(ctx, p.target, r.ID, p.stream)
		cancel()
		if err != nil {
			continue
		}
		err = s.Ledger.Learned(r.Budget, r.Workspace.Name, r.ID, runName(p.target.Name, p.stream), total(usage))
		if err != nil {
			s.Log.Warn("serve: a late usage was not taken.", zap.String("request", r.ID), zap.Error(err))
		}
		return
	}
}

// HandleLocate tells a peer what this router knows of a request.
func (s *Server) HandleLocate(ctx context.Context, req *pb.LocateRequest) (*pb.LocateResponse, error) {
	resp := s.runs.locate(req.RequestId)
	if resp.Known {
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
	p := s.runs.handOver(req.RequestId)
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

// run is what this router knows of one streamed request.
type run struct {
	target, stream string
	// parked is set while nobody reads the stream.
	parked *parked
}

// registry holds the streamed requests in progress at this router.
type registry struct {
	mu   sync.Mutex
	runs map[string]*run
}

func (g *registry) init() { g.runs = make(map[string]*run) }

// claim registers a request, and returns its parked stream if there is one.
// One that is being read is refused.
func (g *registry) claim(id string) (*parked, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.runs[id]
	if !ok {
		g.runs[id] = &run{}
		return nil, nil
	}
	if known.parked == nil {
		return nil, errkind.New(errkind.InProgress, "this request is being answered on another connection").After(time.Second)
	}
	p := known.parked
	known.parked = nil
	return p, nil
}

func (g *registry) dispatched(id, targetName, stream string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[id] = &run{target: targetName, stream: stream}
}

func (g *registry) park(id string, p *parked) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs[id] = &run{target: p.target.Name, stream: p.stream, parked: p}
}

// take removes a request if it is still parked as p.
func (g *registry) take(id string, p *parked) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.runs[id]
	if !ok || known.parked != p {
		return false
	}
	delete(g.runs, id)
	return true
}

func (g *registry) remove(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.runs, id)
}

// handOver removes and returns a parked stream; nil when there is none.
func (g *registry) handOver(id string) *parked {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.runs[id]
	if !ok || known.parked == nil {
		return nil
	}
	delete(g.runs, id)
	return known.parked
}

func (g *registry) locate(id string) *pb.LocateResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.runs[id]
	if !ok {
		return &pb.LocateResponse{}
	}
	return &pb.LocateResponse{
		Known:    true,
		Running:  true,
		Target:   known.target,
		Stream:   known.stream,
		RunState: pb.RunState_RUN_STATE_UNKNOWN,
	}
}

// requestDigest names what an action asks for.
func requestDigest(r *Request) []byte {
	h := sha256.New()
	h.Write([]byte(r.Service.Name))
	h.Write([]byte{0})
	h.Write([]byte(r.Call.Path))
	h.Write([]byte{0})
	h.Write(r.Body)
	return h.Sum(nil)
}
