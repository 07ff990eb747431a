package targetlimit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/home"
	"cuminrock.example/fleet/placement"
)

// The platform's rule: from contactTime after a target first named its limit, it gets
// in any window at most tolerance times what the limit allows, and slack requests
// more, from the gateways that it told at least settleTime before.
const (
	contactTime = 4 * time.Second
	window      = 4 * time.Second
	tolerance   = 1.5
	slack       = 5
	settleTime  = 500 * time.Millisecond
)

// localClock is a platform clock that equals the local one.
type localClock struct{}

func (localClock) LowerBound(local time.Time) (int64, bool) { return local.UnixMilli(), true }
func (localClock) UpperBound(local time.Time) (int64, bool) { return local.UnixMilli(), true }

var errDead = errors.New("no response")

// limitFleet is gateways that send requests to one target, in simulated time.
type limitFleet struct {
	ctx      context.Context
	gateways []*limitGateway
	// selfish is a planted fault: each gateway issues its own permits.
	selfish bool

	mu   sync.Mutex
	dead map[string]bool
	// cut has, for the names of gateways, an address that they don't reach.
	cut    map[string]string
	target placement.Target
	// limit is what the target names now; 0 for none.
	limit   float64
	counted []time.Time
	total   int
}

type limitGateway struct {
	home.Gateway
	limiter *Limiter
	// toldAt is when the target first named its limit to this gateway.
	toldAt time.Time
}

// network finds the gateways that one of them reaches.
type network interface {
	// reach returns the limiter at an address, or nil if the caller doesn't reach it.
	reach(caller, address string) *Limiter
}

// fleetPeers is the other gateways as one of them reaches them.
type fleetPeers struct {
	network
	caller string
}

// Acquire implements Peers.
func (p *fleetPeers) Acquire(ctx context.Context, address string, req *pb.AcquirePermitRequest) (*pb.AcquirePermitResponse, error) {
	time.Sleep(time.Duration(1+rand.N(3)) * time.Millisecond)
	limiter := p.reach(p.caller, address)
	if limiter == nil {
		<-ctx.Done()
		return nil, errDead
	}
	return NewServer(limiter).Acquire(ctx, req)
}

// Release implements Peers.
func (p *fleetPeers) Release(ctx context.Context, address string, req *pb.ReleasePermitsRequest) error {
	time.Sleep(time.Duration(1+rand.N(3)) * time.Millisecond)
	limiter := p.reach(p.caller, address)
	if limiter == nil {
		<-ctx.Done()
		return errDead
	}
	_, err := NewServer(limiter).Release(ctx, req)
	return err
}

// reach implements network.
func (f *limitFleet) reach(caller, address string) *Limiter {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead[address] || f.cut[caller] == address {
		return nil
	}
	for _, g := range f.gateways {
		if g.PeerAddress == address {
			return g.limiter
		}
	}
	return nil
}

// newLimitFleet returns gateways in three data centres, all of which know each other.
func newLimitFleet(ctx context.Context, count int, selfish bool) *limitFleet {
	f := &limitFleet{ctx: ctx, selfish: selfish, dead: make(map[string]bool), cut: make(map[string]string), target: placement.Target{ID: "t", StartTimeMs: 1, DataCentre: "z0"}}
	var all []home.Gateway
	for i := range count {
		all = append(all, home.Gateway{Name: fmt.Sprintf("g%d", i), DataCentre: fmt.Sprintf("z%d", i%3), PeerAddress: fmt.Sprintf("a%d", i)})
	}
	for _, g := range all {
		f.add(g, all)
	}
	return f
}

// add adds a gateway that knows the registered ones.
func (f *limitFleet) add(self home.Gateway, registered []home.Gateway) *limitGateway {
	homes := home.New(self)
	if !f.selfish {
		homes.Update(registered)
	}
	g := &limitGateway{Gateway: self, limiter: New(Options{
		Homes: homes, Peers: &fleetPeers{network: f, caller: self.Name}, Clock: localClock{}, Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(), Now: time.Now,
	})}
	f.set(func() { f.gateways = append(f.gateways, g) })
	go g.limiter.Run(f.ctx)
	return g
}

// load makes a gateway send requests to the target, perSecond of them while it gets
// permits, until the context ends.
func (f *limitFleet) load(g *limitGateway, perSecond float64) {
	for f.ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		f.mu.Lock()
		target := f.target
		f.mu.Unlock()
		permit := g.limiter.Acquire(f.ctx, target, time.Second)
		if !permit.Granted {
			time.Sleep(permit.RetryAfter)
			continue
		}
		f.send(g, target)
	}
}

// send sends one request.
func (f *limitFleet) send(g *limitGateway, target placement.Target) {
	sent := time.Now()
	f.mu.Lock()
	f.total++
	if !g.toldAt.IsZero() && sent.Sub(g.toldAt) >= settleTime {
		f.counted = append(f.counted, sent)
	}
	limit := f.limit
	f.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	f.mu.Lock()
	if limit > 0 && g.toldAt.IsZero() {
		g.toldAt = time.Now()
	}
	f.mu.Unlock()
	g.limiter.Answered(target, placement.Announcement{Limit: limit}, nil, sent)
}

func (f *limitFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// mostInWindow returns the most requests in any window that begins after a time.
func (f *limitFleet) mostInWindow(after time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most, begin := 0, 0
	for end, at := range f.counted {
		for at.Sub(f.counted[begin]) >= window || f.counted[begin].Before(after) && begin < end {
			begin++
		}
		most = max(most, end-begin+1)
	}
	return most
}

// sent returns the number of requests so far, of which the gateways that were told
// sent counted.
func (f *limitFleet) sent() (total, counted int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total, len(f.counted)
}

func allowed(limit float64) int { return int(tolerance*limit*window.Seconds()) + slack }

// limitCase is a load in which a target names a limit from the start on.
type limitCase struct {
	name     string
	gateways int
	limit    float64
	// perGateway is the number of requests a second that each gateway wants to send.
	perGateway float64
	selfish    bool
}

// demand returns the number of requests that all gateways want to send in some
// seconds.
func (c *limitCase) demand(seconds float64) float64 {
	return float64(c.gateways) * c.perGateway * seconds
}

var limitCases = []limitCase{
	{name: "as in the incident", gateways: 7, limit: 1.3, perGateway: 1},
	{name: "high limit", gateways: 7, limit: 40, perGateway: 20},
	{name: "hundreds of gateways, below one a second", gateways: 300, limit: 0.5, perGateway: 0.5},
	{name: "hundreds of gateways, above one a second", gateways: 300, limit: 3, perGateway: 0.5},
}

// inLimitFleet runs a test in simulated time, with the load of all gateways.
func inLimitFleet(t *testing.T, c limitCase, test func(f *limitFleet, is *is.I)) {
	t.Run(c.name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer func() {
				cancel()
				time.Sleep(time.Minute) // all goroutines end
			}()
			f := newLimitFleet(ctx, c.gateways, c.selfish)
			f.limit = c.limit
			for _, g := range f.gateways {
				go f.load(g, c.perGateway)
			}
			test(f, is.New(t))
		})
	})
}

// Guards against incident second1 (LIMIT).
func TestLimitIsSharedByAllGateways(t *testing.T) {
	for _, c := range limitCases {
		inLimitFleet(t, c, func(f *limitFleet, is *is.I) {
			start := time.Now()
			time.Sleep(60 * time.Second)
			is.True(f.mostInWindow(start.Add(contactTime)) <= allowed(c.limit))
			_, counted := f.sent()
			is.True(float64(counted) > c.limit*60/2) // the limit is used
		})
	}
}

// Gateways that each send the whole limit are noticed.
func TestPlantedFaultBreaksTheLimit(t *testing.T) {
	for _, c := range limitCases {
		c.selfish = true
		inLimitFleet(t, c, func(f *limitFleet, is *is.I) {
			start := time.Now()
			time.Sleep(60 * time.Second)
			is.True(f.mostInWindow(start.Add(contactTime)) > allowed(c.limit))
		})
	}
}

// issuerOf returns the gateway that issues the target's permits.
func (f *limitFleet) issuerOf(target placement.Target) string {
	first, _ := f.gateways[0].limiter.Homes.First(target.ID, target.DataCentre)
	return first.PeerAddress
}

// The gateway that issues the permits dies, and returns later.
func TestLimitHoldsWhenTheIssuerChanges(t *testing.T) {
	for _, c := range limitCases {
		inLimitFleet(t, c, func(f *limitFleet, is *is.I) {
			start := time.Now()
			time.Sleep(20 * time.Second)
			issuer := f.issuerOf(f.target)
			f.set(func() { f.dead[issuer] = true })
			time.Sleep(20 * time.Second)
			_, before := f.sent()
			time.Sleep(20 * time.Second)
			_, after := f.sent()
			is.True(after > before) // another issues permits
			f.set(func() { f.dead[issuer] = false })
			time.Sleep(20 * time.Second)
			is.True(f.mostInWindow(start.Add(contactTime)) <= allowed(c.limit))
		})
	}
}

// Half of the gateways don't reach the issuer, so that two gateways issue permits.
func TestLimitHoldsWithTwoIssuers(t *testing.T) {
	for _, c := range limitCases {
		inLimitFleet(t, c, func(f *limitFleet, is *is.I) {
			start := time.Now()
			issuer := f.issuerOf(f.target)
			f.set(func() {
				for i, g := range f.gateways {
					if i%2 == 0 {
						f.cut[g.Name] = issuer
					}
				}
			})
			time.Sleep(60 * time.Second)
			is.True(f.mostInWindow(start.Add(contactTime)) <= allowed(c.limit))
		})
	}
}

// A target that no longer names a limit gets requests without permits, from all.
func TestLimitEndsWhenTheTargetNamesNone(t *testing.T) {
	for _, c := range limitCases {
		inLimitFleet(t, c, func(f *limitFleet, is *is.I) {
			time.Sleep(20 * time.Second)
			f.set(func() { f.limit = 0 })
			time.Sleep(20 * time.Second)
			before, _ := f.sent()
			time.Sleep(10 * time.Second)
			after, _ := f.sent()
			is.True(float64(after-before) > c.demand(10)/2)
		})
	}
}

// A limit doesn't outlive its process, and the next process is held to its own.
func TestLimitEndsWithTheProcess(t *testing.T) {
	for _, c := range limitCases {
		inLimitFleet(t, c, func(f *limitFleet, is *is.I) {
			time.Sleep(20 * time.Second)
			f.set(func() {
				f.target.StartTimeMs++
				f.limit = 0
			})
			time.Sleep(time.Second)
			before, _ := f.sent()
			time.Sleep(10 * time.Second)
			after, _ := f.sent()
			is.True(float64(after-before) > c.demand(10)/2)
		})
	}
}

// A target that lowers its limit is held to the new one.
func TestLoweredLimit(t *testing.T) {
	for _, c := range limitCases {
		inLimitFleet(t, c, func(f *limitFleet, is *is.I) {
			time.Sleep(20 * time.Second)
			f.set(func() { f.limit = c.limit / 4 })
			lowered := time.Now()
			time.Sleep(60 * time.Second)
			is.True(f.mostInWindow(lowered.Add(2*contactTime)) <= allowed(c.limit/4))
		})
	}
}

// A gateway that starts late isn't registered yet, and asks those that are.
func TestGatewayThatStartsLate(t *testing.T) {
	for _, c := range limitCases {
		inLimitFleet(t, c, func(f *limitFleet, is *is.I) {
			start := time.Now()
			time.Sleep(20 * time.Second)
			var registered []home.Gateway
			f.set(func() {
				for _, g := range f.gateways {
					registered = append(registered, g.Gateway)
				}
			})
			for i := range 3 {
				late := f.add(home.Gateway{Name: fmt.Sprintf("late%d", i), DataCentre: "z0", PeerAddress: fmt.Sprintf("late%d", i)}, registered)
				for range 5 {
					go f.load(late, c.perGateway)
				}
			}
			time.Sleep(40 * time.Second)
			is.True(f.mostInWindow(start.Add(contactTime)) <= allowed(c.limit))
		})
	}
}
