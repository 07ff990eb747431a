// Package node assembles one router: listeners, configuration, membership,
// ledger, routing and the request path. It starts and stops them in order.
//
// All listeners open at the start: the peer listener, so that peers can provide
// a configuration, and the caller listener, although requests are refused as
// not ready, and the health check tells the balancer so, until a configuration
// is in force. A graceful stop takes these steps: the health check reports not
// ready; requests are still served for a notice period; the caller listener
// closes; streams run to their end; bills are settled; grants are returned.
package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"expvar"
	"fmt"
	mathrand "math/rand"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/retry"
	"cuminrock.example/fleet/route"
	"cuminrock.example/fleet/timeline"
	"cuminrock.example/router/actionrunner"
	"cuminrock.example/router/callerapi"
	"cuminrock.example/router/configwatch"
	"cuminrock.example/router/dispatch"
	"cuminrock.example/router/intake"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/membership"
	"cuminrock.example/router/operatorapi"
	"cuminrock.example/router/peer"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/serve"
	"cuminrock.example/router/target"
)

const (
	// timelineEvents is the capacity of the ring buffer of events; about 10 MB.
	timelineEvents = 32768
	// incarnationBytes is the size of the random identifier of one run of a
	// router.
	incarnationBytes = 16
	// retryBurst is the most retries that the retry budget accumulates.
	retryBurst = 20
	// configPollTask is the name under which the routers of a data centre take
	// turns at polling the change log.
	configPollTask = "config"
	// balancerNotice is how long requests are still served after the health
	// check starts to report not ready.
	balancerNotice = 3 * time.Second
)

// Node is one running router.
type Node struct {
	settings *pb.RouterSettings
	log      *zap.Logger
	self     *pb.Member
	clock    *timeline.Clock
	recorder *timeline.Recorder
	vars     *expvar.Map

	platform   *platformclient.Client
	pool       *peer.Pool
	membership *membership.Membership
	config     *configwatch.Watcher
	ledger     *ledger.Ledger
	routes     *route.Table
	targets    *target.Client
	dispatch   *dispatch.Dispatcher
	actions    *actionrunner.Runner
	server     *serve.Server
	callers    *callerapi.Server

	callerHTTP   *http.Server
	operatorHTTP *http.Server
	peerGRPC     *grpc.Server
	intakes      intakes
	callerLis    net.Listener
	operatorLis  net.Listener
	peerLis      net.Listener

	background     conc.WaitGroup
	stopBackground context.CancelFunc
	stopLedger     context.CancelFunc
	draining       atomic.Bool
	drainRequested chan struct{}

	// inForce is the configuration that requests are served with.
	inForce       atomic.Pointer[config.View]
	configChanged chan struct{}
}

// Start starts a router with validated settings. It returns when the listeners
// are open; Health reports when the router is ready.
func Start(settings *pb.RouterSettings, log *zap.Logger) (*Node, error) {
	n := &Node{settings: settings, log: log, vars: new(expvar.Map).Init(), drainRequested: make(chan struct{}), configChanged: make(chan struct{}, 1)}
	err := n.listen()
	if err != nil {
		n.closeListeners()
		return nil, err
	}
	err = n.build()
	if err != nil {
		n.closeListeners()
		return nil, err
	}
	n.publishMetrics()
	n.startBackground()
	log.Info("node: started.",
		zap.String("name", settings.Name),
		zap.String("callers", n.CallerAddr()),
		zap.String("operators", n.OperatorAddr()),
		zap.String("peers", n.PeerAddr()))
	return n, nil
}

func (n *Node) listen() error {
	doors := n.settings.Doors
	var err error
	n.callerLis, err = intake.Listen(doors.Caller)
	if err != nil {
		return trace.Wrap(err, "listen on doors.caller")
	}
	n.operatorLis, err = intake.Listen(doors.Operator)
	if err != nil {
		return trace.Wrap(err, "listen on doors.operator")
	}
	n.peerLis, err = net.Listen("tcp", doors.Peer)
	if err != nil {
		return trace.Wrap(err, "listen on doors.peer")
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callerLis, n.operatorLis, n.peerLis} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func (n *Node) build() error {
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	n.self = &pb.Member{
		Name:            n.settings.Name,
		Incarnation:     incarnation,
		DataCentre:      n.settings.DataCentre,
		PeerAddress:     n.advertisedPeerAddr(),
		OperatorAddress: n.OperatorAddr(),
		VmInstance:      n.settings.VmInstance,
	}
	n.clock = timeline.NewClock(time.Now)
	n.recorder = timeline.NewRecorder(n.settings.Name, n.clock, timelineEvents)
	n.platform, err = platformclient.Dial(n.settings.Platform.Address, n.settings.Platform.CallTimeout.AsDuration())
	if err != nil {
		return err
	}
	n.pool = peer.NewPool()
	n.buildControlPlane()
	n.buildRequestPath()
	n.buildServers()
	return nil
}

// buildControlPlane creates membership, configuration watcher and ledger.
func (n *Node) buildControlPlane() {
	n.membership = membership.New(membership.Options{
		Self:          n.self,
		VMs:           n.platform,
		Seeds:         n.settings.PeerAddresses,
		SendHeartbeat: n.pool.Heartbeat,
		OnPeerVersion: func(m *pb.Member, version uint64) {
			n.config.NotifyPeerVersion(m, version)
		},
		Recorder: n.recorder,
		Clock:    n.clock,
		Log:      n.log,
		Now:      time.Now,
	})
	n.config = configwatch.New(configwatch.Options{
		Platform:     n.platform,
		Peers:        configPeers{n},
		IsPollTurn:   func(slot int64) bool { return n.membership.HasTurn(configPollTask, slot) },
		AllContacted: n.membership.AllContacted,
		OnInForce:    n.onConfig,
		Recorder:     n.recorder,
		Log:          n.log,
		Now:          time.Now,
	})
	n.ledger = ledger.New(ledger.Options{
		Self:            n.self,
		Tables:          n.platform,
		VMs:             n.platform,
		Peers:           ledgerPeers{n},
		Policy:          n.settings.Budget,
		WritesPerSecond: int(n.settings.Platform.WritesPerSecond),
		Recorder:        n.recorder,
		Log:             n.log,
		Now:             time.Now,
		Rand:            mathrand.New(mathrand.NewSource(int64(randomSeed()))),
	})
}

// buildRequestPath creates the routing table, the client for targets, the
// action runner, the dispatcher and the request server.
func (n *Node) buildRequestPath() {
	routing := n.settings.Routing
	n.routes = route.New(route.Options{
		DataCentre:  n.settings.DataCentre,
		Seed:        randomSeed(),
		MaxInFlight: int(routing.MaxInFlightPerTarget),
	})
	n.intakes = newIntakes(n)
	n.targets = target.New(target.Options{
		Room:             n.intakes.callers,
		FirstByteTimeout: routing.FirstByteTimeout.AsDuration(),
		TokenGapTimeout:  routing.TokenGapTimeout.AsDuration(),
		ConnectionMaxAge: routing.ConnectionMaxAge.AsDuration(),
		Log:              n.log,
	})
	n.actions = actionrunner.New(n.platform, actionrunner.Options{
		Incarnation: n.self.Incarnation,
		Recorder:    n.recorder,
		Log:         n.log,
	})
	retries := retry.NewBudget(int(routing.RetryBudgetPermille), retryBurst)
	n.dispatch = dispatch.New(n.routes, n.targets, retries, retry.DefaultPolicy())
	n.server = serve.New(serve.Options{
		Incarnation: n.self.Incarnation,
		Config:      n.current,
		Ledger:      n.ledger,
		Dispatch:    n.dispatch,
		Targets:     n.targets,
		Actions:     n.actions,
		Peers:       servePeers{n},
		Recorder:    n.recorder,
		Log:         n.log,
		ParkGrace:   n.settings.CallerLimits.ParkGrace.AsDuration(),
		Now:         time.Now,
	})
}

func (n *Node) buildServers() {
	n.callers = callerapi.New(callerapi.Options{
		Config:        n.current,
		RequestServer: n.server,
		Limits:        n.settings.CallerLimits,
		Recorder:      n.recorder,
		Log:           n.log,
		Now:           time.Now,
		Draining:      n.draining.Load,
	})
	n.callerHTTP = n.callers.HTTPServer()
	operators := operatorapi.New(n, n.recorder, n.settings.Doors.OperatorToken, n.vars)
	n.operatorHTTP = &http.Server{
		Handler: operators.Handler(), ReadHeaderTimeout: operatorReadTimeout, ReadTimeout: operatorReadTimeout,
		MaxHeaderBytes: operatorHeaderBytes, ConnState: intake.ConnState,
	}
	n.peerGRPC = peer.NewServer(n.membership, n.ledger, n.config, n.server)
}

const (
	// operatorReadTimeout bounds the reading of an operator's request, and
	// operatorHeaderBytes its header.
	operatorReadTimeout = 10 * time.Second
	operatorHeaderBytes = 16 << 10
)

// startBackground starts the servers and background loops. The ledger has its
// own context, since a graceful stop needs it after the other loops have ended.
func (n *Node) startBackground() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stopBackground = cancel
	ledgerCtx, cancelLedger := context.WithCancel(context.Background())
	n.stopLedger = cancelLedger
	n.background.Go(func() { n.logServerError("peer", n.peerGRPC.Serve(n.intakes.peers.Listener(n.peerLis))) })
	n.background.Go(func() {
		n.logServerError("operator", n.operatorHTTP.Serve(n.intakes.operators.Listener(n.operatorLis)))
	})
	n.background.Go(func() { n.logServerError("caller", n.callerHTTP.Serve(n.intakes.callers.Listener(n.callerLis))) })
	n.background.Go(func() { n.membership.Run(ctx) })
	n.background.Go(func() { n.config.Run(ctx) })
	n.background.Go(func() { n.logComponentError("ledger", n.ledger.Run(ledgerCtx)) })
	n.background.Go(func() { n.watchRoutes(ctx) })
	n.background.Go(func() { n.pollTargets(ctx) })
}

func (n *Node) logComponentError(name string, err error) {
	if err != nil && !isShutdownError(err) {
		n.log.Error("node: a component failed.", zap.String("part", name), zap.Error(err))
	}
}

func (n *Node) logServerError(name string, err error) {
	if err != nil && !isShutdownError(err) {
		n.log.Error("node: a server stopped unexpectedly.", zap.String("door", name), zap.Error(err))
	}
}

// CallerAddr returns the host:port of the caller listener.
func (n *Node) CallerAddr() string { return n.callerLis.Addr().String() }

// OperatorAddr returns the host:port of the operator listener.
func (n *Node) OperatorAddr() string { return n.operatorLis.Addr().String() }

// PeerAddr returns the host:port of the peer listener.
func (n *Node) PeerAddr() string { return n.peerLis.Addr().String() }

// advertisedPeerAddr returns the host:port that peers are told to call.
func (n *Node) advertisedPeerAddr() string {
	if n.settings.Doors.PeerAdvertised != "" {
		return n.settings.Doors.PeerAdvertised
	}
	return n.PeerAddr()
}

func newIncarnation() (string, error) {
	var b [incarnationBytes]byte
	_, err := rand.Read(b[:])
	if err != nil {
		return "", trace.Wrap(err)
	}
	return hex.EncodeToString(b[:]), nil
}

func randomSeed() uint64 {
	var b [8]byte
	_, err := rand.Read(b[:])
	if err != nil {
		panic(fmt.Sprintf("node: read random seed: %v", err))
	}
	return binary.LittleEndian.Uint64(b[:])
}
