package configwatch

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/router/configlog"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/platformclient/platformfake"
)

var errCut = errors.New("cut")

// machine runs several watchers step by step, without time or goroutines.
type machine struct {
	platform *platformfake.Fake
	// accepted holds every version as the platform accepted it.
	accepted []*pb.Snapshot
	nodes    []*node
}

// node is one watcher and what it can reach.
type node struct {
	machine     *machine
	index       int
	watch       *Watcher
	cutPlatform bool
	cutPeers    map[int]bool
	// cutFetch loses fetches while heartbeats pass.
	cutFetch map[int]bool
	// highest is the highest version that was in force or held here since the
	// last restart.
	highest uint64
}

// Members implements Peers: the others that it can reach.
func (n *node) Members() []*pb.Member {
	var members []*pb.Member
	for _, other := range n.machine.nodes {
		if other != n && !n.cutPeers[other.index] {
			members = append(members, other.member())
		}
	}
	return members
}

func (n *node) member() *pb.Member {
	return &pb.Member{Name: fmt.Sprint(n.index), ConfigVersion: n.shown()}
}

// shown is the version in force, as heartbeats tell it.
func (n *node) shown() uint64 {
	if view := n.watch.Current(); view != nil {
		return view.Version()
	}
	return 0
}

// FetchConfig implements Peers.
func (n *node) FetchConfig(ctx context.Context, from *pb.Member, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	for _, other := range n.machine.nodes {
		if fmt.Sprint(other.index) == from.Name && !n.cutPeers[other.index] && !n.cutFetch[other.index] {
			return other.watch.HandleFetchConfig(ctx, req)
		}
	}
	return nil, errCut
}

// reach is the platform as a node reaches it.
type reach struct {
	platformclient.Platform
	node *node
}

// Read implements platformclient.TableStore.
func (r *reach) Read(ctx context.Context, keys ...string) ([]*pb.Row, error) {
	if r.node.cutPlatform {
		return nil, platformclient.ErrUnavailable
	}
	return r.Platform.Read(ctx, keys...)
}

func newMachine(count int) *machine {
	m := &machine{platform: &platformfake.Fake{}, accepted: []*pb.Snapshot{config.Empty().Snapshot()}}
	for i := range count {
		n := &node{machine: m, index: i, cutPeers: make(map[int]bool), cutFetch: make(map[int]bool)}
		m.nodes = append(m.nodes, n)
		n.restart()
	}
	return m
}

func (n *node) restart() {
	n.watch = New(Options{Platform: &reach{n.machine.platform, n}, Peers: n})
	n.highest = 0
}

// step is one round of a router: of its start while it isn't ready, else of
// its turn at the platform.
func (n *node) step() {
	ctx := context.Background()
	err := n.watch.askPlatform(ctx)
	if n.watch.Current() == nil && err != nil {
		n.watch.askPeers(ctx)
	}
	n.watch.becomeReady()
}

// accept appends a change, and a snapshot at times.
func (m *machine) accept(t *rapid.T) {
	ctx := context.Background()
	version := uint64(len(m.accepted))
	name := fmt.Sprintf("budget-%d", rapid.IntRange(0, 3).Draw(t, "budget"))
	c := &pb.Change{Version: version, Upserts: []*pb.Record{config.BudgetRecord(&pb.Budget{Name: name, Workspace: fmt.Sprint(version)})}}
	if _, err := configlog.Append(ctx, m.platform, "ana", c); err != nil {
		t.Fatal(err)
	}
	view, err := configlog.Load(ctx, m.platform)
	if err != nil {
		t.Fatal(err)
	}
	m.accepted = append(m.accepted, view.Snapshot())
	if rapid.Bool().Draw(t, "snapshot") {
		if err := configlog.WriteSnapshot(ctx, m.platform, view); err != nil {
			t.Fatal(err)
		}
	}
}

// offer lets one node hear of another's version, which may be old, and fetch
// from it.
func (m *machine) offer(t *rapid.T) {
	n, other := m.pick(t), m.pick(t)
	if n != other {
		n.watch.fetch(context.Background(), other.member(), fetchTimeout)
	}
}

// replay lets an old answer arrive once more, as from a lagging peer, also
// after the check that precedes its decoding.
func (m *machine) replay(t *rapid.T) {
	n := m.pick(t)
	version := rapid.IntRange(0, len(m.accepted)-1).Draw(t, "old version")
	view, err := config.FromSnapshot(m.accepted[version])
	if err == nil {
		n.watch.take(view, "lagging")
		err = n.watch.takeResponse(&pb.FetchConfigResponse{Snapshot: m.accepted[version]}, "lagging")
	}
	if err != nil {
		t.Fatal(err)
	}
}

func (m *machine) pick(t *rapid.T) *node {
	return rapid.SampledFrom(m.nodes).Draw(t, "node")
}

// check holds that no version reverts, that each is as it was accepted, and
// that a ready router has one.
func (m *machine) check(t *rapid.T) {
	for _, n := range m.nodes {
		held := n.watch.held.Load()
		if held.Version() < n.highest {
			t.Fatalf("node %d reverts from version %d to %d", n.index, n.highest, held.Version())
		}
		n.highest = held.Version()
		if !proto.Equal(held.Snapshot(), m.accepted[held.Version()]) {
			t.Fatalf("node %d has a version %d that nobody accepted", n.index, held.Version())
		}
		if view := n.watch.Current(); view != nil && (view != held || view.Version() == 0) {
			t.Fatalf("node %d has version %d in force and holds %d", n.index, view.Version(), held.Version())
		}
	}
}

// start restarts a node and runs its first round, and checks what it may be
// ready with.
func (m *machine) start(t *rapid.T) {
	n := m.pick(t)
	n.restart()
	n.step()
	view := n.watch.Current()
	if view == nil {
		return
	}
	if !n.cutPlatform && int(view.Version()) != len(m.accepted)-1 {
		t.Fatalf("node %d is ready with version %d, the platform shows %d", n.index, view.Version(), len(m.accepted)-1)
	}
	if n.cutPlatform && len(n.Members()) == 0 {
		t.Fatalf("node %d is ready with neither platform nor peers", n.index)
	}
	for _, member := range n.Members() {
		if view.Version() < member.ConfigVersion {
			t.Fatalf("node %d is ready with version %d, peer %s shows %d", n.index, view.Version(), member.Name, member.ConfigVersion)
		}
	}
}

func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(3)
		t.Repeat(map[string]func(*rapid.T){
			"accept": m.accept,
			"step":   func(t *rapid.T) { m.pick(t).step() },
			"offer":  m.offer,
			"replay": m.replay,
			"start":  m.start,
			"cut platform": func(t *rapid.T) {
				n := m.pick(t)
				n.cutPlatform = !n.cutPlatform
			},
			"cut peer": func(t *rapid.T) {
				n, other := m.pick(t), m.pick(t)
				n.cutPeers[other.index] = !n.cutPeers[other.index]
			},
			"cut fetch": func(t *rapid.T) {
				n, other := m.pick(t), m.pick(t)
				n.cutFetch[other.index] = !n.cutFetch[other.index]
			},
			"": m.check,
		})
	})
}
