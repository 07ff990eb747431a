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
	testSilence = 500 * time.Millisecond
	// noSilence is for tests whose targets never fall silent: a busy machine
	// must not make them so.
	noSilence    = time.Minute
	testDeadline = 10 * time.Second
)

// server is a target whose present connections can fall silent for good.
type server struct {
	http  *httptest.Server
	conns atomic.Int64
	// frozen is the number of the first connection that works.
	frozen atomic.Int64
	// received counts requests on every connection.
	received atomic.Int64
	status   atomic.Int64
	// delay is how long each answer takes, in nanoseconds.
	delay atomic.Int64
}

type connNumber struct{}

func newServer(t *testing.T) *server {
	s := &server{}
	s.status.Store(http.StatusOK)
	s.http = httptest.NewUnstartedServer(s)
	s.http.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connNumber{}, s.conns.Add(1))
	}
	s.http.Start()
	t.Cleanup(s.http.Close)
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.received.Add(1)
	if r.Context().Value(connNumber{}).(int64) <= s.frozen.Load() {
		<-r.Context().Done()
		return
	}
	time.Sleep(time.Duration(s.delay.Load()))
	w.Header().Set("Cuminrock-Request-Id", r.Header.Get("Cuminrock-Request-Id"))
	status := int(s.status.Load())
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Cuminrock-Run-State", "not_run")
	}
	w.WriteHeader(status)
}

// bench is a dispatcher before some servers.
type bench struct {
	servers    []*server
	table      *route.Table
	dispatcher *Dispatcher
}

func newBench(t *testing.T, servers, permille, burst int, silence time.Duration) *bench {
	b := &bench{table: route.New(route.Options{Seed: 1, MaxInFlight: 128, SuspectMin: time.Millisecond, SuspectMax: time.Millisecond})}
	for range servers {
		b.addServer(t)
	}
	client := target.New(target.Options{FirstByteTimeout: silence})
	t.Cleanup(func() {
		b.dispatcher.Close()
		client.Close()
	})
	b.dispatcher = New(b.table, client, retry.NewBudget(permille, burst), retry.DefaultPolicy())
	return b
}

// addServer starts a server and brings it into the table.
func (b *bench) addServer(t *testing.T) {
	b.servers = append(b.servers, newServer(t))
	var targets []*pb.Target
	for i, s := range b.servers {
		targets = append(targets, &pb.Target{
			Name:     fmt.Sprint("registry-", i),
			Service:  "registry-app",
			Provider: "old",
			Address:  s.http.Listener.Addr().String(),
		})
	}
	b.table.Update(targets)
}

func plan(id string) Request {
	return Request{
		Route: route.Request{Service: "registry-app", RequestID: id, DefaultProvider: "old"},
		Call:  target.Call{RequestID: id, Path: "lookup", Deadline: time.Now().Add(testDeadline)},
		Kind:  pb.CallKind_CALL_KIND_LOOKUP,
	}
}

// lookups makes n concurrent lookups and returns how many failed.
func (b *bench) lookups(name string, n int) int {
	var failed atomic.Int64
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			_, err := b.dispatcher.Do(context.Background(), plan(fmt.Sprint(name, i)))
			if err != nil {
				failed.Add(1)
			}
		})
	}
	wg.Wait()
	return int(failed.Load())
}

func (b *bench) received() int64 {
	var n int64
	for _, s := range b.servers {
		n += s.received.Load()
	}
	return n
}

// Every pooled connection of every target goes silent while new ones work:
// lookups recover within their deadline on new connections.
func TestLookupsRecoverFromSilentConnections(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 4, 100, 64, testSilence)
	is.Equal(b.lookups("warm", 64), 0)
	for _, s := range b.servers {
		s.frozen.Store(s.conns.Load())
	}
	before := b.received()
	is.Equal(b.lookups("silent", 32), 0)
	retries := b.dispatcher.Stats().Retries.Value()
	is.True(retries > 0)
	hedges := b.dispatcher.Stats().Hedges.Value()
	is.True(b.received()-before <= 32+retries+hedges)
	is.Equal(b.lookups("after", 32), 0)
	is.Equal(b.dispatcher.Stats().Retries.Value(), retries)
	t.Logf("32 lookups, %d retries, %d hedges", retries, b.dispatcher.Stats().Hedges.Value())
}

// Targets that refuse everything get no more than the requests and the budgets:
// retries have one, and second sends of slow lookups have one of their own.
func TestRetriesAreBoundedByTheBudget(t *testing.T) {
	const (
		requests = 200
		permille = 100
		burst    = 10
	)
	is := is.New(t)
	b := newBench(t, 4, permille, burst, noSilence)
	for _, s := range b.servers {
		s.status.Store(http.StatusServiceUnavailable)
	}
	is.Equal(b.lookups("refused", requests), requests)
	stats := b.dispatcher.Stats()
	retries, hedges := stats.Retries.Value(), stats.Hedges.Value()
	t.Logf("%d requests reached the targets %d times, with %d retries and %d hedges", requests, b.received(), retries, hedges)
	is.Equal(int64(b.received()), requests+retries+hedges)
	is.True(retries <= burst+requests*permille/1000)
	is.True(hedges <= hedgeBurst+(requests+retries)*hedgePermille/1000)
}

// A send of unknown outcome isn't hidden by a later one that didn't run.
func TestUnknownSendIsNotToldAsNotRun(t *testing.T) {
	is := is.New(t)
	unknown := errkind.New(errkind.TargetSilent, "silent")
	refused := errkind.New(errkind.TargetRefused, "refused")
	is.Equal(errkind.KindOf(worse(unknown, refused)), errkind.TargetSilent)
	is.Equal(errkind.KindOf(worse(refused, unknown)), errkind.TargetSilent)
	is.Equal(errkind.KindOf(earlier(unknown, errkind.New(errkind.NoTarget, "none"))), errkind.TargetSilent)
}

// A lookup at a target that doesn't answer is answered by a second one; the
// first target isn't taken for a good one by that.
func TestSlowLookupIsHedged(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2, 0, 0, noSilence)
	b.servers[0].delay.Store(int64(time.Second))
	for range 200 {
		b.dispatcher.hedge.Observe(0)
	}
	for i := range 8 {
		_, err := b.dispatcher.Do(context.Background(), plan(fmt.Sprint("hedged-", i)))
		is.NoErr(err)
	}
	b.dispatcher.Close()
	is.True(b.dispatcher.Stats().Hedges.Value() > 0)
	is.True(b.dispatcher.Stats().Hedges.Value() <= hedgeBurst)
	is.Equal(b.servers[1].received.Load(), int64(8))
}

// A target that any source calls leaving gets no new request.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2, 100, 10, noSilence)
	b.table.Report("registry-0", 0, true)
	is.Equal(b.lookups("a", 32), 0)
	is.Equal(b.servers[0].received.Load(), int64(0))
	is.Equal(b.servers[1].received.Load(), int64(32))
}

// Room that appears without the end of a request is found too.
func TestWaitingRequestFindsANewTarget(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 1, 0, 0, noSilence)
	b.servers[0].delay.Store(int64(time.Hour))
	b.servers[0].frozen.Store(1 << 20)
	ctx, cancel := context.WithCancel(context.Background())
	var busy sync.WaitGroup
	for i := range 16 {
		busy.Go(func() {
			p := plan(fmt.Sprint("busy-", i))
			p.Call.Deadline = time.Time{}
			_, _ = b.dispatcher.Action(ctx, p)
		})
	}
	for b.servers[0].received.Load() < 16 {
		time.Sleep(time.Millisecond)
	}
	time.AfterFunc(5*time.Millisecond, func() { b.addServer(t) })
	_, err := b.dispatcher.Do(context.Background(), plan("waits"))
	is.NoErr(err)
	cancel()
	busy.Wait()
	is.Equal(b.servers[1].received.Load(), int64(1))
}
