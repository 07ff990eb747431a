// Package gateway wires the parts of a router that forwards requests on a
// hosting platform, and starts and stops them together.
//
// A gateway stores nothing itself: the configuration, the targets and the tokens
// that it may spend come from the platform's store. While the store is
// unavailable, it continues with the last known state. Gateways reserve prepaid
// tokens at each other (package homebudget); one that reaches no other takes
// them from the store itself. A new gateway isn't ready, and refuses requests,
// until it has a configuration and targets.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/callerbuffer"
	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/egress"
	"cuminrock.example/fleet/errkind"
	fleetintake "cuminrock.example/fleet/intake"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/admission"
	"cuminrock.example/router/callerconn"
	"cuminrock.example/router/crashwatch"
	"cuminrock.example/router/exchange"
	"cuminrock.example/router/lag"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/prepaid"
	"cuminrock.example/router/reachability"
	"cuminrock.example/router/relay"
	"cuminrock.example/router/streamorigin"
	"cuminrock.example/router/targetlimit"
)

const (
	// permille is the scale of ratios.
	permille = 1000
	// retryRatioShare is the fraction of the configured retry ratio that a router
	// uses. The rest covers routers that stop and start within one window.
	retryRatioShare = 0.8
	// retryBurst is the most retries that a router accumulates per service.
	retryBurst = 4
	// defaultBodyBytes bounds bodies before a configuration is loaded, or when it
	// sets no limit.
	defaultBodyBytes = 1 << 20
	// maxHeaderBytes bounds the header of a request, whatever the configuration.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time to read a header. net/http can't change it
	// while a server is running, so the configuration's limit doesn't replace it.
	headerTimeout = 10 * time.Second
	// idleTimeout is the longest time that an idle connection of a caller is kept.
	idleTimeout = 75 * time.Second
	// memoryPermille is the part of the process's memory that is set as the memory
	// limit of the Go runtime.
	memoryPermille = 700
	// incarnationBytes is the size of the random id of one run.
	incarnationBytes = 8
	// idleCheckInterval is how often idle connections to targets are checked.
	idleCheckInterval = time.Second
)

// Platform holds the parts of the hosting platform's adapter that a gateway uses.
type Platform struct {
	Tables  platformclient.TableStore
	Watcher platformclient.TableWatcher
	Clock   platformclient.Clock
	// Config is the source of the configuration, Targets that of the targets.
	Config  ConfigSource
	Targets TargetSource
	// Upstream sends requests to targets over the connections of Conns.
	Upstream relay.Upstream
	Conns    *exchange.Pool
	// Collectors are metrics of the adapter.
	Collectors []prometheus.Collector
	// NewHandler returns the handler of callers' requests.
	NewHandler func(*Gateway) http.Handler
	// ReadinessPath is the path of the load balancer's readiness check.
	ReadinessPath string
}

// ConfigSource says where the operator's rows are stored and how to parse them: the
// configuration, and one for each evacuated data centre.
type ConfigSource struct {
	Table, Key string
	Parse      func([]byte) (*catalog.Catalog, error)
	// EvacuationOf returns the data centre that a key evacuates; false for other keys.
	EvacuationOf func(key string) (dataCentre string, ok bool)
	// CheckEvacuation returns an error if the value isn't that of an evacuation.
	CheckEvacuation func(value []byte) error
}

// TargetSource says where targets are registered and how to parse an entry.
type TargetSource struct {
	Table string
	Parse func(id string, value []byte) (placement.Target, error)
}

// Gateway is a running router on a hosting platform.
type Gateway struct {
	settings  *pb.GatewaySettings
	platform  Platform
	log       *zap.Logger
	registry  *prometheus.Registry
	addresses Addresses

	relay   *relay.Relay
	budgets *prepaid.Manager
	// admission is nil unless the settings switch it on.
	admission *admission.Gate
	// peers is nil if the gateway has no listener for others.
	peers        *peers
	targets      *placement.Table
	reachability *reachability.Monitor
	forward      *forwarder
	targetCounts targetCounts
	crashes      *crashwatch.Watcher
	origins      *streamorigin.Registry
	limits       *targetlimit.Limiter
	lag          lag.Monitor
	egress       *egress.Meter
	catalog      atomic.Pointer[catalog.Catalog]
	// onWithdrawn is called for each data centre whose evacuation was withdrawn, before
	// its targets get requests again.
	onWithdrawn func(dataCentre string)

	callers         *callerConns
	callerBuffers   *callerconn.Set
	intake          intakes
	callerListener  net.Listener
	callerServer    *http.Server
	readinessServer *http.Server
	metricsServer   *http.Server

	shuttingDown atomic.Bool
	// stopPlan is nil until the gateway stops.
	stopPlan atomic.Pointer[stopPlan]
	// cancelRequests ends the requests of callers.
	cancelRequests context.CancelFunc
	hasTarget      atomic.Bool
	wg             conc.WaitGroup
	cancelWork     context.CancelFunc
}

// Start opens the listeners, starts the servers and watches the store.
func Start(settings *pb.GatewaySettings, p Platform, log *zap.Logger) (*Gateway, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	lis, err := listen(settings.Doors)
	if err != nil {
		return nil, err
	}
	openedAt := time.Now()
	debug.SetMemoryLimit(int64(settings.MemoryMib) << 20 * memoryPermille / permille)
	g := &Gateway{settings: settings, platform: p, log: log, registry: prometheus.NewRegistry(), addresses: lis.addresses()}
	g.registry.MustRegister(p.Collectors...)
	g.targets = placement.New(settings.DataCentre)
	g.targets.UseExpectedWork(settings.ExpectedWork, xxhash.Sum64String(settings.Name+incarnation))
	g.targets.SetRegions(settings.DataCentreRegions)
	g.targetCounts = newTargetCounts(g.registry)
	g.onWithdrawn = g.markCold
	g.reachability = newReachability(g)
	limits := fleetintake.LimitsFor(int64(settings.MemoryMib)<<20, int(settings.FileDescriptors))
	g.callers = newCallerConns(limits.Kept(), func() time.Duration { return g.Limits().IdleTimeout })
	g.callerBuffers = callerconn.NewSet(callerconn.Options{
		Limits: callerbuffer.LimitsFor(int64(settings.MemoryMib) << 20), Registry: g.registry, Log: log, Now: time.Now,
	})
	g.intake = newIntakes(g, limits)
	p.Conns.Room = g.intake.callers
	g.egress = egress.NewMeter(settings.LinkMbps)
	g.forward = newForwarder(g)
	g.budgets = g.newBudgets(incarnation, openedAt)
	var budgets relay.Budgets = g.budgets
	if lis.peer != nil {
		g.peers = newPeers(g, incarnation, lis.peer.Addr().String())
		budgets = g.peers.budgets
	}
	g.crashes = crashwatch.New(crashwatch.Options{
		Gateway: settings.Name, Tables: p.Tables, Clock: p.Clock, TargetEnded: g.forward.client.TargetEnded, Ended: func(t placement.Target) { g.limits.ConnectionRefused(t) },
		Metrics: crashwatch.NewMetrics(g.registry), Log: log, Now: time.Now,
	})
	g.origins = streamorigin.New(streamorigin.Options{Gateway: settings.Name, Tables: p.Tables, Clock: p.Clock, Gateways: g.gatewayCount, Log: log, Now: time.Now})
	g.admission = newAdmission(g)
	g.limits = newLimiter(g)
	g.relay = g.newRelay(budgets)
	g.startServers(lis)
	g.startWatching(lis)
	log.Info("gateway: started.", zap.String("name", settings.Name), zap.String("incarnation", incarnation),
		zap.String("callers", settings.Doors.Caller), zap.String("store", settings.StoreAddress),
		zap.Strings("contracts", settings.Contracts), zap.Bool("expected_work", settings.ExpectedWork),
		zap.Any("data_centre_regions", settings.DataCentreRegions))
	return g, nil
}

func newIncarnation() (string, error) {
	var random [incarnationBytes]byte
	_, err := rand.Read(random[:])
	if err != nil {
		return "", trace.Wrap(err, "generating an id for this run")
	}
	return hex.EncodeToString(random[:]), nil
}

// gatewayCount returns the number of gateways of the deployment, as far as known.
func (g *Gateway) gatewayCount() int {
	if g.peers == nil {
		return 1
	}
	return g.peers.homes.Len()
}

// Ready reports whether the load balancer may send new connections. A gateway that is cut
// off from all targets is ready as long as any other gateway responds, since that passes
// its requests on, or is cut off, too.
func (g *Gateway) Ready() bool {
	if g.reachability.CutOff() && g.forward.client.Alone() {
		return false
	}
	return !g.shuttingDown.Load() && g.catalog.Load() != nil && g.hasTarget.Load()
}

// Serve answers one request; see relay.Relay.
func (g *Gateway) Serve(ctx context.Context, req *relay.Request, out relay.ResponseWriter) {
	if conn := callerconn.FromContext(ctx); conn != nil {
		conn.BeginRequest(req.ID)
		out = &callerResponse{ResponseWriter: out, conn: conn}
	}
	g.relay.Serve(ctx, req, out)
}

// Admit checks a request whose body hasn't been read; see relay.Relay.
func (g *Gateway) Admit(req *relay.Request) (relay.Terms, *errkind.Error) { return g.relay.Admit(req) }

// RecordRefusal logs and counts a request that was refused before it was served.
func (g *Gateway) RecordRefusal(id string, err *errkind.Error) { g.relay.RecordRefusal(id, err) }

// overloaded reports whether this gateway has more work than its processor or its
// link allow; urgent work is refused last.
func (g *Gateway) overloaded(urgent bool) bool {
	return g.lag.Overloaded(urgent) || g.egress.Overloaded(urgent, time.Now())
}

// Limits returns the limits on callers' requests.
func (g *Gateway) Limits() catalog.Limits {
	var limits catalog.Limits
	if c := g.catalog.Load(); c != nil {
		limits = c.Limits
	}
	if limits.BodyBytes == 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	return limits
}

// CallerConnections returns the number of callers' open connections.
func (g *Gateway) CallerConnections() int { return g.callers.count() }

// CloseConnections reports whether callers' connections are to be closed after
// their response: while stopping, and while too many are open.
func (g *Gateway) CloseConnections() bool { return g.shuttingDown.Load() || g.callers.tooMany() }
