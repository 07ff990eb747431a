package homebudget

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
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
