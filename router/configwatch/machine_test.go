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

var errPartitioned = errors.New("peer unreachable")

// machine is the state machine of TestConfigurationNeverReverts. It runs
// several watchers step by step, without clocks or goroutines.
type machine struct {
	platform *platformfake.Fake
	// accepted holds the snapshot of each version that the platform accepted,
	// by version.
	accepted []*pb.Snapshot
	nodes    []*node
}

// node is one watcher and its connectivity.
type node struct {
	machine     *machine
	index       int
	watcher     *Watcher
	cutPlatform bool
	cutPeers    map[int]bool
	// cutFetch loses fetches from a peer while its heartbeats arrive.
	cutFetch map[int]bool
	// highest is the highest version that was held here since the last restart.
	highest uint64
}

// Members implements Peers. It returns the other nodes that this one can reach.
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
	return &pb.Member{Name: fmt.Sprint(n.index), ConfigVersion: n.versionInForce()}
}

// versionInForce returns the version that heartbeats carry.
func (n *node) versionInForce() uint64 {
	if view := n.watcher.Current(); view != nil {
		return view.Version()
	}
	return 0
}

// FetchConfig implements Peers.
func (n *node) FetchConfig(ctx context.Context, from *pb.Member, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	for _, other := range n.machine.nodes {
		if fmt.Sprint(other.index) == from.Name && !n.cutPeers[other.index] && !n.cutFetch[other.index] {
			return other.watcher.HandleFetchConfig(ctx, req)
		}
	}
	return nil, errPartitioned
}

// nodePlatform is the platform as reached from one node.
type nodePlatform struct {
	platformclient.Platform
	node *node
}

// Read implements platformclient.TableStore.
func (r *nodePlatform) Read(ctx context.Context, keys ...string) ([]*pb.Row, error) {
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
	n.watcher = New(Options{Platform: &nodePlatform{n.machine.platform, n}, Peers: n})
	n.highest = 0
}

// step runs one round of a router: a startup round while it isn't ready, and a
// poll of the platform afterwards.
func (n *node) step() {
	ctx := context.Background()
	err := n.watcher.pollPlatform(ctx)
	if n.watcher.Current() == nil && err != nil {
		n.watcher.fetchFromPeers(ctx)
	}
	n.watcher.becomeReady()
}

// accept appends a change, and in some cases a snapshot.
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

// fetchFromPeer lets one node learn another's version, which may be older than
// its own, and fetch from it.
func (m *machine) fetchFromPeer(t *rapid.T) {
	n, other := m.drawNode(t), m.drawNode(t)
	if n != other {
		n.watcher.fetch(context.Background(), other.member(), fetchTimeout)
	}
}

// deliverStale delivers an old response again, as from a lagging peer. It also
// calls acceptView directly, since a view can pass the version check that
// precedes decoding and be out of date by the time it is decoded.
func (m *machine) deliverStale(t *rapid.T) {
	n := m.drawNode(t)
	version := rapid.IntRange(0, len(m.accepted)-1).Draw(t, "old version")
	view, err := config.FromSnapshot(m.accepted[version])
	if err == nil {
		n.watcher.acceptView(view, "lagging")
		err = n.watcher.acceptResponse(&pb.FetchConfigResponse{Snapshot: m.accepted[version]}, "lagging")
	}
	if err != nil {
		t.Fatal(err)
	}
}

func (m *machine) drawNode(t *rapid.T) *node {
	return rapid.SampledFrom(m.nodes).Draw(t, "node")
}

// checkInvariants checks that no version is reverted, that each version has the
// content that was accepted, and that a ready router has a configuration in
// force.
func (m *machine) checkInvariants(t *rapid.T) {
	for _, n := range m.nodes {
		held := n.watcher.held.Load()
		if held.Version() < n.highest {
			t.Fatalf("node %d reverts from version %d to %d", n.index, n.highest, held.Version())
		}
		n.highest = held.Version()
		if !proto.Equal(held.Snapshot(), m.accepted[held.Version()]) {
			t.Fatalf("node %d has a version %d that nobody accepted", n.index, held.Version())
		}
		if view := n.watcher.Current(); view != nil && (view != held || view.Version() == 0) {
			t.Fatalf("node %d has version %d in force and holds %d", n.index, view.Version(), held.Version())
		}
	}
}

// restartNode restarts a node, runs its first round, and checks that it became
// ready only with a version that is allowed.
func (m *machine) restartNode(t *rapid.T) {
	n := m.drawNode(t)
	n.restart()
	n.step()
	view := n.watcher.Current()
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
			"step":   func(t *rapid.T) { m.drawNode(t).step() },
			"offer":  m.fetchFromPeer,
			"replay": m.deliverStale,
			"start":  m.restartNode,
			"cut platform": func(t *rapid.T) {
				n := m.drawNode(t)
				n.cutPlatform = !n.cutPlatform
			},
			"cut peer": func(t *rapid.T) {
				n, other := m.drawNode(t), m.drawNode(t)
				n.cutPeers[other.index] = !n.cutPeers[other.index]
			},
			"cut fetch": func(t *rapid.T) {
				n, other := m.drawNode(t), m.drawNode(t)
				n.cutFetch[other.index] = !n.cutFetch[other.index]
			},
			"": m.checkInvariants,
		})
	})
}
