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
	if !w.waitUntilReady(ctx) {
		return
	}
	var loops conc.WaitGroup
	loops.Go(func() { w.pollLoop(ctx) })
	loops.Go(func() { w.fetchLoop(ctx) })
	loops.Wait()
}

// waitUntilReady polls the platform, and the peers while the platform doesn't
// respond, until the router is ready. It returns false if the context ends
// first.
func (w *Watcher) waitUntilReady(ctx context.Context) bool {
	for ctx.Err() == nil {
		if err := w.pollPlatform(ctx); err != nil {
			w.fetchFromPeers(ctx)
		}
		if w.becomeReady() {
			return true
		}
		wait.For(ctx, w.options.PollInterval)
	}
	return false
}

// pollLoop polls the platform in this router's turns and at the extra poll
// interval.
func (w *Watcher) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, w.options.PollInterval)
		now := w.options.Now()
		slot := now.UnixNano() / int64(w.options.PollInterval)
		if !w.options.IsPollTurn(slot) && now.Sub(w.lastPlatformPoll) < w.extraPollInterval() {
			continue
		}
		// recordPlatformResult logs an outage; the next poll tries again.
		_ = w.pollPlatform(ctx)
	}
}

// extraPollInterval returns how often this router polls the platform outside
// its turns.
func (w *Watcher) extraPollInterval() time.Duration {
	members := len(w.options.Peers.Members()) + 1
	return min(max(time.Duration(members)*extraPollPerMember, minExtraPoll), maxExtraPoll)
}

// pollPlatform reads the change log's head and accepts newer versions. It
// varies the time until the next extra poll by setting the time of this poll
// back by a random duration of up to half the extra poll interval.
func (w *Watcher) pollPlatform(ctx context.Context) error {
	w.lastPlatformPoll = w.options.Now().Add(-rand.N(w.extraPollInterval() / 2))
	version, err := configlog.LatestVersion(ctx, w.options.Platform)
	if err == nil {
		err = w.catchUp(ctx, version)
	}
	w.recordPlatformResult(version, err)
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
		w.acceptView(view, "platform")
		return nil
	}
	changes, err := configlog.ChangesSince(ctx, w.options.Platform, held)
	if err != nil {
		return err
	}
	return w.acceptChanges(changes, "platform")
}

// recordPlatformResult records whether the platform responded and with which
// version. It reports when the platform stops responding or responds again, and
// when its version is older than the one held.
func (w *Watcher) recordPlatformResult(version uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.sources
	w.sources.platformPolled = true
	w.sources.platformResponded = err == nil
	if err == nil {
		w.sources.platformVersion = max(version, before.platformVersion)
	}
	if err != nil && (before.platformResponded || !before.platformPolled) {
		w.options.Log.Warn("config: the platform doesn't respond", zap.Error(err))
		w.record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_PLATFORM_DOWN})
	}
	if err == nil && before.platformPolled && !before.platformResponded {
		w.options.Log.Info("config: the platform responds again")
		w.record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_PLATFORM_UP})
	}
	if err == nil && version < w.HeldVersion() {
		w.options.Log.Error("config: the platform returned an older version than the one held", zap.Uint64("version", version), zap.Uint64("held", w.HeldVersion()))
	}
}

// fetchFromPeers fetches from live members, those with the highest version
// first, until one fetch succeeds.
func (w *Watcher) fetchFromPeers(ctx context.Context) {
	for _, m := range sortByVersion(w.options.Peers.Members()) {
		if w.fetch(ctx, m, startupFetchTimeout) {
			w.mu.Lock()
			w.sources.peerResponded = true
			w.mu.Unlock()
			return
		}
	}
}
