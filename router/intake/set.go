// Package intake bounds what callers make a listener's process hold before their requests
// are passed on. Package fleet/intake decides; a Conn asks it before it reads, and carries
// out what it decides.
//
// A Conn reads a head only as far as it is granted, and ReadBody a body. Who is refused gets
// an answer first: the connection is then only read, without keeping anything, until the
// caller closes it, since closing it with unread bytes could destroy the answer.
package intake

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cuminrock.example/fleet/intake"
)

// Options configures a Set. All fields are required.
type Options struct {
	// Name is the listener's name in logs and metrics.
	Name   string
	Limits intake.Limits
	// Opaque is set if the connections don't carry HTTP/1: only their number is bounded
	// here, and those that have brought anything stay.
	Opaque bool
	// Answers returns the bytes that are held for callers that don't read their answers.
	Answers  func() int64
	Registry prometheus.Registerer
	Log      *zap.Logger
	Now      func() time.Time
}

// Set is the connections of one listener, which share one budget. It is safe for concurrent
// use.
type Set struct {
	Options
	budget  *intake.Budget[*Conn]
	refused *prometheus.CounterVec

	mu sync.Mutex
	// open are the connections that the server hasn't closed.
	open map[*Conn]struct{}
	// lingering are the connections that the server has closed and whose callers may not
	// know yet that they are refused.
	lingering map[*Conn]struct{}
}

// NewSet returns an empty set.
func NewSet(opts Options) *Set {
	s := &Set{Options: opts, budget: intake.New[*Conn](opts.Limits, opts.Answers), open: make(map[*Conn]struct{}), lingering: make(map[*Conn]struct{})}
	s.refused = s.newMetrics()
	return s
}

// newMetrics registers the metrics of the set, and returns the counter of refusals.
func (s *Set) newMetrics() *prometheus.CounterVec {
	labels := prometheus.Labels{"listener": s.Name}
	registry := prometheus.WrapRegistererWith(labels, s.Registry)
	refused := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminrock_intake_refused_total", Help: "Connections and requests that were refused or closed for want of room, by cause."}, []string{"cause"})
	registry.MustRegister(refused,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cuminrock_intake_bytes", Help: "Bytes of heads and bodies that callers' requests hold."},
			func() float64 { return float64(s.budget.Usage().Contents) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cuminrock_intake_connections", Help: "Open connections of callers."},
			func() float64 { return float64(s.budget.Usage().Connections) }))
	return refused
}

// cause is why a connection or a request was refused or closed.
type cause string

const (
	// causeConnections means that there were too many connections.
	causeConnections cause = "connections"
	// causeHead and causeBody mean that there was no room for a head or a body.
	causeHead cause = "head"
	causeBody cause = "body"
	// causeStalled means that a request made no progress, or began last, and others needed
	// its room, or that an idle connection gave way to a new one.
	causeStalled cause = "stalled"
)

// Usage returns what the connections hold.
func (s *Set) Usage() intake.Usage { return s.budget.Usage() }

// record counts and logs a refusal.
func (s *Set) record(c *Conn, why cause) {
	s.refused.WithLabelValues(string(why)).Inc()
	usage := s.budget.Usage()
	s.Log.Info("intake: refused or closed for want of room.", zap.String("listener", s.Name), zap.String("cause", string(why)),
		zap.Stringer("caller", c.RemoteAddr()), zap.Int64("contents", usage.Contents), zap.Int64("answers", usage.Answers),
		zap.Int64("limit", s.Limits.Contents), zap.Int("connections", usage.Connections), zap.Int("connection_limit", s.Limits.Connections))
}

// evict carries out a decision. No lock of a connection is held.
func (s *Set) evict(accounts []*intake.Account[*Conn]) {
	for _, a := range accounts {
		a.Owner.evict()
	}
}

// Listener returns a listener whose connections are in the set.
func (s *Set) Listener(lis net.Listener) net.Listener { return &listener{Listener: lis, set: s} }

type listener struct {
	net.Listener
	set *Set
}

// Close implements net.Listener. A stopping router has closed the listener before its
// server does, which is no error.
func (l *listener) Close() error {
	err := l.Listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Accept implements net.Listener. Connections beyond the limit aren't returned; their
// callers get an answer to their first request.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := l.set.wrap(accepted)
		account, d := l.set.budget.Open(c, l.set.Now())
		c.account = account
		l.set.evict(d.Evicted)
		if d.Granted {
			l.set.setOpen(c, true)
			return c, nil
		}
		go c.refuseFirstRequest()
	}
}

// TakeAnswer takes bytes for a response that is read before it is forwarded, and reports
// whether there were enough.
func (s *Set) TakeAnswer(bytes int64) bool { return s.budget.TakeAnswer(bytes) }

// ReturnAnswer gives bytes of TakeAnswer back.
func (s *Set) ReturnAnswer(bytes int64) { s.budget.ReturnAnswer(bytes) }

// Close closes the connections that linger.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.lingering {
		_ = c.Conn.Close()
	}
}

func (s *Set) setOpen(c *Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.open[c] = struct{}{}
		return
	}
	delete(s.open, c)
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
