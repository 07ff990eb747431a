package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/egress"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/forwarding"
	"cuminrock.example/fleet/home"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/quarantine"
	"cuminrock.example/fleet/retry"
	"cuminrock.example/fleet/streamorigin"
	"cuminrock.example/fleet/targetlimit"
	"cuminrock.example/router/prepaid"
	"cuminrock.example/router/reachability"
	"cuminrock.example/router/relay"
)

// world is gateways and targets in simulated time.
type world struct {
	t        *testing.T
	random   *rand.Rand
	gateways []*simGateway
	targets  []placement.Target

	mu sync.Mutex
	// runs counts by request id how often a target began to run it.
	runs map[string]int
	// byTarget counts the runs of each target.
	byTarget map[string]int
	// lateArrivals counts requests that reach a target after it began to leave.
	lateArrivals int
	leavingAt    map[string]time.Time
	// crashes counts the targets that a gateway took for ended; none ever ends.
	crashes atomic.Int32
	// kills is the number of gateways that are still to be killed, each while a target
	// runs a request that it has passed on and that must run at most once.
	kills atomic.Int32
}

// simGateway is a gateway with all but its listeners and the store.
type simGateway struct {
	world   *world
	name    string
	relay   *relay.Relay
	targets *placement.Table
	monitor *reachability.Monitor
	client  *Client
	server  *Server
	budgets *billing
	crashes *crashLog

	mu    sync.Mutex
	links linkState
	// alone is set while no other gateway is reached.
	alone bool
	// killed is closed, and dead set, when the gateway's process ends.
	killed chan struct{}
	dead   atomic.Bool
}

// plan is what of a gateway's mechanism is replaced by a wrong one.
type plan struct {
	// neverForward is a gateway that doesn't pass requests on.
	neverForward bool
	// acceptAlways passes requests on although it is cut off itself.
	acceptAlways bool
	// resendLost takes the loss of the other gateway for a request that wasn't sent.
	resendLost bool
	// refusedIsEnded takes a refused connection for the end of its target.
	refusedIsEnded bool
}

const dataCentres = 5

// newWorld starts n gateways in up to five data centres, with targets of two services.
// All goroutines end with ctx.
func newWorld(ctx context.Context, t *testing.T, n int, wrong plan, seed uint64) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), runs: make(map[string]int), byTarget: make(map[string]int), leavingAt: make(map[string]time.Time)}
	for i := range 10 {
		service := "model"
		if i%3 == 0 {
			service = "plain"
		}
		id := fmt.Sprintf("t%d", i)
		w.targets = append(w.targets, placement.Target{ID: id, StartTimeMs: 1, Service: service, Address: id, DataCentre: dataCentre(i)})
	}
	var registered []home.Gateway
	for i := range n {
		name := fmt.Sprintf("g%d", i)
		registered = append(registered, home.Gateway{Name: name, DataCentre: dataCentre(i), PeerAddress: name})
	}
	for _, self := range registered {
		w.gateways = append(w.gateways, w.newGateway(ctx, self, registered, wrong))
	}
	return w
}

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%dataCentres) }

// simCatalog has a resumable stream, a route of requests that run at most once, and one
// of requests that may be repeated.
func simCatalog() *catalog.Catalog {
	route := func(name, service string, kind catalog.Kind, resumable bool) *catalog.Route {
		return &catalog.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Resumable: resumable, Public: true, MaxAttempts: 2,
			Timeout: 3 * time.Second, LatencyGoal: 500 * time.Millisecond, EventGapGoal: 400 * time.Millisecond, Shares: []catalog.Share{{Service: service, Weight: 1}}}
	}
	return catalog.New(catalog.Spec{Version: 1,
		Routes:   []*catalog.Route{route("stream", "model", catalog.Stream, true), route("once", "plain", catalog.AtMostOnce, false), route("repeat", "plain", catalog.Idempotent, false)},
		Services: []*catalog.Service{{Name: "model"}, {Name: "plain"}}})
}

func (w *world) newGateway(ctx context.Context, self home.Gateway, registered []home.Gateway, wrong plan) *simGateway {
	g := &simGateway{world: w, name: self.Name, targets: placement.New(self.DataCentre), budgets: &billing{}, crashes: &crashLog{}, killed: make(chan struct{})}
	g.targets.Update(w.targets, time.Now())
	direct := &simUpstream{gateway: g}
	g.monitor = reachability.New(reachability.Options{
		Connect: g.connect, Targets: g.targets.Targets, OnChange: func(bool) { g.targets.ForgetFailures(time.Now()) },
		Metrics: reachability.NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(), Now: time.Now,
	})
	go g.monitor.Run(ctx)
	var known Reachability = g.monitor
	if wrong.neverForward {
		known = neverCutOff{g.monitor}
	}
	gateways := forwarding.New(self)
	gateways.Update(registered)
	metrics := NewMetrics(prometheus.NewRegistry())
	g.client = NewClient(Options{Direct: direct, Reachability: known, ConnectionRefused: g.connectionRefused, Evacuated: g.targets.Evacuated, Gateways: gateways, Peers: &simPeers{world: w, caller: g}, Metrics: metrics, Log: zap.NewNop(), Now: time.Now})
	go g.client.Run(ctx)
	served := known
	if wrong.acceptAlways {
		served = neverCutOff{g.monitor}
	}
	g.crashes.check = func(target placement.Target) {
		ended := g.client.TargetEnded(ctx, target.Address)
		if wrong.refusedIsEnded {
			ended = g.connectionRefused(ctx, target.Address)
		}
		if ended {
			w.crashes.Add(1)
		}
	}
	g.server = NewServer(ServerOptions{
		Targets: g.targets, Upstream: direct, Reachability: served,
		ConnectionRefused: g.connectionRefused,
		Overloaded:        func(bool) bool { return false }, Egress: egress.NewMeter(0), Metrics: metrics, Log: zap.NewNop(), Now: time.Now,
	})
	var upstream relay.Upstream = g.client
	if wrong.resendLost {
		upstream = resendLost{g.client}
	}
	c := simCatalog()
	g.relay = relay.New(relay.Options{
		Catalog: func() *catalog.Catalog { return c }, Targets: g.targets, Budgets: g.budgets, Retries: retry.NewBudgets(160, 4), Upstream: upstream,
		Crashes: g.crashes, Origins: noOrigins{}, Limits: noLimits{}, Overloaded: func(bool) bool { return false }, Egress: egress.NewMeter(0),
		Metrics: relay.NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(), Now: time.Now,
	})
	return g
}

// neverCutOff is a monitor that never finds that its gateway is cut off.
type neverCutOff struct{ *reachability.Monitor }

func (neverCutOff) CutOff() bool { return false }

func (neverCutOff) AwaitVerdict(context.Context) bool { return false }

// resendLost takes the loss of a gateway for a target that couldn't be reached.
type resendLost struct{ relay.Upstream }

func (u resendLost) Send(ctx context.Context, s *relay.UpstreamRequest) (relay.UpstreamResponse, error) {
	response, err := u.Upstream.Send(ctx, s)
	if err != nil && strings.Contains(err.Error(), "was lost") {
		err = errkind.New(errkind.TargetUnreachable, "lost")
	}
	return response, err
}

// fraction returns a random number from 0 up to 1.
func (w *world) fraction() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64()
}

// run records that a target begins to run a request.
func (w *world) run(s *relay.UpstreamRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[s.Request.ID]++
	w.byTarget[s.Target.ID]++
	at, leaving := w.leavingAt[s.Target.ID]
	if leaving && time.Now().After(at) {
		w.lateArrivals++
	}
}

// kill ends the gateway's process.
func (g *simGateway) kill() {
	g.dead.Store(true)
	close(g.killed)
}

func (g *simGateway) isKilled() bool { return g.dead.Load() }

// billing is a Budgets that counts reservations and settlements.
type billing struct {
	mu                sync.Mutex
	reserved, settled int
	// twice counts reservations that were settled more than once.
	twice int
}

// Reserve implements relay.Budgets.
func (b *billing) Reserve(_ context.Context, id string, _ *catalog.Workspace, _ int64, _ int, _ time.Duration) (prepaid.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved++
	return &bill{billing: b}, nil
}

type bill struct {
	billing *billing
	settled bool
}

// Settle implements prepaid.Reservation.
func (s *bill) Settle(int64) {
	s.billing.mu.Lock()
	defer s.billing.mu.Unlock()
	if s.settled {
		s.billing.twice++
	}
	s.settled = true
	s.billing.settled++
}

// crashLog is a CrashGuard that checks the targets of lost connections.
type crashLog struct {
	check func(target placement.Target)
}

func (*crashLog) Refusal([]quarantine.Trait) *errkind.Error { return nil }

func (*crashLog) Answered([]quarantine.Trait, time.Time) {}

func (*crashLog) AnsweredUnlessCrashed(quarantine.Exchange, time.Time) {}

func (c *crashLog) ConnectionLost(e quarantine.Exchange) {
	go c.check(e.Target)
}

// noOrigins is a StreamOrigins of streams that callers never take up.
type noOrigins struct{}

func (noOrigins) Expect(streamorigin.Stream, string, time.Time) {}

func (noOrigins) Began(context.Context, streamorigin.Stream, string, time.Time) bool { return true }

func (noOrigins) MayBegin(string, string) bool { return true }

func (noOrigins) AwaitVersion(context.Context, string) bool { return false }

func (noOrigins) SoleVersion(context.Context, string, time.Duration) (string, bool) { return "", true }

func (noOrigins) Covers(string, time.Duration) bool { return true }

func (noOrigins) BrokeOff() {}

func (noOrigins) Version(context.Context, streamorigin.Stream) (string, bool) {
	return "", false
}

// noLimits is a TargetLimits of targets without limits.
type noLimits struct{}

func (noLimits) Acquire(context.Context, placement.Target, time.Duration) targetlimit.Permit {
	return targetlimit.Permit{Granted: true}
}

func (noLimits) Cold(placement.Target) bool { return false }

func (noLimits) ConnectionRefused(placement.Target) {}

func (noLimits) Answered(placement.Target, placement.Announcement, *placement.Load, time.Time) {}

func (noLimits) Release(placement.Target, targetlimit.Permit, targetlimit.Outcome) {}
