package serve

import (
	"bytes"
	"sync"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// run is what this router knows of one streamed request.
type run struct {
	digest         []byte
	target, stream string
	// parked is set while nobody reads the stream.
	parked *parked
}

// runs holds the streamed requests in progress at this router.
type runs struct {
	mu   sync.Mutex
	byID map[string]*run
}

func newRuns() *runs { return &runs{byID: make(map[string]*run)} }

// claim registers a request, and returns its parked stream if there is one.
// One that is being read is refused, and so is another request under the id.
func (g *runs) claim(id string, digest []byte) (*parked, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.byID[id]
	if !ok {
		g.byID[id] = &run{digest: digest}
		return nil, nil
	}
	if !bytes.Equal(known.digest, digest) {
		return nil, errkind.New(errkind.KeyReused, "this Idempotency-Key named another request")
	}
	if known.parked == nil {
		return nil, errkind.New(errkind.InProgress, "this request is being answered on another connection").WithRetryAfter(time.Second)
	}
	p := known.parked
	known.parked = nil
	return p, nil
}

// dispatched notes where a claimed request runs.
func (g *runs) dispatched(id, targetName, stream string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known, ok := g.byID[id]; ok {
		known.target, known.stream = targetName, stream
	}
}

// park notes that nobody reads a claimed request's stream.
func (g *runs) park(id string, p *parked) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known, ok := g.byID[id]; ok {
		known.parked = p
	}
}

// take removes a request if it is still parked as p.
func (g *runs) take(id string, p *parked) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.byID[id]
	if !ok || known.parked != p {
		return false
	}
	delete(g.byID, id)
	return true
}

func (g *runs) remove(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.byID, id)
}

// handOver removes and returns a parked stream of the same request; nil when
// there is none.
func (g *runs) handOver(id string, digest []byte) *parked {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.byID[id]
	if !ok || known.parked == nil || !bytes.Equal(known.digest, digest) {
		return nil
	}
	delete(g.byID, id)
	return known.parked
}

func (g *runs) locate(id string) *pb.LocateResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	known, ok := g.byID[id]
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
