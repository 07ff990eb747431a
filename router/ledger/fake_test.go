package ledger

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget/budgetsim"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/memberlist"
	"cuminrock.example/router/platformclient"
)

// fakeTables is a platform that can be unavailable or lose responses.
type fakeTables struct {
	mu    sync.Mutex
	store *budgetsim.Store
	down  bool
	// loseNth is the n for which the response of every n-th commit is lost
	// after the commit took effect; 0 loses none.
	loseNth int
	calls   int
}

func newTables() *fakeTables { return &fakeTables{store: budgetsim.NewStore()} }

func (f *fakeTables) Read(_ context.Context, keys ...string) ([]*pb.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platformclient.ErrUnavailable
	}
	return f.store.Read(keys), nil
}

func (f *fakeTables) Scan(_ context.Context, prefix, after string, _ int) ([]*pb.Row, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, false, platformclient.ErrUnavailable
	}
	return f.store.Scan(prefix, after), false, nil
}

func (f *fakeTables) Commit(_ context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platformclient.ErrUnavailable
	}
	resp := f.store.Commit(txn)
	f.calls++
	if f.loseNth > 0 && f.calls%f.loseNth == 0 {
		return nil, platformclient.ErrOutcomeUnknown
	}
	return resp, nil
}

func (f *fakeTables) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// fleet is a set of ledgers that call each other directly.
type fleet struct {
	tables   *fakeTables
	members  []*pb.Member
	ledgers  map[string]*Ledger
	mu       sync.Mutex
	isolated map[string]bool
}

// localPeers implements Peers for one ledger of a fleet.
type localPeers struct {
	fleet *fleet
	self  *pb.Member
}

func (v *localPeers) reachable(m *pb.Member) bool {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return !v.fleet.isolated[v.self.Incarnation] && !v.fleet.isolated[m.Incarnation]
}

// liveMembers returns the members from which homes are chosen.
func (f *fleet) liveMembers() []*pb.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

// removeMember removes a member from the fleet.
func (f *fleet) removeMember(incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = slices.DeleteFunc(slices.Clone(f.members), func(m *pb.Member) bool { return m.Incarnation == incarnation })
}

func (v *localPeers) Home(name string) (*pb.Member, bool) {
	members := v.fleet.liveMembers()
	m, _ := memberlist.HomeAmong(name, members)
	return m, m == v.self
}

func (v *localPeers) Others() []*pb.Member {
	var others []*pb.Member
	for _, m := range v.fleet.liveMembers() {
		if m != v.self && !v.fleet.ledgers[m.Incarnation].draining.Load() {
			others = append(others, m)
		}
	}
	return others
}

func (v *localPeers) Borrow(ctx context.Context, m *pb.Member, req *pb.BorrowRequest) (*pb.BorrowResponse, error) {
	if !v.reachable(m) {
		return nil, errkind.New(errkind.Internal, "isolated by the test")
	}
	return v.fleet.ledgers[m.Incarnation].HandleBorrow(ctx, req)
}

func (v *localPeers) Settle(ctx context.Context, m *pb.Member, req *pb.SettleRequest) (*pb.SettleResponse, error) {
	if !v.reachable(m) {
		return nil, errkind.New(errkind.Internal, "isolated by the test")
	}
	return v.fleet.ledgers[m.Incarnation].HandleSettle(ctx, req)
}

// testPolicy uses a short settle interval to keep the tests fast. A draw takes at
// most a quarter of the free tokens beyond the need.
func testPolicy() *pb.BudgetPolicy {
	return &pb.BudgetPolicy{
		SettleInterval: durationpb.New(5 * time.Millisecond),
		SearchTimeout:  durationpb.New(2 * time.Second),
		GrantHorizon:   durationpb.New(10 * time.Second),
		LoanHorizon:    durationpb.New(2 * time.Second),
		DrawPermille:   250,
	}
}

// newFleet starts ledgers that run until the test ends.
func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{tables: newTables(), ledgers: make(map[string]*Ledger), isolated: make(map[string]bool)}
	for _, name := range names {
		f.members = append(f.members, &pb.Member{Name: name, Incarnation: "i-" + name, DataCentre: "cluj-a", VmInstance: "vm-" + name})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, m := range f.members {
		l := New(Options{
			Self:            m,
			Tables:          f.tables,
			Peers:           &localPeers{f, m},
			Policy:          testPolicy(),
			WritesPerSecond: 2000,
			Rand:            rand.New(rand.NewSource(int64(i))),
		})
		f.ledgers[m.Incarnation] = l
	}
	for _, l := range f.ledgers {
		wg.Go(func() { _ = l.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	return f
}

func (f *fakeTables) loseEvery(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseNth = n
}
