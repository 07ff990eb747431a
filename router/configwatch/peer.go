package configwatch

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
)

// NotifyPeerVersion reports the configuration version of a peer to the watcher.
// If it is higher than the version held, the watcher fetches the changes from
// that peer at once, unless peerBackoff holds it. NotifyPeerVersion doesn't
// block: while a fetch is in progress, one notification is queued and further
// ones are dropped, since later heartbeats repeat them.
func (w *Watcher) NotifyPeerVersion(peer *pb.Member, version uint64) {
	if version <= w.HeldVersion() || w.backoff.has(peer.Name, w.options.Now()) {
		return
	}
	select {
	case w.newerPeers <- peer:
	default:
	}
}

// fetchLoop fetches what peers have above this router's version. A peer that
// responds slowly doesn't delay the others: after hedgeDelay the next one is
// asked as well.
func (w *Watcher) fetchLoop(ctx context.Context) {
	fetches := pool.New().WithMaxGoroutines(maxConcurrentFetches)
	defer fetches.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-w.newerPeers:
			if peer.ConfigVersion > w.HeldVersion() {
				w.fetchHedged(ctx, fetches, peer)
			}
		}
	}
}

// fetchHedged starts a fetch and returns when it ends or after hedgeDelay.
func (w *Watcher) fetchHedged(ctx context.Context, fetches *pool.Pool, peer *pb.Member) {
	w.backoff.add(peer.Name, w.options.Now().Add(peerBackoffTime))
	done := make(chan struct{})
	fetches.Go(func() {
		defer close(done)
		if w.fetch(ctx, peer, fetchTimeout) {
			w.backoff.remove(peer.Name)
		}
	})
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// peerBackoff holds the peers from which a fetch is in progress or has failed,
// with the time until which each isn't asked again. The zero value is empty.
type peerBackoff struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (s *peerBackoff) add(name string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[string]time.Time)
	}
	s.until[name] = until
}

func (s *peerBackoff) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, name)
}

func (s *peerBackoff) has(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[name])
}

// fetch accepts what a peer has above the version held. It reports whether that
// succeeded.
func (w *Watcher) fetch(ctx context.Context, peer *pb.Member, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	held := w.HeldVersion()
	resp, err := w.options.Peers.FetchConfig(ctx, peer, &pb.FetchConfigRequest{FromVersion: held})
	if err == nil {
		err = w.acceptResponse(resp, peer.Name)
	}
	if err != nil {
		w.options.Log.Warn("config: fetch from peer failed", zap.String("peer", peer.Name), zap.Error(err))
		return false
	}
	return true
}

func (w *Watcher) acceptResponse(resp *pb.FetchConfigResponse, peer string) error {
	if resp.Snapshot.GetVersion() > w.HeldVersion() {
		view, err := config.FromSnapshot(resp.Snapshot)
		if err != nil {
			return err
		}
		w.acceptView(view, peer)
	}
	return w.acceptChanges(resp.Changes, peer)
}

// HandleFetchConfig responds to a peer with the changes above its version, or
// with a snapshot if those changes are no longer kept.
func (w *Watcher) HandleFetchConfig(_ context.Context, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	w.mu.Lock()
	view := w.held.Load()
	recent := w.recent
	w.mu.Unlock()
	if view.Version() <= req.GetFromVersion() {
		return &pb.FetchConfigResponse{}, nil
	}
	first := slices.IndexFunc(recent, func(c *pb.Change) bool { return c.Version == req.GetFromVersion()+1 })
	if first >= 0 {
		return &pb.FetchConfigResponse{Changes: recent[first:]}, nil
	}
	return &pb.FetchConfigResponse{Snapshot: view.Snapshot()}, nil
}

// sortByVersion returns the members with the highest version first. Members
// with equal versions are in random order, so that routers that start together
// ask different peers.
func sortByVersion(members []*pb.Member) []*pb.Member {
	sorted := slices.Clone(members)
	rand.Shuffle(len(sorted), func(i, j int) { sorted[i], sorted[j] = sorted[j], sorted[i] })
	slices.SortStableFunc(sorted, func(a, b *pb.Member) int { return cmp.Compare(b.ConfigVersion, a.ConfigVersion) })
	return sorted
}
