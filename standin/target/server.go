package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"cuminrock.example/standin/control"
)

// Headers of the protocol between a router and a target.
const (
	HeaderRequestID      = "Cuminrock-Request-Id"
	HeaderMaxTokens      = "Cuminrock-Max-Tokens"
	HeaderRunState       = "Cuminrock-Run-State"
	HeaderStream         = "Cuminrock-Stream"
	HeaderIdempotencyKey = "Idempotency-Key"
	// RunStateNotRun is the value of HeaderRunState for a request that was not
	// started.
	RunStateNotRun = "not_run"
)

// headerTimeout is the maximum time to read a request header.
const headerTimeout = 10 * time.Second

// Server is the HTTP/1.1 and HTTP/2 server of one emulated target and injects
// its faults. It is safe for concurrent use.
type Server struct {
	faults  faultState
	history loadHistory
	load    func() LoadReport
	closed  chan struct{}
	once    sync.Once
	stalled atomic.Bool
	// wrongIDSeq makes the ids that FaultWrongID sets unique.
	wrongIDSeq atomic.Uint64

	mu     sync.Mutex
	lis    *listener
	server *http.Server
}

// NewServer returns a server. load returns the current load of the target; the
// server adds the leaving flag and the lag of the report.
func NewServer(load func() LoadReport) *Server {
	return &Server{load: load, closed: make(chan struct{})}
}

// Open binds the server to the listener and returns the function that serves
// handler on it until Close.
func (s *Server) Open(lis net.Listener, handler http.Handler) (serve func() error) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lis = newListener(lis)
	s.server = &http.Server{Handler: withRequestID(handler), Protocols: protocols, ReadHeaderTimeout: headerTimeout}
	return func() error {
		err := s.server.Serve(s.lis)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return trace.Wrap(err)
	}
}

// withRequestID sets the request's id on every response, including refusals,
// as the target protocol requires. SetRequestID replaces it for FaultWrongID.
func withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(HeaderRequestID)
		if id != "" {
			w.Header().Set(HeaderRequestID, id)
		}
		next.ServeHTTP(w, r)
	})
}

// Addr returns the listener's host:port, or an empty string before Open.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lis == nil {
		return ""
	}
	return s.lis.Addr().String()
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	s.once.Do(func() { close(s.closed) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
	}
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) error {
	err := f.check()
	if err != nil {
		return trace.Wrap(err)
	}
	s.faults.set(f)
	s.stalled.Store(f.Stall)
	s.RecordLoad()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lis != nil {
		s.lis.silence(f.Silence)
	}
	return nil
}

// Faults returns the active faults. Counted faults have their remaining count.
func (s *Server) Faults() Faults { return s.faults.get() }

// Stalled reports whether all responses are stalled now.
func (s *Server) Stalled() bool { return s.stalled.Load() }

// NextFault returns the fault to inject into the next request.
func (s *Server) NextFault() RequestFault { return s.faults.next() }

// RecordLoad records the current load for reports with a lag.
func (s *Server) RecordLoad() { s.history.record(time.Now(), s.currentLoad()) }

func (s *Server) currentLoad() LoadReport {
	r := s.load()
	r.Leaving = s.faults.get().Leaving
	return r
}

// ServeLoad serves GET /v1/load.
func (s *Server) ServeLoad(w http.ResponseWriter, _ *http.Request) {
	lag := time.Duration(s.faults.get().LoadLagMs) * time.Millisecond
	if lag == 0 {
		control.WriteJSON(w, s.currentLoad())
		return
	}
	control.WriteJSON(w, s.history.at(time.Now().Add(-lag)))
}

// SetRequestID sets the response's request id: the request's own, or a
// different one for FaultWrongID. It returns the id that was set.
func (s *Server) SetRequestID(w http.ResponseWriter, id string, fault RequestFault) string {
	if fault == FaultWrongID {
		id = wrongID(s.wrongIDSeq.Add(1))
	}
	w.Header().Set(HeaderRequestID, id)
	return id
}

// Refuse responds to a request that was not started.
func (s *Server) Refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderRunState, RunStateNotRun)
	http.Error(w, reason, status)
}

// DelayResponse waits while FaultDelay or a stall holds back a response. It
// returns false if the caller disconnected or the server was closed meanwhile.
func (s *Server) DelayResponse(ctx context.Context, fault RequestFault) bool {
	if fault == FaultDelay {
		delay := time.Duration(s.faults.get().DelayMs) * time.Millisecond
		if !s.Sleep(ctx, delay) {
			return false
		}
	}
	for s.Stalled() {
		if !s.Sleep(ctx, stallPollInterval) {
			return false
		}
	}
	return true
}

// stallPollInterval is how often a response checks whether a stall has ended.
const stallPollInterval = 10 * time.Millisecond

// Sleep waits for t. It returns false if the caller disconnected or the server
// was closed meanwhile.
func (s *Server) Sleep(ctx context.Context, t time.Duration) bool {
	if t <= 0 {
		return true
	}
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-s.closed:
		return false
	}
}

// Done returns a channel that is closed when the server is closed.
func (s *Server) Done() <-chan struct{} { return s.closed }

// Abort closes the connection of the request in progress without completing
// the response. It doesn't return.
func Abort() { panic(http.ErrAbortHandler) }
