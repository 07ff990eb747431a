package callerconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cuminrock.example/fleet/callerbuffer"
)

// maxWait bounds the wait for a condition.
const maxWait = 20 * time.Second

// server is an HTTP server whose connections are in a set.
type server struct {
	t    *testing.T
	set  *Set
	http *http.Server
	addr string
	logs *observer.ObservedLogs
	// read and written are how many events the handlers of streams have made and written.
	mu      sync.Mutex
	written map[string]int
	failed  map[string]error
	// fake is the time of decisions; zero for the real one.
	fake time.Time
}

// event is an event of 1,000 bytes.
func event(i int) string { return fmt.Sprintf("id: %08d\ndata: %s\n\n", i, strings.Repeat("x", 979)) }

// serve starts a server. Path /stream/N answers with N events of 1,000 bytes, /complete/N
// with the same in one write.
func serve(t *testing.T, limits callerbuffer.Limits) *server {
	core, logs := observer.New(zapcore.InfoLevel)
	s := &server{t: t, logs: logs, written: make(map[string]int), failed: make(map[string]error)}
	s.set = NewSet(Options{Limits: limits, Registry: prometheus.NewRegistry(), Log: zap.New(core), Now: s.now})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s.addr = lis.Addr().String()
	s.http = &http.Server{Handler: http.HandlerFunc(s.answer), ConnContext: ConnContext}
	go func() { _ = s.http.Serve(s.set.Listener(lis)) }()
	t.Cleanup(func() { _ = s.http.Close(); s.set.Abort() })
	return s
}

func (s *server) answer(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Id")
	FromContext(r.Context()).BeginRequest(id)
	var n int
	if _, err := fmt.Sscanf(r.URL.Path, "/complete/%d", &n); err == nil {
		FromContext(r.Context()).SetComplete()
		body := events(n)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, err := w.Write([]byte(body))
		s.record(id, n, err)
		return
	}
	broken, _ := fmt.Sscanf(r.URL.Path, "/broken/%d", &n)
	if broken == 0 {
		_, _ = fmt.Sscanf(r.URL.Path, "/stream/%d", &n)
	}
	for i := range n {
		_, err := io.WriteString(w, event(i))
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		s.record(id, i+1, err)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if broken > 0 {
		panic(http.ErrAbortHandler)
	}
}

func (s *server) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fake.IsZero() {
		return time.Now()
	}
	return s.fake
}

// advance moves the time of decisions.
func (s *server) advance(by time.Duration) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fake = now.Add(by)
}

func events(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(event(i))
	}
	return b.String()
}

func (s *server) record(id string, written int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[id], s.failed[id] = written, err
}

func (s *server) state(id string) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written[id], s.failed[id]
}

func (s *server) waitFor(done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if done() {
			return
		}
	}
	s.t.Fatal("the condition was not met in time")
}

// ask sends a request and reads nothing of the answer yet.
func (s *server) ask(id, path string) *http.Response { return s.askWith(id, path, 0) }

// askWith does the same with a receive buffer of a size; 0 is that of the system.
func (s *server) askWith(id, path string, receiveBuffer int) *http.Response {
	dialer := net.Dialer{}
	conn, err := dialer.Dial("tcp", s.addr)
	is.New(s.t).NoErr(err)
	if receiveBuffer > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	}}
	req, err := http.NewRequest(http.MethodGet, "http://"+s.addr+path, nil)
	is.New(s.t).NoErr(err)
	req.Header.Set("Id", id)
	resp, err := client.Do(req)
	is.New(s.t).NoErr(err)
	return resp
}

func (s *server) disconnects(cause callerbuffer.Cause) int {
	return int(testutil.ToFloat64(s.set.disconnected.WithLabelValues(string(cause))))
}

var generous = callerbuffer.Limits{PerStream: 8 << 20, Total: 32 << 20, MaxIdle: time.Minute}

// Guards against a stream whose source waits for its caller, and against events that are
// lost or reordered between the socket and the buffer.
func TestStreamIsWrittenToTheEndBeforeASlowCallerReads(t *testing.T) {
	is := is.New(t)
	s := serve(t, generous)
	resp := s.ask("1", "/stream/4000")
	s.waitFor(func() bool { n, _ := s.state("1"); return n == 4000 })
	held, callers := s.set.budget.Held()
	is.True(held > 0)
	is.Equal(callers, 1)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(string(body) == events(4000))
	s.waitFor(func() bool { held, callers := s.set.budget.Held(); return held == 0 && callers == 0 })
}

// Guards against an answer that is aborted before what precedes the abort is delivered, and
// against one that looks complete.
func TestAbortFollowsWhatIsBuffered(t *testing.T) {
	is := is.New(t)
	s := serve(t, generous)
	resp := s.ask("1", "/broken/4000")
	s.waitFor(func() bool { n, _ := s.state("1"); return n == 4000 })
	s.waitFor(func() bool { return s.set.countLingering() == 1 })
	body, err := io.ReadAll(resp.Body)
	is.Equal(err, io.ErrUnexpectedEOF)
	is.True(string(body) == events(4000))
	s.waitFor(func() bool { return s.set.countLingering() == 0 })
}

// Guards against a cost for callers that keep up: nothing is buffered for them.
func TestNothingIsBufferedForACallerThatKeepsUp(t *testing.T) {
	is := is.New(t)
	set := NewSet(Options{Limits: generous, Registry: prometheus.NewRegistry(), Log: zap.NewNop(), Now: time.Now})
	c, caller := connect(t, set)
	buf := make([]byte, len(event(0)))
	for i := range 2000 {
		_, err := c.Write([]byte(event(i)))
		is.NoErr(err)
		is.True(c.drained == nil)
		_, err = io.ReadFull(caller, buf)
		is.NoErr(err)
		is.Equal(string(buf), event(i))
	}
}

// connect returns both ends of a connection, one of them in the set.
func connect(t testing.TB, set *Set) (*Conn, net.Conn) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = lis.Close() }()
	caller, err := net.Dial("tcp", lis.Addr().String())
	is.NoErr(err)
	accepted, err := set.Listener(lis).Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close(); _ = accepted.Close() })
	return accepted.(*Conn), caller
}

// Guards against memory that a caller which reads nothing holds for good, and against one
// that takes the broken answer for a whole one. The small receive buffer makes it stop
// while the last bytes are being written after the end of the answer.
func TestCallerThatReadsNothingIsDisconnected(t *testing.T) {
	is := is.New(t)
	s := serve(t, callerbuffer.Limits{PerStream: 8 << 20, Total: 32 << 20, MaxIdle: 100 * time.Millisecond})
	resp := s.askWith("1", "/stream/4000", 16<<10)
	s.waitFor(func() bool { return s.disconnects(callerbuffer.Idle) == 1 })
	_, err := io.ReadAll(resp.Body)
	is.True(err != nil)
	s.waitFor(func() bool { held, callers := s.set.budget.Held(); return held == 0 && callers == 0 })
	lines := s.logs.FilterMessage("caller: disconnected a caller that reads too slowly.").All()
	is.Equal(len(lines), 1)
	fields := lines[0].ContextMap()
	is.Equal(fields["request"], "1")
	is.Equal(fields["cause"], "idle")
	is.True(fields["buffered"].(int64) > 0)
	is.Equal(fields["buffered_in_all"], fields["buffered"])
	is.True(fields["nothing_taken_for"].(time.Duration) >= 100*time.Millisecond)
}

// Guards against a slow caller that is taken for one that reads nothing: it takes a little
// just in time, again and again, and then nothing.
func TestCallerThatReadsALittleAtATimeIsNotIdle(t *testing.T) {
	is := is.New(t)
	const maxIdle = 500 * time.Millisecond
	s := serve(t, callerbuffer.Limits{PerStream: 8 << 20, Total: 32 << 20, MaxIdle: maxIdle})
	s.advance(0)
	resp := s.ask("1", "/stream/5000")
	s.waitFor(func() bool { n, _ := s.state("1"); return n == 5000 })
	for range 16 {
		// Less than half, since a write that ends now may still record the time before.
		s.advance(maxIdle * 4 / 10)
		before, _ := s.set.budget.Held()
		s.waitFor(func() bool {
			_, err := io.CopyN(io.Discard, resp.Body, 64<<10)
			is.NoErr(err)
			held, _ := s.set.budget.Held()
			return held < before
		})
	}
	is.Equal(s.disconnects(callerbuffer.Idle), 0)
	s.waitFor(func() bool {
		s.advance(maxIdle / 10)
		return s.disconnects(callerbuffer.Idle) == 1
	})
}

func TestCallerWhoseBufferIsFullIsDisconnected(t *testing.T) {
	is := is.New(t)
	s := serve(t, callerbuffer.Limits{PerStream: 1 << 20, Total: 32 << 20, MaxIdle: time.Minute})
	resp := s.ask("1", "/stream/4000")
	s.waitFor(func() bool { _, err := s.state("1"); return err != nil })
	written, err := s.state("1")
	is.Equal(err, ErrTooSlow)
	is.True(written < 4000)
	is.Equal(s.disconnects(callerbuffer.StreamFull), 1)
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
}

// Guards against memory that grows with the number of callers that read nothing, each
// within its own limit. Load: 12 such callers, of which 4 fit, and one that reads.
func TestAllBuffersTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	const total = 8 << 20
	s := serve(t, callerbuffer.Limits{PerStream: 4 << 20, Total: total, MaxIdle: time.Minute})
	for i := range 12 {
		s.advance(time.Second)
		id := fmt.Sprint("silent", i)
		s.ask(id, "/stream/2000")
		s.waitFor(func() bool {
			held, _ := s.set.budget.Held()
			is.True(held <= total)
			n, err := s.state(id)
			return n == 2000 || err != nil
		})
		body, err := io.ReadAll(s.ask(fmt.Sprint("reads", i), "/complete/100").Body)
		is.NoErr(err)
		is.True(string(body) == events(100))
	}
	is.True(s.disconnects(callerbuffer.TotalFull) >= 7)
	_, callers := s.set.budget.Held()
	is.True(callers >= 2) // the others fit and stay connected
}

// Guards against a ready answer that is cut because it is longer than a stream's buffer.
func TestCompleteAnswerIsBoundedOnlyByTheTotal(t *testing.T) {
	is := is.New(t)
	s := serve(t, callerbuffer.Limits{PerStream: 1 << 20, Total: 16 << 20, MaxIdle: time.Minute})
	resp := s.ask("1", "/complete/8000")
	s.waitFor(func() bool { held, _ := s.set.budget.Held(); return held > 6<<20 })
	n, _ := s.state("1")
	is.Equal(n, 0) // the handler keeps the answer until it is written
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(string(body) == events(8000))
}

// Guards against a planned stop that drops what is buffered: the server closes a connection
// once its handler has returned.
func TestPlannedStopDeliversWhatIsBuffered(t *testing.T) {
	is := is.New(t)
	s := serve(t, generous)
	resp := s.ask("1", "/stream/3000")
	s.waitFor(func() bool { n, _ := s.state("1"); return n == 3000 })
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	is.NoErr(s.http.Shutdown(ctx))
	is.Equal(s.set.countLingering(), 1)
	drained := make(chan error)
	go func() { drained <- s.set.Drain(ctx) }()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(string(body) == events(3000))
	is.NoErr(<-drained)
}

func TestStopAtItsTimeLimitDropsWhatIsBuffered(t *testing.T) {
	is := is.New(t)
	s := serve(t, generous)
	resp := s.ask("1", "/stream/3000")
	s.waitFor(func() bool { n, _ := s.state("1"); return n == 3000 })
	is.NoErr(s.http.Close())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(s.set.Drain(ctx) != nil)
	is.Equal(s.set.Abort(), 1)
	_, err := io.ReadAll(resp.Body)
	is.True(err != nil)
	s.waitFor(func() bool { held, _ := s.set.budget.Held(); return held == 0 && s.set.countLingering() == 0 })
}

// Guards against a caller that leaves and is noticed only once its buffer is written.
func TestCallerThatLeavesWithABufferIsNoticed(t *testing.T) {
	s := serve(t, generous)
	left := make(chan struct{})
	s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range 3000 {
			_, _ = io.WriteString(w, event(i))
			_ = http.NewResponseController(w).Flush()
		}
		s.record("1", 3000, nil)
		<-r.Context().Done()
		close(left)
	})
	resp := s.ask("1", "/")
	s.waitFor(func() bool { n, _ := s.state("1"); return n == 3000 })
	_ = resp.Body.Close()
	select {
	case <-left:
	case <-time.After(maxWait):
		t.Fatal("the handler wasn't told")
	}
	s.waitFor(func() bool { held, _ := s.set.budget.Held(); return held == 0 })
}
