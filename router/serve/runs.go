package serve

import (
	"bytes"
	"sync"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// streamRun is the state of one streamed request at this router.
type streamRun struct {
	digest         []byte
	target, stream string
	// parked is set while no caller reads the stream.
	parked *parkedStream
}

// runs holds the streamed requests in progress at this router.
type runs struct {
	mu   sync.Mutex
	byID map[string]*streamRun
}

func newRuns() *runs { return &runs{byID: make(map[string]*streamRun)} }

// claim registers a request, and returns its parked stream if there is one. It
// refuses a request whose stream another connection reads, and a different
// request with the same ID.
func (rs *runs) claim(id string, digest []byte) (*parkedStream, error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	known, ok := rs.byID[id]
	if !ok {
		rs.byID[id] = &streamRun{digest: digest}
		return nil, nil
	}
	if !bytes.Equal(known.digest, digest) {
		return nil, errkind.New(errkind.KeyReused, "this Idempotency-Key was used for a different request")
	}
	if known.parked == nil {
		return nil, errkind.New(errkind.InProgress, "this request is being served on another connection").WithRetryAfter(time.Second)
	}
	p := known.parked
	known.parked = nil
	return p, nil
}

// recordDispatch stores the target and stream of a claimed request.
func (rs *runs) recordDispatch(id, targetName, stream string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if known, ok := rs.byID[id]; ok {
		known.target, known.stream = targetName, stream
	}
}

// park marks the stream of a claimed request as parked.
func (rs *runs) park(id string, p *parkedStream) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if known, ok := rs.byID[id]; ok {
		known.parked = p
	}
}

// removeParked removes a request if it is still parked as p.
func (rs *runs) removeParked(id string, p *parkedStream) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	known, ok := rs.byID[id]
	if !ok || known.parked != p {
		return false
	}
	delete(rs.byID, id)
	return true
}

func (rs *runs) remove(id string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	delete(rs.byID, id)
}

// handOver removes and returns the parked stream of the same request, or nil
// if there is none.
func (rs *runs) handOver(id string, digest []byte) *parkedStream {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	known, ok := rs.byID[id]
	if !ok || known.parked == nil || !bytes.Equal(known.digest, digest) {
		return nil
	}
	delete(rs.byID, id)
	return known.parked
}

func (rs *runs) locate(id string) *pb.LocateResponse {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	known, ok := rs.byID[id]
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
