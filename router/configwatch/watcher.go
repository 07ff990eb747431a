// Package configwatch keeps the newest accepted configuration in force at one
// router.
//
// Versions come from the platform's change log and from peers. In each data
// centre the routers take turns at polling the log's head; a new version then
// spreads from peer to peer, since heartbeats show who has a higher one. Only
// higher versions are accepted, so a configuration in force is never reverted.
//
// A router is ready once it holds the highest version that the platform shows
// or, while the platform doesn't respond, that the reachable peers show. If
// neither responds, it isn't ready. Once ready it stays ready: a router that is
// cut off later continues with the configuration that it has.
package configwatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/timeline"
	"cuminrock.example/router/platformclient"
)

const (
	// defaultPollInterval is the default of Options.PollInterval.
	defaultPollInterval = 500 * time.Millisecond
	// A router also polls the platform outside its turns, so that no router
	// depends on the turns of others. The interval is extraPollPerMember times
	// the number of live members, bounded by minExtraPoll and maxExtraPoll.
	extraPollPerMember = 250 * time.Millisecond
	minExtraPoll       = time.Second
	maxExtraPoll       = 20 * time.Second
	// startupFetchTimeout bounds a fetch during startup, which may return a
	// whole configuration.
	startupFetchTimeout = 10 * time.Second
	// fetchTimeout bounds a fetch of newer changes.
	fetchTimeout = time.Second
	// hedgeDelay is the time after which the next peer is asked while a fetch
	// is still in progress.
	hedgeDelay = 200 * time.Millisecond
	// maxConcurrentFetches is the most peers asked at the same time.
	maxConcurrentFetches = 4
	// peerBackoffTime is how long after the start of a fetch its peer isn't
	// asked again, unless the fetch succeeds before.
	peerBackoffTime = 2 * time.Second
	// maxCatchUp is the most changes that are applied one by one. Applying
	// changes needs far less memory than loading a second whole configuration
	// beside the one in force.
	maxCatchUp = 1000
	// maxRecentChanges is the most changes kept for peers that lag behind.
	maxRecentChanges = 128
)

// Peers gives access to the other routers.
type Peers interface {
	// Members returns the other live routers.
	Members() []*pb.Member
	// FetchConfig requests the changes or snapshot that a peer has above a
	// version.
	FetchConfig(ctx context.Context, from *pb.Member, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error)
}

// Options configures New. Platform and Peers are required.
type Options struct {
	Platform platformclient.Platform
	Peers    Peers
	// PollInterval is the length of a poll slot; 500 ms by default.
	PollInterval time.Duration
	// IsPollTurn reports whether this router polls the platform in a slot. Slot
	// numbers grow by one each PollInterval. If nil, the router polls in every
	// slot.
	IsPollTurn func(slot int64) bool
	// AllContacted reports whether Members shows all routers that can be
	// reached. Nil means that it always does.
	AllContacted func() bool
	// OnInForce is called with each version that comes into force; may be nil.
	// It must not block.
	OnInForce func(version uint64)
	// Recorder receives timeline events; may be nil.
	Recorder *timeline.Recorder
	// Log may be nil.
	Log *zap.Logger
	// Now returns the current time; time.Now by default.
	Now func() time.Time
}

// Watcher holds the configuration of one router. It is safe for concurrent use.
type Watcher struct {
	options    Options
	newerPeers chan *pb.Member
	backoff    peerBackoff

	// mu serializes writers; readers load the atomic pointers.
	mu               sync.Mutex
	held             atomic.Pointer[config.View]
	current          atomic.Pointer[config.View]
	recent           []*pb.Change
	sources          sourceState
	lastPlatformPoll time.Time
}

// sourceState records what the platform and the peers have shown until the
// router is ready.
type sourceState struct {
	platformPolled    bool
	platformResponded bool
	platformVersion   uint64
	peerResponded     bool
}

// New returns a watcher that holds no configuration. Run starts it.
func New(o Options) *Watcher {
	if o.PollInterval == 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.IsPollTurn == nil {
		o.IsPollTurn = func(int64) bool { return true }
	}
	if o.AllContacted == nil {
		o.AllContacted = func() bool { return true }
	}
	if o.OnInForce == nil {
		o.OnInForce = func(uint64) {}
	}
	w := &Watcher{options: o, newerPeers: make(chan *pb.Member, 1)}
	w.held.Store(config.Empty())
	return w
}

// Current returns the configuration in force, or nil until the router is ready.
func (w *Watcher) Current() *config.View { return w.current.Load() }

// HeldVersion returns the version held, whether or not it is in force.
func (w *Watcher) HeldVersion() uint64 { return w.held.Load().Version() }

// Ready reports whether a configuration is in force, and if not, why.
func (w *Watcher) Ready() (bool, string) {
	if w.current.Load() != nil {
		return true, ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return false, w.notReadyReason()
}

// notReadyReason returns what keeps the router from being ready, or "" if
// nothing does. The caller holds w.mu.
func (w *Watcher) notReadyReason() string {
	held := w.HeldVersion()
	s := w.sources
	switch {
	case !s.platformPolled:
		return "the platform hasn't been polled for the configuration yet"
	case !s.platformResponded && !s.peerResponded:
		return "neither the platform nor a peer shows a configuration"
	case !s.platformResponded && !w.options.AllContacted():
		return "the platform doesn't respond and not all peers have been contacted"
	case held == 0:
		return "no configuration has been accepted yet"
	}
	highest := max(s.platformVersion, w.highestPeer().GetConfigVersion())
	if held < highest {
		return fmt.Sprintf("version %d is held, but the platform or a peer has version %d", held, highest)
	}
	return ""
}

// highestPeer returns a live member with the highest version, or nil if there
// are no other members.
func (w *Watcher) highestPeer() *pb.Member {
	var highest *pb.Member
	for _, m := range w.options.Peers.Members() {
		if highest == nil || m.ConfigVersion > highest.ConfigVersion {
			highest = m
		}
	}
	return highest
}

// acceptView holds a view if its version is higher than the one held.
func (w *Watcher) acceptView(view *config.View, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if view.Version() <= w.HeldVersion() {
		return
	}
	w.held.Store(view)
	w.recent = nil
	w.afterAccept(from)
}

// acceptChanges applies the changes that follow the view held. It skips older
// changes and returns an error at a gap.
func (w *Watcher) acceptChanges(changes []*pb.Change, from string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.held.Load()
	view := before
	for _, c := range changes {
		if c.Version <= view.Version() {
			continue
		}
		next, err := view.Apply(c)
		if err != nil {
			return err
		}
		view = next
		w.rememberChange(c)
	}
	if view == before {
		return nil
	}
	w.held.Store(view)
	w.afterAccept(from)
	return nil
}

// rememberChange keeps a change for peers that lag behind. The caller holds
// w.mu.
func (w *Watcher) rememberChange(c *pb.Change) {
	w.recent = append(w.recent, c)
	if len(w.recent) > maxRecentChanges {
		w.recent = w.recent[len(w.recent)-maxRecentChanges:]
	}
}

// afterAccept puts the view held into force if the router is ready. The caller
// holds w.mu.
func (w *Watcher) afterAccept(from string) {
	version := w.HeldVersion()
	w.options.Log.Info("config: received a new version", zap.Uint64("version", version), zap.String("from", from))
	if w.current.Load() != nil {
		w.putInForce()
	}
}

// putInForce puts the view held into force. The caller holds w.mu.
func (w *Watcher) putInForce() {
	view := w.held.Load()
	w.current.Store(view)
	w.record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_CONFIG_IN_FORCE, Detail: fmt.Sprintf("version %d", view.Version())})
	w.options.OnInForce(view.Version())
}

// becomeReady puts the first view into force once notReadyReason is empty.
func (w *Watcher) becomeReady() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current.Load() != nil {
		return true
	}
	if reason := w.notReadyReason(); reason != "" {
		w.options.Log.Warn("config: not ready", zap.String("reason", reason))
		return false
	}
	w.putInForce()
	w.options.Log.Info("config: ready", zap.Uint64("version", w.HeldVersion()))
	return true
}

func (w *Watcher) record(e *pb.Event) {
	if w.options.Recorder != nil {
		w.options.Recorder.Record(e)
	}
}
