package serve

import (
	"context"
	"sync"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

const (
	// maxSentActions is how many action IDs are remembered. They take about
	// 6 MB.
	maxSentActions = 1 << 16
	// sentQueryTimeout bounds the query of the other routers whether one of
	// them sent an action.
	sentQueryTimeout = 200 * time.Millisecond
)

// sentActions remembers the most recent actions that this router sent and that
// may have run. While the platform is unavailable, a repeat of such an action
// must not be reported as not run.
type sentActions struct {
	mu   sync.Mutex
	ids  map[string]struct{}
	ring []string
	next int
}

func newSentActions() *sentActions {
	return &sentActions{ids: make(map[string]struct{}), ring: make([]string, maxSentActions)}
}

// add remembers an action before it is sent.
func (a *sentActions) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.ids[id]; ok {
		return
	}
	delete(a.ids, a.ring[a.next])
	a.ring[a.next] = id
	a.next = (a.next + 1) % len(a.ring)
	a.ids[id] = struct{}{}
}

// remove forgets an action that is known not to have run.
func (a *sentActions) remove(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.ids, id)
}

func (a *sentActions) has(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.ids[id]
	return ok
}

// correctRunState returns the error that an action's caller may get. A refusal
// made without the action's row says only that this attempt did not run; if
// another router remembers an earlier attempt, the outcome is unknown.
func (s *Server) correctRunState(ctx context.Context, r *Request, err error) error {
	switch errkind.KindOf(err) {
	case errkind.PlatformDown, errkind.Draining, errkind.Overloaded:
	default:
		return err
	}
	if !s.sentByPeer(ctx, r) {
		return err
	}
	unknown := errkind.Wrap(errkind.OutcomeUnknown, err, "an earlier attempt of this action may have run; query the outcome of the request")
	return unknown.WithRetryAfter(errkind.FromError(err).RetryAfter)
}

// sentByPeer reports whether one of the other routers sent the action.
func (s *Server) sentByPeer(ctx context.Context, r *Request) bool {
	req := &pb.LocateRequest{RequestId: r.ID, OwnMemory: true}
	_, found := queryPeers(ctx, s.Peers, sentQueryTimeout, func(ctx context.Context, m *pb.Member) (*pb.LocateResponse, bool) {
		resp, err := s.Peers.Locate(ctx, m, req)
		return resp, err == nil && resp.Known
	})
	return found
}
