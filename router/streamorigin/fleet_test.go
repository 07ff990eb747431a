package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
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
	"cuminrock.example/router/wait"
)

// storeClock is a platform clock that is a constant ahead of the local one.
type storeClock struct{}

func (storeClock) LowerBound(local time.Time) (int64, bool) { return local.UnixMilli() + 1000, true }
func (storeClock) UpperBound(local time.Time) (int64, bool) { return local.UnixMilli() + 1000, true }

// runClock is the platform clock as one run of a gateway knows it: only once a call has got
// a response.
type runClock struct {
	storeClock
	answered *atomic.Bool
}

func (c runClock) LowerBound(local time.Time) (int64, bool) {
	nowMs, _ := c.storeClock.LowerBound(local)
	return nowMs, c.answered.Load()
}

var errCut = errors.New("cut off from the store")

// link is a gateway's link to the store. It counts calls.
type link struct {
	platformclient.TableStore
	cut      atomic.Bool
	answered atomic.Bool
	// extra is added to the time that calls take, and extraWrite to that of writes.
	extra, extraWrite atomic.Int64
	calls             atomic.Int64
}

func (l *link) begin(ctx context.Context) error {
	l.calls.Add(1)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(5*time.Millisecond + time.Duration(l.extra.Load())):
	}
	if l.cut.Load() {
		return errCut
	}
	l.answered.Store(true)
	return nil
}

func (l *link) Read(ctx context.Context, keys ...string) ([]*pb.Row, error) {
	err := l.begin(ctx)
	if err != nil {
		return nil, err
	}
	return l.TableStore.Read(ctx, keys...)
}

func (l *link) Scan(ctx context.Context, prefix, after string, limit int) ([]*pb.Row, bool, error) {
	err := l.begin(ctx)
	if err != nil {
		return nil, false, err
	}
	return l.TableStore.Scan(ctx, prefix, after, limit)
}

func (l *link) Commit(ctx context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	if !wait.For(ctx, time.Duration(l.extraWrite.Load())) {
		return nil, ctx.Err()
	}
	err := l.begin(ctx)
	if err != nil {
		return nil, err
	}
	return l.TableStore.Commit(ctx, txn)
}

// gateway is one gateway. Its run is nil while it is down.
type gateway struct {
	name string
	link *link

	mu  sync.Mutex
	run *gatewayRun
}

// gatewayRun is one run of a gateway.
type gatewayRun struct {
	*Registry
	kill   context.CancelFunc
	killed <-chan struct{}
	// listed has the versions of the listed targets, nil before the first list.
	listed atomic.Pointer[[]string]
	// seen has all versions that this run has listed.
	seen sync.Map
}

// scenario is a simulated deployment.
type scenario struct {
	seed     uint64
	gateways int
	// rate is the number of streams that begin at each gateway in a second.
	rate float64
	// breaks is the share of streams that break off before their end.
	breaks float64
	// kills are the times at which all gateways are killed; a few gateways, one of them for
	// good, if there are none. For startTime after each kill the calls of the store are slow,
	// or fail from answerTime after each start on.
	kills            []time.Duration
	slow, slowWrites time.Duration
	away             bool
	// change is when targets of the second version start; from overlap later on those of the
	// first have left. If it is 0, there are two versions all the time.
	change  time.Duration
	single  bool
	unnamed float64
	// retries is the number of takeovers of a stream that its caller sends at once.
	retries int

	// Planted faults: gateways that know their own streams only; that take a stream they
	// don't know for one of the newest version, or for one of the only version that their
	// run has seen; that take a failed read for an unknown stream; that begin streams at
	// versions that aren't recorded.
	unshared, guess, remember, impatient, ungated bool
}

// outcome counts what callers saw.
type outcome struct {
	// asked are new streams, refused those that no version might begin.
	asked, refused, begun atomic.Int64
	// takenUp are the streams that were taken up while targets of their version served.
	takenUp, goneOn, mixed        atomic.Int64
	unnamedTakenUp, unnamedGoneOn atomic.Int64
	// mostCalls is the largest number of calls of one gateway in a second of the run, and
	// calls that of all gateways together.
	mostCalls, calls float64
}

const (
	runTime = 30 * time.Second
	// deadline is how long a stream may last.
	deadline = 15 * time.Second
	// maxTakeovers is how often a caller takes up one stream.
	maxTakeovers = 3
	// overlap is how long two versions serve together in a change.
	overlap = 4 * time.Second
	// startTime is how long the store is slow or away after a kill of all gateways.
	startTime  = 1500 * time.Millisecond
	answerTime = 50 * time.Millisecond
)

// sim runs a scenario.
type sim struct {
	scenario
	ctx      context.Context
	began    time.Time
	store    *platformfake.Fake
	gateways []*gateway
	running  sync.WaitGroup
	outcome  outcome

	mu  sync.Mutex
	rng *rand.Rand
}

// run runs the scenario in simulated time. Streams begin at all gateways. Without kills of
// all, a fifth of the gateways is killed, one of them for good, and one is cut off from the
// store.
func run(t *testing.T, sc scenario) *outcome {
	s := &sim{scenario: sc, store: &platformfake.Fake{}, rng: rand.New(rand.NewPCG(sc.seed, 1))}
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		s.began = time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		s.ctx = ctx
		for i := range sc.gateways {
			g := &gateway{name: fmt.Sprintf("g%d", i), link: &link{TableStore: s.store}}
			s.gateways = append(s.gateways, g)
			s.start(g)
			s.running.Go(func() { s.beginStreams(g) })
		}
		if sc.kills == nil {
			s.running.Go(s.disturb)
		} else {
			s.running.Go(s.killAll)
		}
		s.running.Wait()
		took = time.Since(s.began)
		cancel()
		synctest.Wait()
	})
	for _, g := range s.gateways {
		s.outcome.mostCalls = max(s.outcome.mostCalls, float64(g.link.calls.Load())/took.Seconds())
		s.outcome.calls += float64(g.link.calls.Load()) / took.Seconds()
	}
	return &s.outcome
}

// serving returns the versions of the targets that serve now.
func (s *sim) serving() []string {
	since := time.Since(s.began)
	switch {
	case s.single, s.change > 0 && since < s.change:
		return []string{"v1"}
	case s.change > 0 && since > s.change+overlap:
		return []string{"v2"}
	default:
		return []string{"v1", "v2"}
	}
}

func (s *sim) start(g *gateway) {
	ctx, kill := context.WithCancel(s.ctx)
	g.link.answered.Store(false)
	r := &gatewayRun{kill: kill, killed: ctx.Done(), Registry: New(Options{
		Gateway: g.name, Tables: g.link, Clock: runClock{answered: &g.link.answered}, Gateways: func() int { return s.scenario.gateways }, Log: zap.NewNop(), Now: time.Now,
	})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run = r
	go r.Run(ctx)
	go s.follow(ctx, g, r)
}

// follow lists the targets as a gateway sees them, half a second late.
func (s *sim) follow(ctx context.Context, g *gateway, r *gatewayRun) {
	wait.For(ctx, time.Duration(g.link.extra.Load()))
	for ctx.Err() == nil {
		if !g.link.cut.Load() {
			serving := s.serving()
			for _, version := range serving {
				r.seen.Store(version, true)
			}
			r.SetListed(map[string][]string{"s": serving})
			r.listed.Store(&serving)
		}
		wait.For(ctx, s.between(100*time.Millisecond, 500*time.Millisecond))
	}
}

func (g *gateway) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.run.kill()
	g.run = nil
}

// current returns the current run, nil if the gateway is down or knows no targets.
func (g *gateway) current() *gatewayRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.run == nil || g.run.listed.Load() == nil {
		return nil
	}
	return g.run
}

// killAll kills all gateways together, again and again. They start within half a second.
func (s *sim) killAll() {
	for _, at := range s.kills {
		time.Sleep(at - time.Since(s.began))
		for _, g := range s.gateways {
			g.stop()
			g.link.extra.Store(int64(s.slow))
			g.link.extraWrite.Store(int64(s.slowWrites))
		}
		for _, g := range s.gateways {
			delay := s.between(200*time.Millisecond, 500*time.Millisecond)
			s.running.Go(func() {
				time.Sleep(delay)
				s.start(g)
				time.Sleep(answerTime)
				g.link.cut.Store(s.away)
			})
		}
		time.Sleep(startTime)
		for _, g := range s.gateways {
			g.link.extra.Store(0)
			g.link.extraWrite.Store(0)
			g.link.cut.Store(false)
		}
	}
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

// stream is what a caller knows of its stream.
type stream struct {
	version string
	// first is the attempt that brought the first event, and request stands for what all
	// attempts have in common.
	first, request streamorigin.Stream
	unnamed        bool
}

func (s *sim) beginStreams(g *gateway) {
	for i, end := 0, time.Now().Add(runTime); time.Now().Before(end); i++ {
		time.Sleep(time.Duration((0.5 + s.float()) / s.rate * float64(time.Second)))
		r := g.current()
		if r == nil {
			continue
		}
		st := stream{
			first: streamorigin.StreamOf("w", fmt.Sprintf("%s/%d", g.name, i)), request: streamorigin.StreamOf("w", fmt.Sprintf("request %s/%d", g.name, i)),
			unnamed: s.float() < s.unnamed,
		}
		s.running.Go(func() {
			s.outcome.asked.Add(1)
			if s.begin(r, &st) {
				s.forward(st, r, maxTakeovers)
			}
		})
	}
}

// begin begins a stream at one of the listed versions. It reports false if it was refused
// or lost.
func (s *sim) begin(r *gatewayRun, st *stream) bool {
	version, found := s.pick(r)
	if !found {
		r.AwaitVersion(s.ctx, "s")
		version, found = s.pick(r)
	}
	if !found {
		s.outcome.refused.Add(1)
		return false
	}
	if !s.answer(r, version, st.first, st.request) {
		return false
	}
	st.version = version
	s.outcome.begun.Add(1)
	return true
}

// pick returns one of the listed versions at which a stream may begin.
func (s *sim) pick(r *gatewayRun) (string, bool) {
	listed := *r.listed.Load()
	first := int(s.float() * float64(len(listed)))
	for i := range listed {
		version := listed[(first+i)%len(listed)]
		if s.ungated || r.MayBegin("s", version) {
			return version, true
		}
	}
	return "", false
}

// answer sends a request and waits for the first event. It reports false if the gateway was
// killed before that was passed on.
func (s *sim) answer(r *gatewayRun, version string, streams ...streamorigin.Stream) bool {
	until := time.Now().Add(deadline)
	if r.Covers("s", deadline) {
		streams = streams[:1]
	}
	for _, one := range streams {
		r.Expect(one, version, until)
	}
	select {
	case <-r.killed:
		return false
	case <-time.After(s.between(200*time.Millisecond, 900*time.Millisecond)):
	}
	passed := true
	for _, one := range streams {
		passed = r.Began(s.ctx, one, version, until) && passed
	}
	return passed
}

// forward lets a stream go on at a gateway until it ends, breaks off, or its gateway is
// killed. Then its caller takes it up elsewhere.
func (s *sim) forward(st stream, r *gatewayRun, takeovers int) {
	broke := s.float() < s.breaks
	select {
	case <-r.killed:
		// Gateways that were killed together are up again after half a second.
		if s.kills != nil {
			time.Sleep(700 * time.Millisecond)
		}
	case <-time.After(s.between(300*time.Millisecond, 4*time.Second)):
		if !broke {
			return
		}
		r.BrokeOff()
	}
	if takeovers == 0 {
		return
	}
	time.Sleep(s.between(10*time.Millisecond, 60*time.Millisecond))
	for range s.retries - 1 {
		s.running.Go(func() { s.takeUp(st, 1) })
	}
	s.takeUp(st, takeovers)
}

// takeUp takes a stream up at a random gateway.
func (s *sim) takeUp(st stream, takeovers int) {
	g := s.gateways[int(s.float()*float64(len(s.gateways)))]
	next := g.current()
	for range 10 {
		if next == nil && s.kills != nil {
			time.Sleep(300 * time.Millisecond)
			next = g.current()
		}
	}
	if next == nil || s.kills == nil && g.link.cut.Load() {
		return
	}
	served := slices.Contains(s.serving(), st.version)
	takenUp, goneOn := &s.outcome.takenUp, &s.outcome.goneOn
	if st.unnamed {
		takenUp, goneOn = &s.outcome.unnamedTakenUp, &s.outcome.unnamedGoneOn
	}
	if served {
		takenUp.Add(1)
	}
	version, known := s.version(next, st)
	if !known || !slices.Contains(*next.listed.Load(), version) {
		return // there is no target of that version
	}
	if version != st.version {
		s.outcome.mixed.Add(1)
	}
	if served {
		goneOn.Add(1)
	}
	if s.answer(next, version, st.first, st.request) {
		s.forward(st, next, takeovers-1)
	}
}

// version asks a gateway where a stream began, as a relay does.
func (s *sim) version(r *gatewayRun, st stream) (string, bool) {
	switch {
	case s.unshared || s.guess:
		version, known := r.origins.Version(st.first, time.Now().UnixMilli()+1000)
		if s.guess && !known {
			return "v2", true
		}
		return version, known
	case s.remember && st.unnamed:
		_, first := r.seen.Load("v1")
		_, second := r.seen.Load("v2")
		return (*r.listed.Load())[0], first != second
	case s.impatient:
		ctx, cancel := context.WithTimeout(s.ctx, time.Second)
		defer cancel()
		found, err := r.reader.read(ctx)
		if err != nil {
			return "", false
		}
		return found.Version(st.first, time.Now().UnixMilli()+1000)
	}
	ctx, cancel := context.WithTimeout(s.ctx, deadline/3)
	defer cancel()
	if !st.unnamed {
		return r.Version(ctx, st.first)
	}
	version, covers := r.SoleVersion(ctx, "s", deadline)
	if version == "" || covers {
		return version, version != ""
	}
	began, known := r.Version(ctx, st.request)
	return version, known && began == version
}

var (
	small = scenario{gateways: 7, rate: 8, breaks: 0.2}
	large = scenario{gateways: 300, rate: 1, breaks: 0.1}
	// largeKilled has few streams, as the restarts of 300 gateways take most of the time.
	largeKilled = scenario{gateways: 300, rate: 0.15, breaks: 0.1}
	// Kills in a row before, in and right after a change of versions: one comes when the
	// first version has just left.
	kills = []time.Duration{6 * time.Second, 10300 * time.Millisecond, 12500 * time.Millisecond, 14500 * time.Millisecond, 23 * time.Second}
)

// killed returns the scenario with kills of all gateways in a row and a change of versions.
func (sc scenario) killed() scenario {
	sc.kills, sc.change, sc.unnamed = kills, 10*time.Second, 0.5
	return sc
}

func forEachSeed(t *testing.T, check func(t *testing.T, o *outcome), scenarios ...scenario) {
	for _, sc := range scenarios {
		for seed := range uint64(*seeds) {
			sc.seed = seed
			t.Run(fmt.Sprintf("gateways %d seed %d", sc.gateways, seed), func(t *testing.T) {
				o := run(t, sc)
				t.Logf("asked %d, refused %d, begun %d, taken up %d, gone on %d, without a name %d, gone on %d, mixed %d, calls %.1f a second, of one gateway %.1f",
					o.asked.Load(), o.refused.Load(), o.begun.Load(), o.takenUp.Load(), o.goneOn.Load(), o.unnamedTakenUp.Load(), o.unnamedGoneOn.Load(), o.mixed.Load(), o.calls, o.mostCalls)
				check(t, o)
			})
		}
	}
}
