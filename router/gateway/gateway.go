// Package gateway wires the parts of a router that forwards requests on a
// hosting platform, and gives them one life.
//
// A gateway keeps nothing and talks to no other gateway: configuration and
// targets come from the platform's store, and so do the tokens that it may
// spend. While the store is away it goes on with what it knows. A fresh one
// refuses requests as not ready until it has a configuration and targets.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/retry"
	"cuminrock.example/router/platform"
	"cuminrock.example/router/prepaid"
	"cuminrock.example/router/relay"
)

const (
	// permille is the whole of a ratio.
	permille = 1000
	// retryShare is the part of the retry ratio that is used; the rest covers
	// routers that end and begin within one window.
	retryShare = 0.8
	// retryBurst is how many retries a router saves up at most, a service.
	retryBurst = 4
	// defaultBodyBytes bounds bodies before there is a configuration.
	defaultBodyBytes = 1 << 20
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// headerTime bounds the reading of a header. net/http can't change it while
	// a door is open, so that the configuration's limit doesn't replace it.
	headerTime = 10 * time.Second
	// idleTime is how long an idle connection of a caller is kept at most.
	idleTime = 75 * time.Second
	// memoryPermille is the part of the process's memory that the runtime is
	// told to keep within.
	memoryPermille = 700
	// incarnationBytes is the size of the random name of one run.
	incarnationBytes = 8
	// sweepInterval is how often idle connections to targets are looked at.
	sweepInterval = time.Second
)

// Platform is the hosting platform as a gateway sees it.
type Platform struct {
	Tables  platform.Tables
	Watcher platform.Watcher
	Clock   platform.Clock
	// Config reads the configuration, Directory the targets.
	Config  ConfigSource
	Targets TargetSource
	// Upstream reaches targets; Sweep closes its idle connections past their
	// time.
	Upstream     relay.Upstream
	CloseExpired func()
	// NewHandler makes the handler of callers' requests.
	NewHandler func(*Gateway) http.Handler
	// ReadinessPath is where the balancer asks.
	ReadinessPath string
}

// ConfigSource tells where the configuration is kept, and reads it.
type ConfigSource struct {
	Table, Key string
	Parse      func([]byte) (*catalog.Catalog, error)
}

// TargetSource tells where targets are registered, and reads an entry.
type TargetSource struct {
	Table string
	Parse func(id string, value []byte) (placement.Target, error)
}

// Gateway is one running router of this kind.
type Gateway struct {
	settings *pb.GatewaySettings
	platform Platform
	log      *zap.Logger
	registry *prometheus.Registry

	relay   *relay.Relay
	budgets *prepaid.Manager
	targets *placement.Table
	catalog atomic.Pointer[catalog.Catalog]

	callers   *http.Server
	readiness *http.Server
	metrics   *http.Server

	closing   atomic.Bool
	hasTarget atomic.Bool
	work      conc.WaitGroup
	stopWork  context.CancelFunc
}

// Start opens the doors and begins to follow the store.
func Start(settings *pb.GatewaySettings, p Platform, log *zap.Logger) (*Gateway, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	doors, err := listen(settings.Doors)
	if err != nil {
		return nil, err
	}
	openedAt := time.Now()
	debug.SetMemoryLimit(int64(settings.MemoryMib) << 20 * memoryPermille / permille)
	g := &Gateway{settings: settings, platform: p, log: log, registry: prometheus.NewRegistry()}
	g.targets = placement.New(settings.DataCentre)
	g.budgets = prepaid.NewManager(prepaid.Options{
		Tables: p.Tables, Clock: p.Clock, Machine: settings.Name + "." + settings.Doors.Caller,
		Holder: settings.Name + "." + incarnation, PreviousRunsEndedBy: openedAt,
		Metrics: prepaid.NewMetrics(g.registry), Log: log, Now: time.Now,
	})
	g.relay = relay.New(relay.Options{
		Catalog:  g.catalog.Load,
		Targets:  g.targets,
		Budgets:  g.budgets,
		Retries:  retry.NewBudgets(int(settings.Retries.Ratio*retryShare*permille), retryBurst),
		Upstream: p.Upstream,
		Metrics:  relay.NewMetrics(g.registry),
		Log:      log,
		Now:      time.Now,
	})
	g.open(doors)
	g.follow()
	log.Info("gateway: started.", zap.String("name", settings.Name), zap.String("incarnation", incarnation),
		zap.String("callers", settings.Doors.Caller), zap.String("store", settings.StoreAddress))
	return g, nil
}

func newIncarnation() (string, error) {
	var random [incarnationBytes]byte
	_, err := rand.Read(random[:])
	if err != nil {
		return "", trace.Wrap(err, "drawing a name for this run")
	}
	return hex.EncodeToString(random[:]), nil
}

// doors holds the listeners of the doors.
type doors struct {
	callers, readiness, metrics net.Listener
}

// listen opens the doors. That they open also proves that no earlier run on
// this machine goes on.
func listen(at *pb.GatewayDoors) (*doors, error) {
	d := &doors{}
	for _, door := range []struct {
		lis     *net.Listener
		address string
	}{{&d.callers, at.Caller}, {&d.readiness, at.Readiness}, {&d.metrics, at.Metrics}} {
		lis, err := net.Listen("tcp", door.address)
		if err != nil {
			d.close()
			return nil, trace.Wrap(err, "opening a door")
		}
		*door.lis = lis
	}
	return d, nil
}

func (d *doors) close() {
	for _, lis := range []net.Listener{d.callers, d.readiness, d.metrics} {
		if lis != nil {
			_ = lis.Close()
		}
	}
}

// open begins to serve at the doors.
func (g *Gateway) open(d *doors) {
	g.callers = &http.Server{
		Handler:           g.platform.NewHandler(g),
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(g.log),
		ConnState:         newIdleLimiter(func() time.Duration { return g.Limits().IdleTimeout }).note,
	}
	g.readiness = &http.Server{Handler: g.readinessRoutes(), ReadHeaderTimeout: headerTime}
	g.metrics = &http.Server{Handler: g.metricsRoutes(), ReadHeaderTimeout: headerTime}
	g.work.Go(func() { g.serve(g.metrics, d.metrics) })
	g.work.Go(func() { g.serve(g.callers, d.callers) })
	g.work.Go(func() { g.serve(g.readiness, d.readiness) })
}

func (g *Gateway) serve(server *http.Server, lis net.Listener) {
	err := server.Serve(lis)
	if !errors.Is(err, http.ErrServerClosed) {
		g.log.Error("gateway: a door closed by itself.", zap.Stringer("address", lis.Addr()), zap.Error(err))
	}
}

func (g *Gateway) closeDoors() {
	for _, s := range []*http.Server{g.callers, g.readiness, g.metrics} {
		_ = s.Close()
	}
}

func (g *Gateway) readinessRoutes() http.Handler {
	routes := httprouter.New()
	routes.GET(g.platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return routes
}

func (g *Gateway) metricsRoutes() http.Handler {
	routes := httprouter.New()
	routes.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}))
	return routes
}

// Ready tells whether the balancer may send new connections.
func (g *Gateway) Ready() bool {
	return !g.closing.Load() && g.catalog.Load() != nil && g.hasTarget.Load()
}

// Serve answers one request; see relay.Relay.
func (g *Gateway) Serve(ctx context.Context, req *relay.Request, out relay.ResponseWriter) {
	g.relay.Serve(ctx, req, out)
}

// RecordRefusal notes a request that was refused before it was served.
func (g *Gateway) RecordRefusal(id string, err *errkind.Error) { g.relay.RecordRefusal(id, err) }

// Limits returns what callers may send.
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

// ShuttingDown tells whether connections are to end with their answers.
func (g *Gateway) ShuttingDown() bool { return g.closing.Load() }
