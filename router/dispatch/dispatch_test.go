package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/retry"
	"cuminrock.example/fleet/route"
	"cuminrock.example/router/target"
)

const (
	testFirstByteTimeout = 500 * time.Millisecond
	// noTimeout is for tests whose targets always respond: on a busy machine a
	// short timeout would fail them.
	noTimeout    = time.Minute
	testDeadline = 10 * time.Second
)

// fakeTarget is a target whose open connections can be made to stop responding.
type fakeTarget struct {
	http  *httptest.Server
	conns atomic.Int64
	// silentUpTo is the number of the last connection that doesn't respond;
	// connections are numbered from 1.
	silentUpTo atomic.Int64
	// received counts the requests on all connections.
	received atomic.Int64
	status   atomic.Int64
	// delay is the time to each response, in nanoseconds.
	delay atomic.Int64
}

type connNumber struct{}

func newFakeTarget(t *testing.T) *fakeTarget {
	f := &fakeTarget{}
	f.status.Store(http.StatusOK)
	f.http = httptest.NewUnstartedServer(f)
	f.http.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connNumber{}, f.conns.Add(1))
	}
	f.http.Start()
	t.Cleanup(f.http.Close)
	return f
}

func (f *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.received.Add(1)
	if r.Context().Value(connNumber{}).(int64) <= f.silentUpTo.Load() {
		<-r.Context().Done()
		return
	}
	time.Sleep(time.Duration(f.delay.Load()))
	w.Header().Set("Cuminrock-Request-Id", r.Header.Get("Cuminrock-Request-Id"))
	status := int(f.status.Load())
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Cuminrock-Run-State", "not_run")
	}
	w.WriteHeader(status)
}

// fixture is a dispatcher with some fake targets.
type fixture struct {
	targets    []*fakeTarget
	table      *route.Table
	dispatcher *Dispatcher
}

func newFixture(t *testing.T, targets, permille, burst int, firstByteTimeout time.Duration) *fixture {
	f := &fixture{table: route.New(route.Options{Seed: 1, MaxInFlight: 128, SuspectMin: time.Millisecond, SuspectMax: time.Millisecond})}
	for range targets {
		f.addTarget(t)
	}
	client := target.New(target.Options{FirstByteTimeout: firstByteTimeout})
	t.Cleanup(func() {
		f.dispatcher.Close()
		client.Close()
	})
	f.dispatcher = New(f.table, client, retry.NewBudget(permille, burst), retry.DefaultPolicy())
	return f
}

// addTarget starts a fake target and adds it to the route table.
func (f *fixture) addTarget(t *testing.T) {
	f.targets = append(f.targets, newFakeTarget(t))
	var targets []*pb.Target
	for i, s := range f.targets {
		targets = append(targets, &pb.Target{
			Name:     fmt.Sprint("registry-", i),
			Service:  "registry-app",
			Provider: "old",
			Address:  s.http.Listener.Addr().String(),
		})
	}
	f.table.Update(targets)
}

func testRequest(id string) Request {
	return Request{
		Route: route.Request{Service: "registry-app", RequestID: id, DefaultProvider: "old"},
		Call:  target.Call{RequestID: id, Path: "lookup", Deadline: time.Now().Add(testDeadline)},
		Kind:  pb.CallKind_CALL_KIND_LOOKUP,
	}
}

// lookups makes n concurrent lookups and returns how many failed.
func (f *fixture) lookups(name string, n int) int {
	var failed atomic.Int64
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			_, err := f.dispatcher.Do(context.Background(), testRequest(fmt.Sprint(name, i)))
			if err != nil {
				failed.Add(1)
			}
		})
	}
	wg.Wait()
	return int(failed.Load())
}

func (f *fixture) received() int64 {
	var n int64
	for _, s := range f.targets {
		n += s.received.Load()
	}
	return n
}

// All pooled connections of all targets stop responding while new ones work.
// Lookups recover within their deadline on new connections.
func TestLookupsRecoverFromSilentConnections(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 4, 100, 64, testFirstByteTimeout)
	is.Equal(f.lookups("warm", 64), 0)
	for _, s := range f.targets {
		s.silentUpTo.Store(s.conns.Load())
	}
	before := f.received()
	is.Equal(f.lookups("silent", 32), 0)
	retries := f.dispatcher.Stats().Retries.Value()
	is.True(retries > 0)
	hedges := f.dispatcher.Stats().Hedges.Value()
	is.True(f.received()-before <= 32+retries+hedges)
	is.Equal(f.lookups("after", 32), 0)
	is.Equal(f.dispatcher.Stats().Retries.Value(), retries)
	t.Logf("32 lookups, %d retries, %d hedges", retries, f.dispatcher.Stats().Hedges.Value())
}

// Targets that refuse every request get at most one attempt a request plus the
// retry budget and the budget of hedged attempts. Unbounded retries would
// overload failing targets.
func TestRetriesAreBoundedByTheBudget(t *testing.T) {
	const (
		requests = 200
		permille = 100
		burst    = 10
	)
	is := is.New(t)
	f := newFixture(t, 4, permille, burst, noTimeout)
	for _, s := range f.targets {
		s.status.Store(http.StatusServiceUnavailable)
	}
	is.Equal(f.lookups("refused", requests), requests)
	stats := f.dispatcher.Stats()
	retries, hedges := stats.Retries.Value(), stats.Hedges.Value()
	t.Logf("%d requests reached the targets %d times, with %d retries and %d hedges", requests, f.received(), retries, hedges)
	is.Equal(int64(f.received()), requests+retries+hedges)
	is.True(retries <= burst+requests*permille/1000)
	is.True(hedges <= hedgeBurst+(requests+retries)*hedgePermille/1000)
}

// An attempt of unknown outcome isn't hidden by a later one that didn't run.
func TestUnknownAttemptIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	unknown := errkind.New(errkind.TargetSilent, "silent")
	refused := errkind.New(errkind.TargetRefused, "refused")
	is.Equal(errkind.KindOf(leastCertain(unknown, refused)), errkind.TargetSilent)
	is.Equal(errkind.KindOf(leastCertain(refused, unknown)), errkind.TargetSilent)
	is.Equal(errkind.KindOf(preferEarlier(unknown, errkind.New(errkind.NoTarget, "none"))), errkind.TargetSilent)
}

// A lookup at a target that is slow to respond gets the response of a second
// target, which is not counted as a success of the first one.
func TestSlowLookupIsHedged(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2, 0, 0, noTimeout)
	f.targets[0].delay.Store(int64(time.Second))
	for range 200 {
		f.dispatcher.hedgeDelay.Observe(0)
	}
	for i := range 8 {
		_, err := f.dispatcher.Do(context.Background(), testRequest(fmt.Sprint("hedged-", i)))
		is.NoErr(err)
	}
	f.dispatcher.Close()
	is.True(f.dispatcher.Stats().Hedges.Value() > 0)
	is.True(f.dispatcher.Stats().Hedges.Value() <= hedgeBurst)
	is.Equal(f.targets[1].received.Load(), int64(8))
}

// A target that is reported as leaving gets no new request.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2, 100, 10, noTimeout)
	f.table.Report("registry-0", 0, true)
	is.Equal(f.lookups("a", 32), 0)
	is.Equal(f.targets[0].received.Load(), int64(0))
	is.Equal(f.targets[1].received.Load(), int64(32))
}

// A waiting request is sent to a target that was added while no other request
// ended.
func TestWaitingRequestUsesNewTarget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0, 0, noTimeout)
	f.targets[0].delay.Store(int64(time.Hour))
	f.targets[0].silentUpTo.Store(1 << 20)
	ctx, cancel := context.WithCancel(context.Background())
	var busy sync.WaitGroup
	for i := range 16 {
		busy.Go(func() {
			p := testRequest(fmt.Sprint("busy-", i))
			p.Call.Deadline = time.Time{}
			_, _ = f.dispatcher.Action(ctx, p)
		})
	}
	for f.targets[0].received.Load() < 16 {
		time.Sleep(time.Millisecond)
	}
	time.AfterFunc(5*time.Millisecond, func() { f.addTarget(t) })
	_, err := f.dispatcher.Do(context.Background(), testRequest("waits"))
	is.NoErr(err)
	cancel()
	busy.Wait()
	is.Equal(f.targets[1].received.Load(), int64(1))
}
