package homebudget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/home"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/platformclient/platformfake"
	"cuminrock.example/router/prepaid"
)

const (
	// storeLatency and peerLatency are the times of a call in simulated time.
	storeLatency = 5 * time.Millisecond
	peerLatency  = time.Millisecond
	// reserveWait is how long a request may wait for tokens.
	reserveWait = 200 * time.Millisecond
	// requestTime is how long a request runs.
	requestTime = 500 * time.Millisecond
)

// slowTables is a platform whose calls take storeLatency, and which counts them.
type slowTables struct {
	*platformfake.Fake
	calls atomic.Int64
}

func (s *slowTables) Read(ctx context.Context, keys ...string) ([]*pb.Row, error) {
	s.calls.Add(1)
	time.Sleep(storeLatency)
	return s.Fake.Read(ctx, keys...)
}

func (s *slowTables) Commit(ctx context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	s.calls.Add(1)
	time.Sleep(storeLatency)
	return s.Fake.Commit(ctx, txn)
}

// localClock is a platform clock that equals the local one.
type localClock struct{}

func (localClock) LowerBound(local time.Time) (int64, bool) { return local.UnixMilli(), true }
func (localClock) UpperBound(local time.Time) (int64, bool) { return local.UnixMilli(), true }

// network connects gateways in memory. A dead address doesn't respond.
type network struct {
	mu      sync.Mutex
	servers map[string]*Server
	dead    map[string]bool
}

func (n *network) server(ctx context.Context, address string) (*Server, error) {
	time.Sleep(peerLatency)
	n.mu.Lock()
	server, dead := n.servers[address], n.dead[address]
	n.mu.Unlock()
	if !dead {
		return server, nil
	}
	<-ctx.Done()
	return nil, status.FromContextError(ctx.Err()).Err()
}

func (n *network) setDead(address string, dead bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[address] = dead
}

func (n *network) Reserve(ctx context.Context, address string, req *pb.ReserveTokensRequest) (*pb.ReserveTokensResponse, error) {
	server, err := n.server(ctx, address)
	if err != nil {
		return nil, err
	}
	return server.Reserve(ctx, req)
}

func (n *network) Settle(ctx context.Context, address string, req *pb.SettleTokensRequest) (*pb.SettleTokensResponse, error) {
	server, err := n.server(ctx, address)
	if err != nil {
		return nil, err
	}
	return server.Settle(ctx, req)
}

// testFleet is a fleet of gateways in simulated time.
type testFleet struct {
	tables   platformclient.TableStore
	network  *network
	catalog  *catalog.Catalog
	gateways []*testGateway
	stop     context.CancelFunc
}

type testGateway struct {
	home.Gateway
	manager *prepaid.Manager
	budgets *Budgets
	server  *Server
}

// newFleet starts gateways in each data centre, all of which know each other.
func newFleet(tables platformclient.TableStore, dataCentres, perDataCentre int, workspaces []*catalog.Workspace) *testFleet {
	ctx, stop := context.WithCancel(context.Background())
	f := &testFleet{
		tables: tables, stop: stop, catalog: catalog.New(catalog.Spec{Version: 1, Workspaces: workspaces}),
		network: &network{servers: make(map[string]*Server), dead: make(map[string]bool)},
	}
	var registered []home.Gateway
	for dc := range dataCentres {
		for i := range perDataCentre {
			name := fmt.Sprintf("dc%d-%d", dc, i)
			registered = append(registered, home.Gateway{Name: name, DataCentre: fmt.Sprintf("dc%d", dc), PeerAddress: name})
		}
	}
	for _, self := range registered {
		f.gateways = append(f.gateways, f.startGateway(ctx, self, registered))
	}
	return f
}

func (f *testFleet) startGateway(ctx context.Context, self home.Gateway, registered []home.Gateway) *testGateway {
	g := &testGateway{Gateway: self}
	registry := prometheus.NewRegistry()
	metrics := NewMetrics(registry)
	g.manager = prepaid.NewManager(prepaid.Options{
		Tables: f.tables, Clock: localClock{}, Machine: self.Name, Holder: self.Name + ".1", PreviousRunsEndedBy: time.Now(),
		Metrics: prepaid.NewMetrics(registry), Log: zap.NewNop(), Now: time.Now,
	})
	homes := home.New(self)
	homes.Update(registered)
	g.budgets = New(Options{Local: g.manager, Homes: homes, Peers: f.network, Incarnation: self.Name + ".1", Metrics: metrics, Log: zap.NewNop(), Now: time.Now})
	g.server = NewServer(ServerOptions{Local: g.manager, Catalog: func() *catalog.Catalog { return f.catalog }, Metrics: metrics, Log: zap.NewNop(), Now: time.Now})
	f.network.mu.Lock()
	f.network.servers[self.PeerAddress] = g.server
	f.network.mu.Unlock()
	go g.budgets.Run(ctx)
	return g
}

// close stops all gateways.
func (f *testFleet) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, g := range f.gateways {
		_ = g.budgets.Close(ctx)
	}
	for _, g := range f.gateways {
		_ = g.manager.Close(ctx)
	}
	f.stop()
}

// load sends requests to gateways picked at random, for a duration.
type load struct {
	fleet *testFleet
	// perSecond is the rate of requests over the whole fleet.
	perSecond int
	// pick returns the workspace and tokens of a request.
	pick    func(r *rand.Rand) (*catalog.Workspace, int64)
	random  *rand.Rand
	pending sync.WaitGroup

	mu       sync.Mutex
	refused  int
	sent     int
	consumed map[string]int64
}

// run sends requests and returns how many were sent and refused.
func (l *load) run(duration time.Duration) (sent, refused int) {
	l.mu.Lock()
	sentBefore, refusedBefore := l.sent, l.refused
	l.mu.Unlock()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		gateway := l.fleet.gateways[l.random.IntN(len(l.fleet.gateways))]
		workspace, tokens := l.pick(l.random)
		l.pending.Go(func() { l.request(gateway, workspace, tokens) })
		time.Sleep(time.Second / time.Duration(l.perSecond))
	}
	l.pending.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent - sentBefore, l.refused - refusedBefore
}

func (l *load) request(gateway *testGateway, w *catalog.Workspace, tokens int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reservation, err := gateway.budgets.Reserve(ctx, "r", w, tokens, 0, reserveWait)
	l.mu.Lock()
	l.sent++
	if err != nil {
		l.refused++
	} else {
		l.consumed[w.Name] += tokens
	}
	l.mu.Unlock()
	if err == nil {
		time.Sleep(requestTime)
		reservation.Settle(tokens)
	}
}

// Pattern: 300 gateways share 40 workspaces of very different size, and all lose
// the platform for 8 seconds, twice. A gateway sees a request for a workspace
// every eight seconds, so what it would hold by itself is of no use. At most 5 in
// 100 requests may be refused, and the calls to the platform stay far below what
// 300 gateways and 40 workspaces would make by retrying each for itself.
func TestFleetServesThroughOutagesOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const perSecond, balanceSeconds = 600, 60
		workspaces, pick := skewedWorkspaces(40, perSecond*balanceSeconds)
		tables := &slowTables{Fake: &platformfake.Fake{}}
		fleet := newFleet(tables, 5, 60, workspaces)
		l := &load{fleet: fleet, perSecond: perSecond, pick: pick, random: rand.New(rand.NewPCG(1, 2)), consumed: make(map[string]int64)}
		sent, refused := l.run(6 * time.Second)
		for range 2 {
			tables.SetDown(true)
			before := tables.calls.Load()
			n, r := l.run(8 * time.Second)
			t.Logf("outage: %d of %d refused, %d calls", r, n, tables.calls.Load()-before)
			tables.SetDown(false)
			sent, refused = sent+n, refused+r
			n, r = l.run(4 * time.Second)
			sent, refused = sent+n, refused+r
		}
		t.Logf("%d of %d refused, %d calls in all", refused, sent, tables.calls.Load())
		is.True(refused*100 <= sent*5)
		is.True(tables.calls.Load() < 30_000)
		for _, w := range workspaces {
			is.True(l.consumed[w.Name] <= *w.PrepaidTokens)
		}
		fleet.close()
	})
}

// skewedWorkspaces returns workspaces whose shares of the requests fall with their
// rank, with balances for a number of requests together, and a function that picks
// the next request.
func skewedWorkspaces(n, requests int) ([]*catalog.Workspace, func(r *rand.Rand) (*catalog.Workspace, int64)) {
	sizes := []int64{1_100, 1_100, 2_400, 2_400, 12_000}
	meanSize := 3_800.0
	total := 0.0
	for rank := range n {
		total += 1 / float64(rank+1)
	}
	var workspaces []*catalog.Workspace
	for rank := range n {
		prepaidTokens := int64(float64(requests) * meanSize / float64(rank+1) / total)
		workspaces = append(workspaces, &catalog.Workspace{Name: fmt.Sprintf("w%d", rank), PrepaidTokens: &prepaidTokens})
	}
	return workspaces, func(r *rand.Rand) (*catalog.Workspace, int64) {
		at := r.Float64() * total
		rank := 0
		for ; rank < n-1 && at > 1/float64(rank+1); rank++ {
			at -= 1 / float64(rank+1)
		}
		return workspaces[rank], sizes[r.IntN(len(sizes))]
	}
}

// Pattern: the home of a workspace stops responding. The other gateways of the
// data centre agree on the next one, and requests are served with little delay.
func TestNextHomeServesWhenTheFirstIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		prepaidTokens := int64(1_000_000)
		w := &catalog.Workspace{Name: "w", PrepaidTokens: &prepaidTokens}
		fleet := newFleet(&platformfake.Fake{}, 1, 5, []*catalog.Workspace{w})
		l := &load{fleet: fleet, perSecond: 50, random: rand.New(rand.NewPCG(1, 2)), consumed: make(map[string]int64),
			pick: func(*rand.Rand) (*catalog.Workspace, int64) { return w, 100 }}
		_, refused := l.run(3 * time.Second)
		is.Equal(refused, 0)
		call := fleet.gateways[0].budgets.Homes.Pick("w", "dc0", nil, time.Now())
		call.Release()
		fleet.network.setDead(call.Gateway().PeerAddress, true)
		_, refused = l.run(5 * time.Second)
		is.Equal(refused, 0)
		fleet.network.setDead(call.Gateway().PeerAddress, false)
		fleet.close()
	})
}

// Pattern: the balance is nearly spent, and what is left is held by the home of
// another data centre, while the platform has nothing to give.
func TestTokensHeldInAnotherDataCentreAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		prepaidTokens := int64(1000)
		w := &catalog.Workspace{Name: "w", PrepaidTokens: &prepaidTokens}
		tables := &platformfake.Fake{}
		fleet := newFleet(tables, 2, 3, []*catalog.Workspace{w})
		first := fleet.gateways[0]
		reservation, err := first.budgets.Reserve(context.Background(), "a", w, 900, 0, reserveWait)
		is.NoErr(err)
		tables.SetDown(true)
		reservation.Settle(100)
		time.Sleep(time.Second)
		other := fleet.gateways[len(fleet.gateways)-1]
		_, err = other.budgets.Reserve(context.Background(), "b", w, 400, 0, reserveWait)
		is.NoErr(err)
		tables.SetDown(false)
		fleet.close()
	})
}

// A refusal for lack of tokens isn't tried at further gateways of the data centre,
// and a stopping home is passed over.
func TestRefusalsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		prepaidTokens := int64(1000)
		w := &catalog.Workspace{Name: "w", PrepaidTokens: &prepaidTokens}
		fleet := newFleet(&platformfake.Fake{}, 1, 3, []*catalog.Workspace{w})
		for _, g := range fleet.gateways {
			_, err := g.budgets.Reserve(context.Background(), "a", w, 2000, 0, reserveWait)
			is.True(err != nil)
			is.True(status.Code(err) == codes.Unknown) // an error of package errkind
		}
		holders := 0
		for _, g := range fleet.gateways {
			if _, held := g.manager.ReserveHeld(w, 0, 0); held {
				holders++
			}
		}
		is.Equal(holders, 1) // only the home knows the workspace
		call := fleet.gateways[0].budgets.Homes.Pick("w", "dc0", nil, time.Now())
		call.Release()
		is.NoErr(fleet.network.servers[call.Gateway().PeerAddress].Drain(context.Background()))
		for _, g := range fleet.gateways {
			if g.Name == call.Gateway().Name {
				is.NoErr(g.manager.Close(context.Background()))
			}
		}
		for _, g := range fleet.gateways {
			if g.Name == call.Gateway().Name {
				continue
			}
			reservation, err := g.budgets.Reserve(context.Background(), "b", w, 100, 0, reserveWait)
			is.NoErr(err)
			reservation.Settle(100)
		}
		fleet.close()
	})
}
