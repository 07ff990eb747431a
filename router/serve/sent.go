package serve

import (
	"context"
	"sync"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

const (
	// maxSent bounds the action ids remembered; about 6 MB.
	maxSent = 1 << 16
	// recallTimeout bounds the question to the other routers whether one of
	// them sent an action.
	recallTimeout = 200 * time.Millisecond
)

// sentActions remembers the newest actions that this router sent and that may
// have run. While the platform is out, it keeps a repeat of such an action
// from being told as not run.
type sentActions struct {
	mu   sync.Mutex
	ids  map[string]struct{}
	ring []string
	next int
}

func newSentActions() *sentActions {
	return &sentActions{ids: make(map[string]struct{}), ring: make([]string, maxSent)}
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

// truthful returns the error of an action as it may be told. A refusal made
// without the action's row says only that this attempt did not run; where a
// router remembers an earlier attempt, the outcome is unknown.
func (s *Server) truthful(ctx context.Context, r *Request, err error) error {
	switch errkind.KindOf(err) {
	case errkind.PlatformDown, errkind.Draining, errkind.Overloaded:
	default:
		return err
	}
	if !s.sentElsewhere(ctx, r) {
		return err
	}
	told := errkind.Wrap(errkind.OutcomeUnknown, err, "an earlier attempt of this action may have run; ask for its outcome")
	return told.WithRetryAfter(errkind.FromError(err).RetryAfter)
}

// sentElsewhere asks the other routers whether one of them sent the action.
func (s *Server) sentElsewhere(ctx context.Context, r *Request) bool {
	req := &pb.LocateRequest{RequestId: r.ID, OwnMemory: true}
	_, found := askMembers(ctx, s.Peers, recallTimeout, func(ctx context.Context, m *pb.Member) (*pb.LocateResponse, bool) {
		resp, err := s.Peers.Locate(ctx, m, req)
		return resp, err == nil && resp.Known
	})
	return found
}
