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
	"cuminrock.example/router/platform"
)

// fakeTables is a platform that can be down or lose answers.
type fakeTables struct {
	mu    sync.Mutex
	store *budgetsim.Store
	down  bool
	// loseAfter loses every n-th answer after the commit took effect.
	loseAfter int
	calls     int
}

func newTables() *fakeTables { return &fakeTables{store: budgetsim.NewStore()} }

func (f *fakeTables) Read(_ context.Context, keys ...string) ([]*pb.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrUnavailable
	}
	return f.store.Read(keys), nil
}

func (f *fakeTables) Scan(_ context.Context, prefix, after string, _ int) ([]*pb.Row, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, false, platform.ErrUnavailable
	}
	return f.store.Scan(prefix, after), false, nil
}

func (f *fakeTables) Commit(_ context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrUnavailable
	}
	resp := f.store.Commit(txn)
	f.calls++
	if f.loseAfter > 0 && f.calls%f.loseAfter == 0 {
		return nil, platform.ErrUnknown
	}
	return resp, nil
}

func (f *fakeTables) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// fleet is a few ledgers that call each other directly.
type fleet struct {
	tables  *fakeTables
	members []*pb.Member
	ledgers map[string]*Ledger
	mu      sync.Mutex
	cut     map[string]bool
}

// view is one ledger's Peers.
type view struct {
	fleet *fleet
	self  *pb.Member
}

func (v *view) reach(m *pb.Member) bool {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return !v.fleet.cut[v.self.Incarnation] && !v.fleet.cut[m.Incarnation]
}

// live returns the members that homes are chosen from.
func (f *fleet) live() []*pb.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

// leave takes a member out.
func (f *fleet) leave(incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = slices.DeleteFunc(slices.Clone(f.members), func(m *pb.Member) bool { return m.Incarnation == incarnation })
}

func (v *view) Home(name string) (*pb.Member, bool) {
	members := v.fleet.live()
	m, _ := memberlist.HomeAmong(name, members)
	return m, m == v.self
}

func (v *view) Others() []*pb.Member {
	var others []*pb.Member
	for _, m := range v.fleet.live() {
		if m != v.self && !v.fleet.ledgers[m.Incarnation].draining.Load() {
			others = append(others, m)
		}
	}
	return others
}

func (v *view) Borrow(ctx context.Context, m *pb.Member, req *pb.BorrowRequest) (*pb.BorrowResponse, error) {
	if !v.reach(m) {
		return nil, errkind.New(errkind.Internal, "cut off")
	}
	return v.fleet.ledgers[m.Incarnation].HandleBorrow(ctx, req)
}

func (v *view) Settle(ctx context.Context, m *pb.Member, req *pb.SettleRequest) (*pb.SettleResponse, error) {
	if !v.reach(m) {
		return nil, errkind.New(errkind.Internal, "cut off")
	}
	return v.fleet.ledgers[m.Incarnation].HandleSettle(ctx, req)
}

// testPolicy settles fast, so that tests are short, and draws a quarter.
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
	f := &fleet{tables: newTables(), ledgers: make(map[string]*Ledger), cut: make(map[string]bool)}
	for _, name := range names {
		f.members = append(f.members, &pb.Member{Name: name, Incarnation: "i-" + name, DataCentre: "cluj-a", VmInstance: "vm-" + name})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, m := range f.members {
		l := New(Options{
			Self:            m,
			Tables:          f.tables,
			Peers:           &view{f, m},
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
	f.loseAfter = n
}
