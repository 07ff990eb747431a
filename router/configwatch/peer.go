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

// NotifyPeerVersion tells that a peer shows a version. A higher one is fetched from it at
// once. NotifyPeerVersion doesn't block; one offer waits while a fetch is in progress, and
// later heartbeats repeat the others.
func (w *Watcher) NotifyPeerVersion(peer *pb.Member, version uint64) {
	if version <= w.HeldVersion() || w.silent.has(peer.Name, w.options.Now()) {
		return
	}
	select {
	case w.offers <- peer:
	default:
	}
}

// peerLoop fetches what peers have above this router's version. A peer that
// doesn't answer soon holds up nobody: the next one is asked meanwhile.
func (w *Watcher) peerLoop(ctx context.Context) {
	fetches := pool.New().WithMaxGoroutines(maxFetches)
	defer fetches.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-w.offers:
			if peer.ConfigVersion > w.HeldVersion() {
				w.fetchOffer(ctx, fetches, peer)
			}
		}
	}
}

// fetchOffer starts a fetch and returns when it ends or after a short while.
func (w *Watcher) fetchOffer(ctx context.Context, fetches *pool.Pool, peer *pb.Member) {
	w.silent.add(peer.Name, w.options.Now().Add(avoidFor))
	done := make(chan struct{})
	fetches.Go(func() {
		defer close(done)
		if w.fetch(ctx, peer, fetchTimeout) {
			w.silent.remove(peer.Name)
		}
	})
	timer := time.NewTimer(hedgeAfter)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// silentPeers holds peers that were asked and haven't answered, each until a
// time. The zero value is empty.
type silentPeers struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (s *silentPeers) add(name string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = make(map[string]time.Time)
	}
	s.until[name] = until
}

func (s *silentPeers) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, name)
}

func (s *silentPeers) has(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[name])
}

// fetch takes what a peer has above the version held. It reports whether the
// peer answered.
func (w *Watcher) fetch(ctx context.Context, peer *pb.Member, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	held := w.HeldVersion()
	resp, err := w.options.Peers.FetchConfig(ctx, peer, &pb.FetchConfigRequest{FromVersion: held})
	if err == nil {
		err = w.takeResponse(resp, peer.Name)
	}
	if err != nil {
		w.options.Log.Warn("config: fetch from peer failed", zap.String("peer", peer.Name), zap.Error(err))
		return false
	}
	return true
}

func (w *Watcher) takeResponse(resp *pb.FetchConfigResponse, peer string) error {
	if resp.Snapshot.GetVersion() > w.HeldVersion() {
		view, err := config.FromSnapshot(resp.Snapshot)
		if err != nil {
			return err
		}
		w.take(view, peer)
	}
	return w.takeChanges(resp.Changes, peer)
}

// HandleFetchConfig answers a peer with the changes above its version, or with
// the whole where they aren't kept.
func (w *Watcher) HandleFetchConfig(_ context.Context, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	w.mu.Lock()
	view := w.held.Load()
	recent := w.recent
	w.mu.Unlock()
	if view.Version() <= req.GetFromVersion() {
		return &pb.FetchConfigResponse{}, nil
	}
	at := slices.IndexFunc(recent, func(c *pb.Change) bool { return c.Version == req.GetFromVersion()+1 })
	if at >= 0 {
		return &pb.FetchConfigResponse{Changes: recent[at:]}, nil
	}
	return &pb.FetchConfigResponse{Snapshot: view.Snapshot()}, nil
}

// byVersion returns members with the highest version first, and in random
// order where they are equal, so that routers that start together ask
// different peers.
func byVersion(members []*pb.Member) []*pb.Member {
	sorted := slices.Clone(members)
	rand.Shuffle(len(sorted), func(i, j int) { sorted[i], sorted[j] = sorted[j], sorted[i] })
	slices.SortStableFunc(sorted, func(a, b *pb.Member) int { return cmp.Compare(b.ConfigVersion, a.ConfigVersion) })
	return sorted
}
