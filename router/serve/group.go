package serve

import (
	"bytes"
	"context"
	"sync"
	"time"

	"cuminrock.example/fleet/errkind"
)

const (
	// responseTTL is how long a completed response is kept for repeats.
	responseTTL = 2 * time.Minute
	// maxCachedBytes bounds the total size of the bodies of kept responses.
	maxCachedBytes = 16 << 20
)

// sharedRequest is a unary request in progress or its kept response.
type sharedRequest struct {
	digest []byte
	done   chan struct{}
	// resp and err are set before done is closed.
	resp        *Response
	err         error
	completedAt time.Time
}

// requestGroup lets repeats of a unary request share the response of the first
// one: a caller that lost the response and sends the request to this router
// again gets it without a second run. Errors aren't kept.
type requestGroup struct {
	now func() time.Time

	mu   sync.Mutex
	byID map[string]*sharedRequest
	// completed has the request IDs of the kept responses, oldest first.
	completed   []string
	cachedBytes int
}

func newRequestGroup(now func() time.Time) *requestGroup {
	return &requestGroup{now: now, byID: make(map[string]*sharedRequest)}
}

// join returns the shared request and whether it is new. If it is, the caller
// must run the request and call complete, else it calls wait.
func (g *requestGroup) join(r *Request) (*sharedRequest, bool, error) {
	digest := requestDigest(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evict()
	known, ok := g.byID[r.ID]
	if !ok {
		known = &sharedRequest{digest: digest, done: make(chan struct{})}
		g.byID[r.ID] = known
		return known, true, nil
	}
	if !bytes.Equal(known.digest, digest) {
		return nil, false, errkind.New(errkind.KeyReused, "this Idempotency-Key was used for a different request")
	}
	return known, false, nil
}

// complete passes the outcome to all waiters and keeps a response for repeats.
func (g *requestGroup) complete(id string, shared *sharedRequest, resp *Response, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	shared.resp, shared.err = resp, err
	shared.completedAt = g.now()
	close(shared.done)
	if err != nil {
		delete(g.byID, id)
		return
	}
	g.completed = append(g.completed, id)
	g.cachedBytes += len(resp.Body)
	g.evict()
}

// evict drops responses older than responseTTL, and the oldest ones while the
// bodies exceed maxCachedBytes. The lock is held.
func (g *requestGroup) evict() {
	cutoff := g.now().Add(-responseTTL)
	for len(g.completed) > 0 {
		oldestShared := g.byID[g.completed[0]]
		if g.cachedBytes <= maxCachedBytes && oldestShared.completedAt.After(cutoff) {
			return
		}
		g.cachedBytes -= len(oldestShared.resp.Body)
		delete(g.byID, g.completed[0])
		g.completed = g.completed[1:]
	}
}

// wait returns the outcome of a request that another caller runs.
func (s *sharedRequest) wait(ctx context.Context) (*Response, error) {
	select {
	case <-s.done:
	case <-ctx.Done():
		return nil, errkind.New(errkind.InProgress, "this request is still in progress").WithRetryAfter(time.Second)
	}
	if s.err != nil {
		return nil, s.err
	}
	copied := *s.resp
	copied.Replayed = true
	return &copied, nil
}
