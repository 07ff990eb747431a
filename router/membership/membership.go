// Package membership runs the heartbeats of one router and tells which routers
// are live, who is home of a key, and which targets are leaving.
//
// The decisions are those of package memberlist; this package adds calls, the VM
// list, and a roster that readers take without a lock.
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
	// callTimeout is the longest wait for the answer to a heartbeat.
	callTimeout = 500 * time.Millisecond
	// vmListInterval is the time between two reads of the VM list in a data
	// centre; its members take turns.
	vmListInterval = time.Second
	// vmListTimeout is the longest wait for the VM list.
	vmListTimeout = 2 * time.Second
)

// HeartbeatFunc sends a heartbeat to the peer door at host:port.
type HeartbeatFunc func(ctx context.Context, address string, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error)

// Options configures New. Self, Vms and Call are required.
type Options struct {
	// Self is this router; its peer address is the one that others call.
	Self *pb.Member
	// Seeds are peer addresses of the settings.
	Seeds []string
	// VMs is the platform's VM list.
	VMs platformclient.VMLister
	// SendHeartbeat sends one heartbeat.
	SendHeartbeat HeartbeatFunc
	// OnPeerVersion is told the configuration version of a peer with each
	// exchange. It must not block.
	OnPeerVersion func(peer *pb.Member, version uint64)
	// Recorder takes time line events; may be nil.
	Recorder *timeline.Recorder
	// Clock stamps heartbeats; may be nil.
	Clock *timeline.Clock
	// Log may be nil.
	Log *zap.Logger
	// Now is the clock; time.Now by default.
	Now func() time.Time
	// Seed of the random source; 0 picks one.
	Seed uint64
}

// Membership is one router's part in the fleet. It is safe for concurrent use.
type Membership struct {
	options Options

	mu      sync.Mutex
	table   *memberlist.Table
	leaving *memberlist.LeavingTracker

	roster     atomic.Pointer[memberlist.Roster]
	leavingSet atomic.Pointer[memberlist.LeavingSet]
	settled    atomic.Bool
	vmListRead atomic.Bool
	reading    atomic.Bool
	lastSlot   int64
}

// New returns a membership that knows only the settings. Run starts it.
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

// publish makes what changed visible to readers. The caller holds the lock or
// is New.
func (m *Membership) publish() {
	now := m.options.Now()
	m.roster.Store(m.table.Roster(now))
	set := m.leaving.Snapshot(now)
	m.leavingSet.Store(&set)
	m.settled.Store(m.table.AllContacted())
}

// update changes the tables under the lock and publishes the result.
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
		calls.Go(func() { m.call(ctx, address) })
	}
	if m.vmListDue() && m.reading.CompareAndSwap(false, true) {
		calls.Go(func() { m.readVmList(ctx) })
	}
}

// Roster returns the live members.
func (m *Membership) Roster() *memberlist.Roster { return m.roster.Load() }

// Members returns the other live members, draining ones included, those of the
// own data centre first. The slice must not be modified.
func (m *Membership) Members() []*pb.Member { return m.Roster().Others() }

// Self returns this router as it shows itself. It must not be modified.
func (m *Membership) Self() *pb.Member { return m.Roster().Self() }

// Home returns the live member of this data centre that a key belongs to; it
// is false when all are draining.
func (m *Membership) Home(key string) (*pb.Member, bool) { return m.Roster().Home(key) }

// HasTurn tells whether it is this router's turn at a task that one member of
// each data centre should do. Turns change with the slot, a number that grows
// with time, so that a dead member costs only its own turns.
func (m *Membership) HasTurn(task string, slot int64) bool {
	roster := m.Roster()
	home, ok := roster.Home(dutyKey(task, slot))
	return ok && home.Name == roster.Self().Name
}

// LeavingTargets returns the targets that are leaving.
func (m *Membership) LeavingTargets() memberlist.LeavingSet { return *m.leavingSet.Load() }

// AllContacted tells whether every known router of this data centre was called
// once, so that Members shows all who can be reached.
func (m *Membership) AllContacted() bool { return m.settled.Load() }

// MarkLeaving takes a target's own report that it is leaving, by its name or
// address. It may be repeated while the target says so.
func (m *Membership) MarkLeaving(target string) {
	m.update(func(now time.Time) { m.report(target, now) })
}

// Suspect has a member called at once, after another message to it wasn't
// answered, so that one that died is found before its turn.
func (m *Membership) Suspect(peer *pb.Member) {
	m.update(func(now time.Time) { m.table.Suspect(peer.GetPeerAddress(), now) })
}

// SetDraining shows peers that this router is stopping.
func (m *Membership) SetDraining() {
	m.setSelf(func(self *pb.Member) { self.Draining = true })
}

// SetConfigVersion shows peers which configuration is in force here. A higher
// one is told to them at once.
func (m *Membership) SetConfigVersion(version uint64) {
	m.setSelf(func(self *pb.Member) {
		if version > self.ConfigVersion {
			self.ConfigVersion = version
			m.table.BoostHeartbeats(m.options.Now())
		}
	})
}

func (m *Membership) setSelf(change func(self *pb.Member)) {
	m.update(func(time.Time) {
		self := proto.CloneOf(m.table.Self())
		change(self)
		m.table.SetSelf(self)
	})
}
