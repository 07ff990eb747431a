package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/streamorigin"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/platformclient/platformfake"
)

// storeClock is a platform clock that is a constant ahead of the local one.
type storeClock struct{}

func (storeClock) LowerBound(local time.Time) (int64, bool) { return local.UnixMilli() + 1000, true }
func (storeClock) UpperBound(local time.Time) (int64, bool) { return local.UnixMilli() + 1000, true }

var errCut = errors.New("cut off from the store")

// link is a gateway's link to the store. It counts calls.
type link struct {
	platformclient.TableStore
	cut   atomic.Bool
	calls atomic.Int64
}

func (l *link) begin() error {
	l.calls.Add(1)
	time.Sleep(5 * time.Millisecond)
	if l.cut.Load() {
		return errCut
	}
	return nil
}

func (l *link) Read(ctx context.Context, keys ...string) ([]*pb.Row, error) {
	err := l.begin()
	if err != nil {
		return nil, err
	}
	return l.TableStore.Read(ctx, keys...)
}

func (l *link) Scan(ctx context.Context, prefix, after string, limit int) ([]*pb.Row, bool, error) {
	err := l.begin()
	if err != nil {
		return nil, false, err
	}
	return l.TableStore.Scan(ctx, prefix, after, limit)
}

func (l *link) Commit(ctx context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	err := l.begin()
	if err != nil {
		return nil, err
	}
	return l.TableStore.Commit(ctx, txn)
}

// gateway is one gateway. Its registry is nil while it is down.
type gateway struct {
	name string
	link *link

	mu       sync.Mutex
	registry *Registry
	kill     context.CancelFunc
	// killed is closed when the run ends.
	killed <-chan struct{}
}

// scenario is a simulated deployment.
type scenario struct {
	seed     uint64
	gateways int
	// rate is the number of streams that begin at each gateway in a second.
	rate float64
	// breaks is the share of streams that break off before their end.
	breaks float64

	// Planted faults: gateways that know their own streams only, and that take a
	// stream they don't know for one of the newest version.
	unshared, guess bool
}

// outcome counts what callers saw.
type outcome struct {
	begun, takenUp, goneOn, mixed atomic.Int64
	// mostCalls is the largest number of calls of one gateway in a second of the run.
	mostCalls float64
}

const (
	runTime = 30 * time.Second
	// deadline is how long a stream may last.
	deadline = 15 * time.Second
	// maxTakeovers is how often a caller takes up one stream.
	maxTakeovers = 3
)

// sim runs a scenario.
type sim struct {
	scenario
	ctx      context.Context
	store    *platformfake.Fake
	gateways []*gateway
	running  sync.WaitGroup
	outcome  outcome

	mu  sync.Mutex
	rng *rand.Rand
}

// run runs the scenario in simulated time: streams of two versions begin at all
// gateways; a fifth of the gateways is killed, one of them for good; one is cut off from
// the store; one starts late.
func run(t *testing.T, sc scenario) *outcome {
	s := &sim{scenario: sc, store: &platformfake.Fake{}, rng: rand.New(rand.NewPCG(sc.seed, 1))}
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		s.ctx = ctx
		for i := range sc.gateways {
			g := &gateway{name: fmt.Sprintf("g%d", i), link: &link{TableStore: s.store}}
			s.gateways = append(s.gateways, g)
			s.start(g)
			s.running.Go(func() { s.beginStreams(g) })
		}
		s.running.Go(s.disturb)
		s.running.Wait()
		took = time.Since(began)
		cancel()
		synctest.Wait()
	})
	for _, g := range s.gateways {
		s.outcome.mostCalls = max(s.outcome.mostCalls, float64(g.link.calls.Load())/took.Seconds())
	}
	return &s.outcome
}

func (s *sim) start(g *gateway) {
	ctx, kill := context.WithCancel(s.ctx)
	r := New(Options{Gateway: g.name, Tables: g.link, Clock: storeClock{}, Log: zap.NewNop(), Now: time.Now})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry, g.kill, g.killed = r, kill, ctx.Done()
	go r.Run(ctx)
}

func (g *gateway) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry = nil
	g.kill()
}

// run returns the current run, nil if the gateway is down.
func (g *gateway) run() (*Registry, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry, g.killed
}

// disturb kills, cuts and adds gateways.
func (s *sim) disturb() {
	for i := 0; i < len(s.gateways); i += 5 {
		g := s.gateways[i]
		s.running.Go(func() {
			time.Sleep(time.Duration(5+i%10) * time.Second)
			g.stop()
			if i > 0 {
				time.Sleep(time.Second)
				s.start(g)
			}
		})
	}
	cut := s.gateways[1]
	time.Sleep(8 * time.Second)
	cut.link.cut.Store(true)
	time.Sleep(6 * time.Second)
	cut.link.cut.Store(false)
}

func (s *sim) float() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// between returns a random time.
func (s *sim) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.float()*float64(to-from))
}

func (s *sim) beginStreams(g *gateway) {
	for i, end := 0, time.Now().Add(runTime); time.Now().Before(end); i++ {
		time.Sleep(time.Duration((0.5 + s.float()) / s.rate * float64(time.Second)))
		registry, killed := g.run()
		if registry == nil {
			continue
		}
		version := fmt.Sprintf("v%d", 1+int(s.float()*2))
		stream := streamorigin.StreamOf("w", fmt.Sprintf("%s/%d", g.name, i))
		registry.Began(stream, version, time.Now().Add(deadline))
		s.outcome.begun.Add(1)
		s.running.Go(func() { s.forward(stream, version, registry, killed, maxTakeovers) })
	}
}

// forward lets a stream go on at a gateway until it ends, breaks off, or its gateway is
// killed. Then its caller takes it up elsewhere.
func (s *sim) forward(stream streamorigin.Stream, version string, registry *Registry, killed <-chan struct{}, takeovers int) {
	broke := s.float() < s.breaks
	select {
	case <-killed:
	case <-time.After(s.between(300*time.Millisecond, 4*time.Second)):
		if !broke {
			return
		}
		registry.BrokeOff()
	}
	if takeovers == 0 {
		return
	}
	time.Sleep(s.between(10*time.Millisecond, 60*time.Millisecond))
	g := s.gateways[int(s.float()*float64(len(s.gateways)))]
	next, killed := g.run()
	if next == nil || g.link.cut.Load() {
		return
	}
	s.outcome.takenUp.Add(1)
	found, known := s.version(next, stream)
	if !known {
		return
	}
	s.outcome.goneOn.Add(1)
	if found != version {
		s.outcome.mixed.Add(1)
	}
	next.Began(stream, found, time.Now().Add(deadline))
	s.forward(stream, version, next, killed, takeovers-1)
}

// version asks a gateway where a stream began.
func (s *sim) version(r *Registry, stream streamorigin.Stream) (string, bool) {
	if s.unshared || s.guess {
		version, known := r.origins.Version(stream, time.Now().UnixMilli()+1000)
		if s.guess && !known {
			return "v2", true
		}
		return version, known
	}
	ctx, cancel := context.WithTimeout(s.ctx, deadline)
	defer cancel()
	return r.Version(ctx, stream)
}

var (
	small = scenario{gateways: 7, rate: 8, breaks: 0.2}
	large = scenario{gateways: 300, rate: 1, breaks: 0.1}
)

func forEachSeed(t *testing.T, check func(t *testing.T, o *outcome), scenarios ...scenario) {
	for _, sc := range scenarios {
		for seed := range uint64(*seeds) {
			sc.seed = seed
			t.Run(fmt.Sprintf("gateways %d seed %d", sc.gateways, seed), func(t *testing.T) {
				o := run(t, sc)
				t.Logf("begun %d, taken up %d, gone on %d, mixed %d, calls %.1f a second", o.begun.Load(), o.takenUp.Load(), o.goneOn.Load(), o.mixed.Load(), o.mostCalls)
				check(t, o)
			})
		}
	}
}
