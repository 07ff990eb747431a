// Package callerconn lets a server write to callers that read slowly without waiting for
// them.
//
// A Conn writes to its socket without blocking. What the socket doesn't take is buffered
// and written by a goroutine that runs only until the buffer is empty, so that a caller
// that keeps up costs neither a copy nor a goroutine switch. Package callerbuffer decides
// how much is buffered and who is disconnected.
package callerconn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cuminrock.example/fleet/callerbuffer"
	"cuminrock.example/router/wait"
)

// drainPollInterval is how often a stopping router checks whether all closed connections
// have delivered what is buffered.
const drainPollInterval = 20 * time.Millisecond

// Options configures a Set. All fields are required.
type Options struct {
	Limits callerbuffer.Limits
	// Registry gets the metrics of the set.
	Registry prometheus.Registerer
	Log      *zap.Logger
	Now      func() time.Time
}

// Set is the connections of all callers, which share one budget. It is safe for concurrent
// use.
type Set struct {
	Options
	budget       *callerbuffer.Budget[*Conn]
	disconnected *prometheus.CounterVec

	mu sync.Mutex
	// lingering are the connections that the server has closed and that still deliver
	// what is buffered.
	lingering map[*Conn]struct{}
}

// NewSet returns an empty set.
func NewSet(opts Options) *Set {
	s := &Set{Options: opts, budget: callerbuffer.New[*Conn](opts.Limits), lingering: make(map[*Conn]struct{})}
	s.disconnected = newCounter(opts.Registry, s.budget)
	return s
}

// Listener returns a listener whose connections are in the set.
func (s *Set) Listener(lis net.Listener) net.Listener { return &listener{Listener: lis, set: s} }

type listener struct {
	net.Listener
	set *Set
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	return l.set.wrap(tcp)
}

// Drain waits until no closed connection has anything buffered, or returns the error of
// ctx.
func (s *Set) Drain(ctx context.Context) error {
	for s.countLingering() > 0 {
		if !wait.For(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Abort resets the closed connections that still have something buffered, and returns
// their number.
func (s *Set) Abort() int {
	s.mu.Lock()
	aborted := make([]*Conn, 0, len(s.lingering))
	for c := range s.lingering {
		aborted = append(aborted, c)
	}
	s.mu.Unlock()
	for _, c := range aborted {
		c.fail(net.ErrClosed)
	}
	return len(aborted)
}

// Held returns the bytes buffered for all callers, and the number of callers.
func (s *Set) Held() (bytes int64, callers int) { return s.budget.Held() }

func (s *Set) countLingering() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.lingering)
}

func (s *Set) setLingering(c *Conn, lingering bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lingering {
		s.lingering[c] = struct{}{}
		return
	}
	delete(s.lingering, c)
}

// disconnect carries out a decision. No lock of a connection is held.
func (s *Set) disconnect(d callerbuffer.Disconnect[*Conn]) {
	d.Caller.fail(ErrTooSlow)
	s.Log.Warn("caller: disconnected a caller that reads too slowly.", zap.String("request", d.Caller.request()),
		zap.Stringer("caller", d.Caller.RemoteAddr()), zap.String("cause", string(d.Cause)), zap.Int64("buffered", d.Held),
		zap.Int64("buffered_in_all", d.Total), zap.Int64("to_buffer", d.Asked), zap.Duration("nothing_taken_for", d.Idle),
		zap.Int64("stream_limit", s.Limits.PerStream), zap.Int64("total_limit", s.Limits.Total))
	s.disconnected.WithLabelValues(string(d.Cause)).Inc()
}

// newCounter registers the metrics of a set, and returns the counter of disconnected
// callers.
func newCounter(registry prometheus.Registerer, budget *callerbuffer.Budget[*Conn]) *prometheus.CounterVec {
	disconnected := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminrock_slow_callers_disconnected_total", Help: "Callers that were disconnected because they read too slowly."}, []string{"cause"})
	bytes := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminrock_caller_buffer_bytes", Help: "Bytes buffered for callers that read slowly."},
		func() float64 { bytes, _ := budget.Held(); return float64(bytes) })
	callers := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cuminrock_slow_callers", Help: "Callers for which bytes are buffered."},
		func() float64 { _, callers := budget.Held(); return float64(callers) })
	registry.MustRegister(disconnected, bytes, callers)
	return disconnected
}
