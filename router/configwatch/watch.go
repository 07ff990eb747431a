// Package configwatch keeps the newest accepted configuration in force at one
// router.
//
// Versions come from the platform's change log and from peers. In each data
// centre the routers take turns at reading the log's head; a new version then
// passes from peer to peer, as heartbeats show who has a higher one. Only
// higher versions are taken, so a configuration in force never reverts.
//
// A router is ready once it holds the highest version that the platform shows
// or, while the platform doesn't answer, that the reachable peers show. With
// neither it isn't ready. Once ready it stays so: a router cut off later goes
// on with what it has.
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
	// defaultPoll is the time between two turns at the platform.
	defaultPoll = 500 * time.Millisecond
	// ownPollPerMember times the number of live members is how often a router
	// reads the platform out of turn, within the two bounds, so that nothing
	// depends on the turns.
	ownPollPerMember = 250 * time.Millisecond
	minOwnPoll       = time.Second
	maxOwnPoll       = 20 * time.Second
	// firstFetchTimeout is the longest wait for a peer's whole configuration.
	firstFetchTimeout = 10 * time.Second
	// fetchTimeout is the longest wait for a peer's newer changes.
	fetchTimeout = time.Second
	// hedgeAfter is the wait for a peer before another is asked too.
	hedgeAfter = 200 * time.Millisecond
	// maxFetches is the most peers asked at the same time.
	maxFetches = 4
	// avoidFor is how long a peer that didn't answer isn't asked again.
	avoidFor = 2 * time.Second
	// maxCatchUp is the most changes that are read one by one. They need far less
	// memory than a second whole configuration beside the one in force.
	maxCatchUp = 1000
	// keptChanges is how many changes are kept for peers that lag.
	keptChanges = 128
)

// Peers is what the watcher needs of the other routers.
type Peers interface {
	// Members returns the other live routers.
	Members() []*pb.Member
	// FetchConfig asks one of them for what it has above a version.
	FetchConfig(ctx context.Context, from *pb.Member, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error)
}

// Options configures New. Platform and Peers are required.
type Options struct {
	Platform platformclient.Platform
	Peers    Peers
	// PollInterval is the time between two turns at the platform; 500 ms by default.
	PollInterval time.Duration
	// IsPollTurn tells whether this router reads the platform in a slot, a number
	// that grows by one each Poll. Nil reads in all.
	IsPollTurn func(slot int64) bool
	// AllContacted tells whether Members shows all routers that can be reached. Nil
	// means that it always does.
	AllContacted func() bool
	// OnInForce is told each version that comes into force; may be nil. It must
	// not block.
	OnInForce func(version uint64)
	// Recorder takes time line events; may be nil.
	Recorder *timeline.Recorder
	// Log may be nil.
	Log *zap.Logger
	// Now is the clock; time.Now by default.
	Now func() time.Time
}

// Watcher holds the configuration of one router. It is safe for concurrent use.
type Watcher struct {
	options Options
	offers  chan *pb.Member
	silent  silentPeers

	// mu orders writers; readers load the pointers.
	mu      sync.Mutex
	held    atomic.Pointer[config.View]
	current atomic.Pointer[config.View]
	recent  []*pb.Change
	source  sourceState
	lastOwn time.Time
}

// sourceState is what is known of the sources until the router is ready.
type sourceState struct {
	platformAsked    bool
	platformAnswered bool
	platformVersion  uint64
	peerAnswered     bool
}

// New returns a watcher that holds nothing. Run starts it.
func New(o Options) *Watcher {
	if o.PollInterval == 0 {
		o.PollInterval = defaultPoll
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
	w := &Watcher{options: o, offers: make(chan *pb.Member, 1)}
	w.held.Store(config.Empty())
	return w
}

// Current returns the configuration in force, or nil until the router is
// ready.
func (w *Watcher) Current() *config.View { return w.current.Load() }

// HeldVersion returns the version held, whether or not the router is ready.
func (w *Watcher) HeldVersion() uint64 { return w.held.Load().Version() }

// Ready tells whether a configuration is in force, and if not, why.
func (w *Watcher) Ready() (bool, string) {
	if w.current.Load() != nil {
		return true, ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return false, w.missing()
}

// missing returns what keeps the router from being ready; empty means nothing.
// The caller holds the lock.
func (w *Watcher) missing() string {
	held := w.HeldVersion()
	s := w.source
	switch {
	case !s.platformAsked:
		return "the platform hasn't been asked for the configuration yet"
	case !s.platformAnswered && !s.peerAnswered:
		return "neither the platform nor a peer shows a configuration"
	case !s.platformAnswered && !w.options.AllContacted():
		return "the platform doesn't answer and not all peers have been asked"
	case held == 0:
		return "no configuration has been accepted yet"
	}
	highest := max(s.platformVersion, w.highestPeer().GetConfigVersion())
	if held < highest {
		return fmt.Sprintf("version %d is held, but version %d was shown", held, highest)
	}
	return ""
}

// highestPeer returns a live member with the highest version; nil where there
// is none.
func (w *Watcher) highestPeer() *pb.Member {
	var highest *pb.Member
	for _, m := range w.options.Peers.Members() {
		if highest == nil || m.ConfigVersion > highest.ConfigVersion {
			highest = m
		}
	}
	return highest
}

// take holds a view if it is higher than the one held.
func (w *Watcher) take(view *config.View, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if view.Version() <= w.HeldVersion() {
		return
	}
	w.held.Store(view)
	w.recent = nil
	w.taken(from)
}

// takeChanges applies the changes that follow the view held. Older ones are
// skipped; a gap ends it.
func (w *Watcher) takeChanges(changes []*pb.Change, from string) error {
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
		w.keep(c)
	}
	if view == before {
		return nil
	}
	w.held.Store(view)
	w.taken(from)
	return nil
}

// keep remembers a change for peers that lag. The caller holds the lock.
func (w *Watcher) keep(c *pb.Change) {
	w.recent = append(w.recent, c)
	if len(w.recent) > keptChanges {
		w.recent = w.recent[len(w.recent)-keptChanges:]
	}
}

// taken puts the view held into force if the router is ready. The caller holds
// the lock.
func (w *Watcher) taken(from string) {
	version := w.HeldVersion()
	w.options.Log.Info("config: version taken", zap.Uint64("version", version), zap.String("from", from))
	if w.current.Load() != nil {
		w.force()
	}
}

// force puts the view held into force. The caller holds the lock.
func (w *Watcher) force() {
	view := w.held.Load()
	w.current.Store(view)
	w.record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_CONFIG_IN_FORCE, Detail: fmt.Sprintf("version %d", view.Version())})
	w.options.OnInForce(view.Version())
}

// becomeReady puts the first view into force once nothing is missing.
func (w *Watcher) becomeReady() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current.Load() != nil {
		return true
	}
	if reason := w.missing(); reason != "" {
		w.options.Log.Warn("config: not ready", zap.String("reason", reason))
		return false
	}
	w.force()
	w.options.Log.Info("config: ready", zap.Uint64("version", w.HeldVersion()))
	return true
}

func (w *Watcher) record(e *pb.Event) {
	if w.options.Recorder != nil {
		w.options.Recorder.Record(e)
	}
}
