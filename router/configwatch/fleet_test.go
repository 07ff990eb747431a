package configwatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/router/configlog"
	"cuminrock.example/router/configwatch"
	"cuminrock.example/router/membership"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/platformclient/platformfake"
)

// networkDelay is the one-way delay of a message between two routers.
const networkDelay = 1500 * time.Microsecond

// slowResponseDelay is the additional delay of a slow router's responses.
const slowResponseDelay = 200 * time.Millisecond

// network carries calls between routers by address and counts calls and message
// bytes.
type network struct {
	mu           sync.Mutex
	routers      map[string]*router
	partitioned  func(from, to *router) bool
	slowRouter   *router
	callCount    int
	messageBytes int
	platform     *platformfake.Fake
}

// router is one router without its listeners.
type router struct {
	self    *pb.Member
	net     *network
	members *membership.Membership
	watcher *configwatch.Watcher
	stop    context.CancelFunc
	done    chan struct{}
}

func newNetwork() *network {
	return &network{
		routers:     make(map[string]*router),
		partitioned: func(_, _ *router) bool { return false },
		platform:    &platformfake.Fake{},
	}
}

// setPartition replaces the function that tells which calls are lost. A nil to
// stands for the platform.
func (n *network) setPartition(partitioned func(from, to *router) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

func (n *network) isPartitioned(from, to *router) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned(from, to)
}

// roundTrip returns the router at an address after a network round trip. A call
// that is partitioned off blocks until its context ends.
func (n *network) roundTrip(ctx context.Context, from *router, address string, messages ...proto.Message) (*router, error) {
	n.mu.Lock()
	to := n.routers[address]
	slow := n.slowRouter != nil && n.slowRouter == to
	n.callCount++
	for _, m := range messages {
		n.messageBytes += proto.Size(m)
	}
	n.mu.Unlock()
	if to == nil || n.isPartitioned(from, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if slow {
		time.Sleep(slowResponseDelay)
	}
	time.Sleep(2 * networkDelay)
	return to, nil
}

// start adds a router that knows the given seeds.
func (n *network) start(ctx context.Context, centre string, number int, seeds ...string) *router {
	name := fmt.Sprintf("router-%s-%d", centre, number)
	r := &router{
		self: &pb.Member{
			Name:            name,
			Incarnation:     fmt.Sprintf("%032x", number),
			DataCentre:      centre,
			PeerAddress:     name + ":8082",
			OperatorAddress: name + ":8081",
			VmInstance:      name,
		},
		net:  n,
		done: make(chan struct{}),
	}
	r.members = membership.New(membership.Options{
		Self:          r.self,
		Seeds:         seeds,
		VMs:           r.platform(),
		SendHeartbeat: r.heartbeat,
		OnPeerVersion: func(peer *pb.Member, version uint64) { r.watcher.NotifyPeerVersion(peer, version) },
		Seed:          uint64(number),
	})
	r.watcher = configwatch.New(configwatch.Options{
		Platform:     r.platform(),
		Peers:        r,
		IsPollTurn:   func(slot int64) bool { return r.members.HasTurn("config", slot) },
		AllContacted: r.members.AllContacted,
		OnInForce:    r.members.SetConfigVersion,
	})
	n.mu.Lock()
	n.routers[r.self.PeerAddress] = r
	n.mu.Unlock()
	r.run(ctx)
	return r
}

func (r *router) run(ctx context.Context) {
	ctx, r.stop = context.WithCancel(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { r.members.Run(ctx) })
	loops.Go(func() { r.watcher.Run(ctx) })
	go func() {
		loops.Wait()
		close(r.done)
	}()
}

// kill stops a router; calls to its address get no response from then on.
func (r *router) kill() {
	r.stop()
	<-r.done
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	delete(r.net.routers, r.self.PeerAddress)
}

func (r *router) heartbeat(ctx context.Context, address string, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	to, err := r.net.roundTrip(ctx, r, address, req)
	if err != nil {
		return nil, err
	}
	resp, err := to.members.HandleHeartbeat(ctx, req)
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	r.net.messageBytes += proto.Size(resp)
	return resp, err
}

// Members implements configwatch.Peers.
func (r *router) Members() []*pb.Member { return r.members.Members() }

// FetchConfig implements configwatch.Peers.
func (r *router) FetchConfig(ctx context.Context, from *pb.Member, req *pb.FetchConfigRequest) (*pb.FetchConfigResponse, error) {
	to, err := r.net.roundTrip(ctx, r, from.PeerAddress, req)
	if err != nil {
		return nil, err
	}
	return to.watcher.HandleFetchConfig(ctx, req)
}

func (r *router) platform() platformclient.Platform {
	return &routerPlatform{Platform: r.net.platform, router: r}
}

// routerPlatform is the platform as reached from one router.
type routerPlatform struct {
	platformclient.Platform
	router *router
}

func (d *routerPlatform) roundTrip() error {
	time.Sleep(2 * networkDelay)
	if d.router.net.isPartitioned(d.router, nil) {
		return platformclient.ErrUnavailable
	}
	return nil
}

// Read implements platformclient.TableStore.
func (d *routerPlatform) Read(ctx context.Context, keys ...string) ([]*pb.Row, error) {
	if err := d.roundTrip(); err != nil {
		return nil, err
	}
	return d.Platform.Read(ctx, keys...)
}

// ListVMs implements platformclient.VMLister.
func (d *routerPlatform) ListVMs(ctx context.Context) ([]*pb.Vm, error) {
	if err := d.roundTrip(); err != nil {
		return nil, err
	}
	return d.Platform.ListVMs(ctx)
}

// fleet is a network with routers in several data centres.
type fleet struct {
	*network
	t       testing.TB
	routers []*router
}

// startFleet starts the same number of routers in each data centre, lists them
// in the VM list and accepts the first configuration.
func startFleet(t testing.TB, ctx context.Context, perCentre int, centres ...string) *fleet {
	f := &fleet{network: newNetwork(), t: t}
	f.accept(1)
	var vms []*pb.Vm
	for _, centre := range centres {
		for i := range perCentre {
			vms = append(vms, entryVm(centre, i+1))
		}
	}
	f.platform.SetVMs(vms)
	for _, centre := range centres {
		for i := range perCentre {
			f.routers = append(f.routers, f.start(ctx, centre, i+1))
		}
	}
	return f
}

func entryVm(centre string, number int) *pb.Vm {
	name := fmt.Sprintf("router-%s-%d", centre, number)
	return &pb.Vm{
		Name: name, Instance: name, DataCentre: centre, Address: name + ":8082",
		Role: pb.VmRole_VM_ROLE_ENTRY, State: pb.VmState_VM_STATE_LIVE,
	}
}

// accept appends one change as an operator would.
func (f *fleet) accept(version uint64) {
	f.t.Helper()
	record := config.BudgetRecord(&pb.Budget{Name: fmt.Sprintf("budget-%d", version), Workspace: "schools"})
	change := &pb.Change{Version: version, Upserts: []*pb.Record{record}}
	_, err := configlog.Append(context.Background(), f.platform, "ana", change)
	if err != nil {
		f.t.Fatal(err)
	}
}

// inForceWithin waits until all given routers have a version in force and
// returns how long that took. It fails the test after the limit.
func (f *fleet) inForceWithin(limit time.Duration, version uint64, routers ...*router) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for time.Since(begin) <= limit {
		behind := 0
		for _, r := range routers {
			if view := r.watcher.Current(); view == nil || view.Version() < version {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, r := range routers {
		_, reason := r.watcher.Ready()
		f.t.Logf("%s holds version %d; %s", r.self.Name, r.watcher.HeldVersion(), reason)
	}
	f.t.Fatalf("version %d isn't in force after %s", version, limit)
	return 0
}

// runSimulated runs a test in simulated time and stops all routers at its end.
func runSimulated(t *testing.T, test func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			// Calls in progress end within their timeouts.
			time.Sleep(time.Minute)
		}()
		test(t, ctx)
	})
}
