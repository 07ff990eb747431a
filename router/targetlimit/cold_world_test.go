package targetlimit

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cuminrock.example/fleet/home"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/quarantine"
	"cuminrock.example/fleet/targetlimit"
)

// The platform's rule for cold targets: in any second at most coldPerSecond times overshoot
// requests and startSlack more, from all gateways.
const (
	coldPerSecond = 9.9
	overshoot     = 1.5
	startSlack    = 5
	coldBound     = coldPerSecond*overshoot + startSlack
	coldPeriod    = 20 * time.Second
	heartbeat     = time.Second
	// work is how long a target has a request.
	work = 2 * time.Second
)

// coldFault is a wrong mechanism.
type coldFault int

const (
	noColdFault coldFault = iota
	// shareEach is gateways that each issue a share with a burst, without a call.
	shareEach
	// unknownIsWarm is gateways that need no permits for targets that have just appeared.
	unknownIsWarm
	// noColdPermits is gateways that need no permits, as before there were any.
	noColdPermits
)

// coldCase is a load on the targets of one service.
type coldCase struct {
	gateways, targets int
	// perTarget is the number of requests a second for each target.
	perTarget float64
	// hot is the part of the requests whose shared prompt parts belong at one target.
	hot float64
}

// coldWorld is gateways and targets in simulated time. Each gateway reads entries late.
type coldWorld struct {
	coldCase
	fault coldFault
	ctx   context.Context

	mu       sync.Mutex
	random   *rand.Rand
	gateways []*coldGateway
	targets  []*coldTarget
	// unlisted are targets without an entry.
	unlisted map[string]bool
	dead     map[string]bool
	// cut reports whether one gateway doesn't reach another.
	cut func(from, to *coldGateway) bool
	// transit is the longest time from a permit to a request's arrival.
	transit  time.Duration
	served   int
	turned   int // requests without any target
	excess   int // most requests in a second while cold
	coldSent int
	calls    int // for permits, from one gateway to another
}

type coldGateway struct {
	home.Gateway
	homes   *home.Table
	limiter *Limiter
	table   *placement.Table
	known   map[string]placement.Target
	stop    context.CancelFunc
}

type coldTarget struct {
	placement.Target
	running   int
	coldUntil time.Time
	// down targets refuse connections.
	down bool
	// users has when gateways last sent a request.
	users   map[*coldGateway]time.Time
	arrived []time.Time
}

func playCold(t *testing.T, c coldCase, fault coldFault, seed uint64, play func(w *coldWorld)) *coldWorld {
	w := &coldWorld{coldCase: c, fault: fault, random: rand.New(rand.NewPCG(seed, 3)), unlisted: make(map[string]bool), dead: make(map[string]bool), transit: 250 * time.Millisecond, cut: func(_, _ *coldGateway) bool { return false }}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w.ctx = ctx
		for range c.targets {
			w.addTarget("")
		}
		for i := range c.gateways {
			w.gateways = append(w.gateways, w.newGateway(home.Gateway{Name: fmt.Sprintf("g%d", i), DataCentre: fmt.Sprintf("z%d", i%3), PeerAddress: fmt.Sprintf("a%d", i)}))
		}
		for _, g := range w.gateways {
			w.startGateway(g)
		}
		time.Sleep(3 * time.Second)
		play(w)
		cancel()
		time.Sleep(time.Minute) // all goroutines end
	})
	t.Logf("at most %d requests in a second at a cold target, %.2f allowed; %d sent to cold ones, %d in all, %d refused, %d calls", w.excess, coldBound, w.coldSent, w.served, w.turned, w.calls)
	return w
}

// addTarget adds a warm target without requests.
func (w *coldWorld) addTarget(dataCentre string) *coldTarget {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := len(w.targets)
	if dataCentre == "" {
		dataCentre = fmt.Sprintf("z%d", i%3)
	}
	t := &coldTarget{users: make(map[*coldGateway]time.Time), Target: placement.Target{ID: fmt.Sprintf("t%d", i), StartTimeMs: 1, Service: "s", Address: "a", DataCentre: dataCentre}}
	w.targets = append(w.targets, t)
	return t
}

// chill makes a target cold, as of now.
func (w *coldWorld) chill(t *coldTarget) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.coldUntil = time.Now().Add(coldPeriod)
}

// endProcess makes a target refuse connections. Gateways that lose an answer which has just
// begun check the target.
func (w *coldWorld) endProcess(t *coldTarget) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.down = true
	for g, last := range t.users {
		if time.Since(last) < quarantine.Probation {
			go g.limiter.ConnectionRefused(t.Target)
		}
	}
}

func (w *coldWorld) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// newGateway returns a gateway that knows nothing yet.
func (w *coldWorld) newGateway(self home.Gateway) *coldGateway {
	g := &coldGateway{Gateway: self, homes: home.New(self), table: placement.New(self.DataCentre), known: make(map[string]placement.Target)}
	rule := targetlimit.ColdRule{Bound: coldBound, Period: coldPeriod}
	switch w.fault {
	case shareEach:
		rule.Bound = (math.Ceil(coldBound/float64(w.coldCase.gateways)) + 1) / mainShareForTest
	case noColdPermits:
		rule = targetlimit.ColdRule{}
	}
	g.limiter = New(Options{
		Homes: g.homes, Alone: w.fault == shareEach, Peers: &fleetPeers{network: w, caller: self.Name}, Clock: localClock{},
		Cold:    func(string) targetlimit.ColdRule { return rule },
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(), Now: time.Now,
	})
	return g
}

// mainShareForTest is the part of a bound that a gateway without others issues.
const mainShareForTest = 0.46

// reach implements network.
func (w *coldWorld) reach(caller, address string) *Limiter {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	var from, to *coldGateway
	for _, g := range w.gateways {
		if g.Name == caller {
			from = g
		}
		if g.PeerAddress == address {
			to = g
		}
	}
	if from == nil || to == nil || w.dead[to.Name] || w.cut(from, to) {
		return nil
	}
	return to.limiter
}

// startGateway starts to follow the store, and to send requests.
func (w *coldWorld) startGateway(g *coldGateway) {
	ctx, stop := context.WithCancel(w.ctx)
	g.stop = stop
	w.mu.Lock()
	var registered []home.Gateway
	for _, other := range w.gateways {
		registered = append(registered, other.Gateway)
	}
	w.mu.Unlock()
	if w.fault != shareEach {
		g.homes.Update(registered)
		g.limiter.SetGateways(registered)
	}
	w.readEntries(g, true)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(w.between(600*time.Millisecond, 1400*time.Millisecond))
			w.readEntries(g, false)
		}
	}()
	go w.sendRequests(ctx, g)
}

// restart ends a gateway's run and begins another one.
func (w *coldWorld) restart(i int) {
	old := w.gateways[i]
	old.stop()
	g := w.newGateway(old.Gateway)
	w.set(func() { w.gateways[i] = g })
	w.startGateway(g)
}

func (w *coldWorld) between(least, most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

// readEntries gives a gateway the targets' entries, of which each was written up to
// a heartbeat ago. Its first list isn't taken as late.
func (w *coldWorld) readEntries(g *coldGateway, list bool) {
	w.mu.Lock()
	now := time.Now()
	entries := make(map[string]placement.Target)
	for _, t := range w.targets {
		if w.unlisted[t.ID] {
			continue
		}
		entry := t.Target
		written := now.Truncate(heartbeat)
		if list {
			written = now
		}
		entry.ColdFor = max(t.coldUntil.Sub(written), 0)
		if t.coldUntil.Sub(written) > coldPeriod {
			entry.ColdFor = 0 // written before it turned cold
		}
		entries[t.ID] = entry
	}
	w.mu.Unlock()
	all := make([]placement.Target, 0, len(entries))
	for _, t := range entries {
		all = append(all, t)
	}
	if list {
		g.limiter.ReplaceTargets(all)
	}
	for id := range g.known {
		if _, still := entries[id]; !still {
			g.limiter.DeleteTarget(id)
		}
	}
	if !list {
		for _, t := range all {
			_, known := g.known[t.ID]
			if w.fault == unknownIsWarm && !known {
				g.limiter.cold.Replace(append(all, t), time.Time{})
				g.limiter.cold.Answer(t, 0, time.Now(), time.Now())
				continue
			}
			g.limiter.WriteTarget(t)
		}
	}
	g.known = entries
	g.table.Update(all, now)
}

// sendRequests sends a gateway's requests until the context ends.
func (w *coldWorld) sendRequests(ctx context.Context, g *coldGateway) {
	perSecond := w.perTarget * float64(w.coldCase.targets) / float64(w.coldCase.gateways)
	for ctx.Err() == nil {
		w.mu.Lock()
		pause := w.random.ExpFloat64() / perSecond
		var affinity uint64
		if w.random.Float64() < w.hot {
			affinity = 7
		}
		w.mu.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Second)))
		go w.request(ctx, g, affinity)
	}
}

// request sends one request, as the relay does: to the first target with a permit.
func (w *coldWorld) request(ctx context.Context, g *coldGateway, affinity uint64) {
	var avoid func(placement.Target) bool
	for range 9 {
		r := &placement.Request{Service: "s", Affinity: affinity, Avoid: avoid, Now: time.Now()}
		if affinity != 0 {
			r.SharedTokens, r.PromptTokens = 5000, 6000
		}
		lease, err := g.table.Pick(r)
		if err != nil {
			break
		}
		permit := g.limiter.Acquire(ctx, lease.Target(), work)
		if permit.Granted {
			w.send(g, lease)
			return
		}
		lease.Defer(permit.RetryAfter, time.Now())
		if permit.Cold {
			avoid = g.limiter.Cold
		}
	}
	w.set(func() { w.turned++ })
}

// send sends a request to a target.
func (w *coldWorld) send(g *coldGateway, lease *placement.Lease) {
	w.mu.Lock()
	transit := w.transit
	w.mu.Unlock()
	time.Sleep(w.between(time.Millisecond, transit))
	w.mu.Lock()
	var t *coldTarget
	for _, other := range w.targets {
		if other.ID == lease.Target().ID {
			t = other
		}
	}
	if t.down {
		w.mu.Unlock()
		g.limiter.ConnectionRefused(lease.Target())
		lease.Done(placement.Unreachable, time.Now())
		return
	}
	w.arrive(t, time.Now())
	t.users[g] = time.Now()
	load := placement.Load{Running: t.running, Slots: 64}
	w.mu.Unlock()
	lease.ReportLoad(load, time.Now())
	lease.RecordProgress(time.Now())
	time.Sleep(work)
	w.set(func() { t.running-- })
	lease.Done(placement.OK, time.Now())
}

// arrive counts a request at a target. The lock is held.
func (w *coldWorld) arrive(t *coldTarget, now time.Time) {
	w.served++
	t.running++
	if !now.Before(t.coldUntil) {
		t.arrived = nil
		return
	}
	w.coldSent++
	t.arrived = append(t.arrived, now)
	for now.Sub(t.arrived[0]) >= time.Second {
		t.arrived = t.arrived[1:]
	}
	w.excess = max(w.excess, len(t.arrived))
}
