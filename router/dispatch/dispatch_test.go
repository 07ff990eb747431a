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
	testSilence  = 50 * time.Millisecond
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

func newBench(t *testing.T, servers, permille, burst int) *bench {
	b := &bench{table: route.New(route.Options{Seed: 1, SuspectMin: time.Millisecond, SuspectMax: time.Millisecond})}
	var targets []*pb.Target
	for i := range servers {
		s := newServer(t)
		b.servers = append(b.servers, s)
		targets = append(targets, &pb.Target{
			Name:     fmt.Sprint("registry-", i),
			Service:  "registry-app",
			Provider: "old",
			Address:  s.http.Listener.Addr().String(),
		})
	}
	b.table.Update(targets)
	client := target.New(target.Options{FirstByteTimeout: testSilence})
	t.Cleanup(client.Close)
	b.dispatcher = New(b.table, client, retry.NewBudget(permille, burst), retry.DefaultPolicy())
	return b
}

func plan(id string) Plan {
	return Plan{
		Pick: route.Request{Service: "registry-app", RequestID: id, DefaultProvider: "old"},
		Call: target.Call{RequestID: id, Path: "lookup", Deadline: time.Now().Add(testDeadline)},
		Kind: pb.CallKind_CALL_KIND_LOOKUP,
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
	b := newBench(t, 4, 100, 64)
	is.Equal(b.lookups("warm", 64), 0)
	for _, s := range b.servers {
		s.frozen.Store(s.conns.Load())
	}
	before := b.received()
	is.Equal(b.lookups("silent", 32), 0)
	retries := b.dispatcher.Stats().Retries.Value()
	is.True(retries > 0)
	is.True(b.received()-before <= 32+retries)
	is.Equal(b.lookups("after", 32), 0)
	is.Equal(b.dispatcher.Stats().Retries.Value(), retries)
	t.Logf("32 lookups, %d retries", retries)
}

// Targets that refuse everything get no more than the requests and the budget.
func TestRetriesAreBoundedByTheBudget(t *testing.T) {
	const (
		requests = 200
		permille = 100
		burst    = 10
	)
	is := is.New(t)
	b := newBench(t, 4, permille, burst)
	for _, s := range b.servers {
		s.status.Store(http.StatusServiceUnavailable)
	}
	is.Equal(b.lookups("refused", requests), requests)
	is.True(b.received() <= requests+burst+requests*permille/1000)
	t.Logf("%d requests reached the targets %d times", requests, b.received())
}

// A send of unknown outcome isn't hidden by a later one that didn't run.
func TestUnknownSendIsNotToldAsNotRun(t *testing.T) {
	is := is.New(t)
	unknown := errkind.New(errkind.TargetSilent, "silent")
	refused := errkind.New(errkind.TargetRefused, "refused")
	is.Equal(errkind.Of(worse(unknown, refused)), errkind.TargetSilent)
	is.Equal(errkind.Of(worse(refused, unknown)), errkind.TargetSilent)
	is.Equal(errkind.Of(earlier(unknown, errkind.New(errkind.NoTarget, "none"))), errkind.TargetSilent)
}

// A target that any source calls leaving gets no new request.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 2, 100, 10)
	b.table.Report("registry-0", 0, true)
	is.Equal(b.lookups("a", 32), 0)
	is.Equal(b.servers[0].received.Load(), int64(0))
	is.Equal(b.servers[1].received.Load(), int64(32))
}
