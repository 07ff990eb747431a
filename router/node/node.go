// Package node wires the parts of one router: doors, configuration,
// membership, ledger, routing and the serving path, and gives them one life.
//
// A start opens the peer door first, so that peers can bring a configuration,
// and the caller door at once too: until a configuration is in force, calls
// are refused as not ready and the balancer is told so. A planned stop goes in
// this order: not ready, a notice period in which calls are still served,
// caller door closed, streams run to their end, bills settled, grants
// returned.
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
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/membership"
	"cuminrock.example/router/operatorapi"
	"cuminrock.example/router/peer"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/serve"
	"cuminrock.example/router/target"
)

const (
	// timelineEvents is the size of the ring of events; about 10 MB.
	timelineEvents = 32768
	// incarnationBytes is the size of the random name of one run.
	incarnationBytes = 16
	// retryBurst is how many retries the retry budget saves up.
	retryBurst = 20
	// configDuty names the reading of the change log among the duties that
	// one router of a data centre has at a time.
	configDuty = "config"
	// balancerNotice is how long calls are served after the balancer is told
	// to send no more.
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
	callerLis    net.Listener
	operatorLis  net.Listener
	peerLis      net.Listener

	// routed is set once the routing table holds the first configuration.
	work       conc.WaitGroup
	stopWork   context.CancelFunc
	stopLedger context.CancelFunc
	draining   atomic.Bool
	drainAsked chan struct{}

	// inForce is the configuration that requests are served by.
	inForce atomic.Pointer[config.View]
	changed chan struct{}
}

// Start starts a router with checked settings. It returns when the doors are
// open; Health tells when the router is ready.
func Start(settings *pb.RouterSettings, log *zap.Logger) (*Node, error) {
	n := &Node{settings: settings, log: log, vars: new(expvar.Map).Init(), drainAsked: make(chan struct{}), changed: make(chan struct{}, 1)}
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
	n.publish()
	n.run()
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
	n.callerLis, err = net.Listen("tcp", doors.Caller)
	if err != nil {
		return trace.Wrap(err, "opening the caller door")
	}
	n.operatorLis, err = net.Listen("tcp", doors.Operator)
	if err != nil {
		return trace.Wrap(err, "opening the operator door")
	}
	n.peerLis, err = net.Listen("tcp", doors.Peer)
	if err != nil {
		return trace.Wrap(err, "opening the peer door")
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
	n.buildControl()
	n.buildServing()
	n.buildDoors()
	return nil
}

// buildControl makes membership, configuration and ledger.
func (n *Node) buildControl() {
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
		IsPollTurn:   func(slot int64) bool { return n.membership.HasTurn(configDuty, slot) },
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
		Rand:            mathrand.New(mathrand.NewSource(int64(seed()))),
	})
}

// buildServing makes routing, the targets' client, actions and the path.
func (n *Node) buildServing() {
	routing := n.settings.Routing
	n.routes = route.New(route.Options{
		DataCentre:  n.settings.DataCentre,
		Seed:        seed(),
		MaxInFlight: int(routing.MaxInFlightPerTarget),
	})
	n.targets = target.New(target.Options{
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

func (n *Node) buildDoors() {
	n.callers = callerapi.New(callerapi.Options{
		Config:        n.current,
		RequestServer: n.server,
		Limits:        n.settings.CallerLimits,
		Recorder:      n.recorder,
		Log:           n.log,
		Now:           time.Now,
	})
	n.callerHTTP = n.callers.HTTPServer()
	operators := operatorapi.New(n, n.recorder, n.settings.Doors.OperatorToken, n.vars)
	n.operatorHTTP = &http.Server{Handler: operators.Handler(), ReadHeaderTimeout: operatorReadTimeout}
	n.peerGRPC = peer.NewServer(n.membership, n.ledger, n.config, n.server)
}

// operatorReadTimeout bounds the reading of an operator's request header.
const operatorReadTimeout = 10 * time.Second

// run starts the background work. The ledger's work has a life of its own: a
// planned stop still needs it after the rest has ended.
func (n *Node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stopWork = cancel
	ledgerCtx, cancelLedger := context.WithCancel(context.Background())
	n.stopLedger = cancelLedger
	n.work.Go(func() { n.serveDoor("peer", n.peerGRPC.Serve(n.peerLis)) })
	n.work.Go(func() { n.serveDoor("operator", n.operatorHTTP.Serve(n.operatorLis)) })
	n.work.Go(func() { n.serveDoor("caller", n.callerHTTP.Serve(n.callerLis)) })
	n.work.Go(func() { n.membership.Run(ctx) })
	n.work.Go(func() { n.config.Run(ctx) })
	n.work.Go(func() { n.part("ledger", n.ledger.Run(ledgerCtx)) })
	n.work.Go(func() { n.keepRoutes(ctx) })
	n.work.Go(func() { n.pollTargets(ctx) })
}

func (n *Node) part(name string, err error) {
	if err != nil && !isEnd(err) {
		n.log.Error("node: a part ended.", zap.String("part", name), zap.Error(err))
	}
}

func (n *Node) serveDoor(name string, err error) {
	if err != nil && !isEnd(err) {
		n.log.Error("node: a door closed.", zap.String("door", name), zap.Error(err))
	}
}

// CallerAddr returns the caller door's host:port.
func (n *Node) CallerAddr() string { return n.callerLis.Addr().String() }

// OperatorAddr returns the operator door's host:port.
func (n *Node) OperatorAddr() string { return n.operatorLis.Addr().String() }

// PeerAddr returns the peer door's host:port.
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

func seed() uint64 {
	var b [8]byte
	_, err := rand.Read(b[:])
	if err != nil {
		panic(fmt.Sprintf("node: the system's random source failed: %v", err))
	}
	return binary.LittleEndian.Uint64(b[:])
}
