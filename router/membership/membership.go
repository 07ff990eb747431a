// Package membership runs the heartbeats of one router and tracks which routers
// are live, which router is the home of a key, and which targets are leaving.
//
// The decisions are made in package memberlist; this package adds the calls,
// the reading of the VM list, and snapshots that readers load without a lock.
package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/memberlist"
	"cuminrock.example/fleet/timeline"
	"cuminrock.example/router/platformclient"
)

const (
	// callTimeout bounds the wait for the response to a heartbeat.
	callTimeout = 500 * time.Millisecond
	// vmListInterval is the time between two reads of the VM list in a data
	// centre, whose members take turns at it.
	vmListInterval = time.Second
	// vmListTimeout bounds one read of the VM list.
	vmListTimeout = 2 * time.Second
)

// HeartbeatFunc sends a heartbeat to the peer service at host:port.
type HeartbeatFunc func(ctx context.Context, address string, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error)

// Options configures New. Self, VMs and SendHeartbeat are required.
type Options struct {
	// Self is this router; its peer address is the one that other routers call.
	Self *pb.Member
	// Seeds are the peer addresses from the settings.
	Seeds []string
	// VMs reads the platform's VM list.
	VMs platformclient.VMLister
	// SendHeartbeat sends one heartbeat.
	SendHeartbeat HeartbeatFunc
	// OnPeerVersion is called after each heartbeat exchange with the peer's
	// configuration version. It must not block.
	OnPeerVersion func(peer *pb.Member, version uint64)
	// Recorder receives timeline events; may be nil.
	Recorder *timeline.Recorder
	// Clock timestamps heartbeats; may be nil.
	Clock *timeline.Clock
	// Log may be nil.
	Log *zap.Logger
	// Now returns the current time; time.Now by default.
	Now func() time.Time
	// Seed seeds the random source; 0 picks a random seed.
	Seed uint64
}

// Membership is one router's view of the fleet. It is safe for concurrent use.
type Membership struct {
	options Options

	mu      sync.Mutex
	table   *memberlist.Table
	leaving *memberlist.LeavingTracker

	roster         atomic.Pointer[memberlist.Roster]
	leavingSet     atomic.Pointer[memberlist.LeavingSet]
	allContacted   atomic.Bool
	vmListLoaded   atomic.Bool
	vmListReading  atomic.Bool
	lastVMListSlot int64
}

// New returns a membership that knows only what the settings contain. Run
// starts it.
func New(o Options) *Membership {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.OnPeerVersion == nil {
		o.OnPeerVersion = func(*pb.Member, uint64) {}
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	random := rand.New(rand.NewPCG(o.Seed, 0))
	m := &Membership{
		options: o,
		table:   memberlist.NewTable(proto.CloneOf(o.Self), o.Seeds, random),
		leaving: memberlist.NewLeavingTracker(),
	}
	m.publish()
	return m
}

// publish updates the snapshots that readers load. The caller holds m.mu or is
// New.
func (m *Membership) publish() {
	now := m.options.Now()
	m.roster.Store(m.table.Roster(now))
	set := m.leaving.Snapshot(now)
	m.leavingSet.Store(&set)
	m.allContacted.Store(m.table.AllContacted())
}

// update changes the member table and the leaving targets under the lock and
// publishes the result.
func (m *Membership) update(change func(now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m.options.Now())
	m.publish()
}

// Run sends heartbeats and reads the VM list until the context ends.
func (m *Membership) Run(ctx context.Context) {
	var calls conc.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(memberlist.TickInterval)
	defer ticker.Stop()
	for {
		m.tick(ctx, &calls)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Membership) tick(ctx context.Context, calls *conc.WaitGroup) {
	var due []string
	m.update(func(now time.Time) { due = m.table.Due(now) })
	for _, address := range due {
		calls.Go(func() { m.sendHeartbeat(ctx, address) })
	}
	if m.vmListDue() && m.vmListReading.CompareAndSwap(false, true) {
		calls.Go(func() { m.readVMList(ctx) })
	}
}

// Roster returns the live members.
func (m *Membership) Roster() *memberlist.Roster { return m.roster.Load() }

// Members returns the other live members, including draining ones, those of the
// own data centre first. The slice must not be modified.
func (m *Membership) Members() []*pb.Member { return m.Roster().Others() }

// Self returns this router's entry as peers see it. It must not be modified.
func (m *Membership) Self() *pb.Member { return m.Roster().Self() }

// Home returns the live member of this data centre that is responsible for a
// key. The second result is false if all members are draining.
func (m *Membership) Home(key string) (*pb.Member, bool) { return m.Roster().Home(key) }

// HasTurn reports whether it is this router's turn at a task that one member of
// each data centre should do. The turn changes with the slot, a number that
// grows with time, so that a dead member misses only its own turns.
func (m *Membership) HasTurn(task string, slot int64) bool {
	roster := m.Roster()
	home, ok := roster.Home(turnKey(task, slot))
	return ok && home.Name == roster.Self().Name
}

// LeavingTargets returns the targets that are leaving.
func (m *Membership) LeavingTargets() memberlist.LeavingSet { return *m.leavingSet.Load() }

// AllContacted reports whether, for every known router of this data centre, a
// heartbeat to it has succeeded or failed at least once or one from it has
// arrived, so that Members shows all that can be reached. Routers whose data
// centre isn't known yet are included.
func (m *Membership) AllContacted() bool { return m.allContacted.Load() }

// MarkLeaving records a target's own report that it is leaving, by the target's
// name or address. It may be repeated as long as the target reports it.
func (m *Membership) MarkLeaving(target string) {
	m.update(func(now time.Time) { m.recordFromSource(target, now) })
}

// Suspect schedules a heartbeat to a member at once, after another message to
// it got no response, so that a dead member is detected before its next regular
// heartbeat.
func (m *Membership) Suspect(peer *pb.Member) {
	m.update(func(now time.Time) { m.table.Suspect(peer.GetPeerAddress(), now) })
}

// SetDraining announces to peers that this router is stopping.
func (m *Membership) SetDraining() {
	m.updateSelf(func(self *pb.Member) { self.Draining = true })
}

// SetConfigVersion announces to peers which configuration version is in force
// here. A higher version is announced at once.
func (m *Membership) SetConfigVersion(version uint64) {
	m.updateSelf(func(self *pb.Member) {
		if version > self.ConfigVersion {
			self.ConfigVersion = version
			m.table.BoostHeartbeats(m.options.Now())
		}
	})
}

func (m *Membership) updateSelf(change func(self *pb.Member)) {
	m.update(func(time.Time) {
		self := proto.CloneOf(m.table.Self())
		change(self)
		m.table.SetSelf(self)
	})
}
