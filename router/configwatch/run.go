package configwatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/configlog"
	"cuminrock.example/router/wait"
)

// Run keeps the configuration up to date until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	if !w.start(ctx) {
		return
	}
	var loops conc.WaitGroup
	loops.Go(func() { w.platformLoop(ctx) })
	loops.Go(func() { w.peerLoop(ctx) })
	loops.Wait()
}

// start asks the platform, and peers while that doesn't answer, until the
// router is ready.
func (w *Watcher) start(ctx context.Context) bool {
	for ctx.Err() == nil {
		if err := w.askPlatform(ctx); err != nil {
			w.askPeers(ctx)
		}
		if w.becomeReady() {
			return true
		}
		wait.For(ctx, w.options.PollInterval)
	}
	return false
}

// platformLoop reads the platform in this router's turns.
func (w *Watcher) platformLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, w.options.PollInterval)
		now := w.options.Now()
		slot := now.UnixNano() / int64(w.options.PollInterval)
		if !w.options.IsPollTurn(slot) && now.Sub(w.lastOwn) < w.ownPoll() {
			continue
		}
		// The error is logged where it happens; the next turn tries again.
		_ = w.askPlatform(ctx)
	}
}

// ownPoll returns how often this router reads the platform out of turn.
func (w *Watcher) ownPoll() time.Duration {
	members := len(w.options.Peers.Members()) + 1
	return min(max(time.Duration(members)*ownPollPerMember, minOwnPoll), maxOwnPoll)
}

// askPlatform reads the change log and takes what is new.
func (w *Watcher) askPlatform(ctx context.Context) error {
	w.lastOwn = w.options.Now().Add(-rand.N(w.ownPoll() / 2))
	version, err := configlog.LatestVersion(ctx, w.options.Platform)
	if err == nil {
		err = w.catchUp(ctx, version)
	}
	w.platformAnswered(version, err)
	return err
}

func (w *Watcher) catchUp(ctx context.Context, newest uint64) error {
	held := w.HeldVersion()
	if newest <= held {
		return nil
	}
	if held == 0 || newest-held > maxCatchUp {
		view, err := configlog.Load(ctx, w.options.Platform)
		if err != nil {
			return err
		}
		w.take(view, "platform")
		return nil
	}
	changes, err := configlog.ChangesSince(ctx, w.options.Platform, held)
	if err != nil {
		return err
	}
	return w.takeChanges(changes, "platform")
}

// platformAnswered notes whether the platform shows its newest version.
func (w *Watcher) platformAnswered(version uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.source
	w.source.platformAsked = true
	w.source.platformAnswered = err == nil
	if err == nil {
		w.source.platformVersion = max(version, before.platformVersion)
	}
	if err != nil && (before.platformAnswered || !before.platformAsked) {
		w.options.Log.Warn("config: the platform doesn't answer", zap.Error(err))
		w.record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_PLATFORM_DOWN})
	}
	if err == nil && before.platformAsked && !before.platformAnswered {
		w.options.Log.Info("config: the platform answers again")
		w.record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_PLATFORM_UP})
	}
	if err == nil && version < w.HeldVersion() {
		w.options.Log.Error("config: the platform shows an older version", zap.Uint64("version", version), zap.Uint64("held", w.HeldVersion()))
	}
}

// askPeers fetches from live members, the highest version first, until one
// answers.
func (w *Watcher) askPeers(ctx context.Context) {
	for _, m := range byVersion(w.options.Peers.Members()) {
		if w.fetch(ctx, m, firstFetchTimeout) {
			w.mu.Lock()
			w.source.peerAnswered = true
			w.mu.Unlock()
			return
		}
	}
}
