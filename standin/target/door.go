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

// Headers of the protocol between router and target.
const (
	HeaderRequestID      = "Cuminrock-Request-Id"
	HeaderMaxTokens      = "Cuminrock-Max-Tokens"
	HeaderRunState       = "Cuminrock-Run-State"
	HeaderStream         = "Cuminrock-Stream"
	HeaderIdempotencyKey = "Idempotency-Key"
	// RunStateNotRun is the value of HeaderRunState of a call not started.
	RunStateNotRun = "not_run"
)

// headerTimeout bounds the wait for a request's header.
const headerTimeout = 10 * time.Second

// Server is the HTTP/1.1 and HTTP/2 door of one target with its faults. It is
// safe for concurrent use.
type Server struct {
	gate    gate
	past    lagged
	load    func() LoadReport
	closed  chan struct{}
	once    sync.Once
	stalled atomic.Bool
	// serial makes the ids of crossed answers differ.
	serial atomic.Uint64

	mu     sync.Mutex
	lis    *listener
	server *http.Server
}

// NewServer returns a door. load tells the target's load as it is now; the
// door adds the leaving mark and the lag.
func NewServer(load func() LoadReport) *Server {
	return &Server{load: load, closed: make(chan struct{})}
}

// Open takes the listener and returns the function that serves handler on it
// until Close.
func (d *Server) Open(lis net.Listener, handler http.Handler) (serve func() error) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lis = newListener(lis)
	d.server = &http.Server{Handler: echoing(handler), Protocols: protocols, ReadHeaderTimeout: headerTimeout}
	return func() error {
		err := d.server.Serve(d.lis)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return trace.Wrap(err)
	}
}

// echoing sets the request's id on every answer, refusals included, as the
// target protocol asks. Echo replaces it on a crossed answer.
func echoing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(HeaderRequestID)
		if id != "" {
			w.Header().Set(HeaderRequestID, id)
		}
		next.ServeHTTP(w, r)
	})
}

// Addr returns host:port, empty before Open.
func (d *Server) Addr() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lis == nil {
		return ""
	}
	return d.lis.Addr().String()
}

// Close ends the door and its connections.
func (d *Server) Close() {
	d.once.Do(func() { close(d.closed) })
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.server != nil {
		_ = d.server.Close()
	}
}

// SetFaults replaces all faults.
func (d *Server) SetFaults(f Faults) error {
	err := f.check()
	if err != nil {
		return trace.Wrap(err)
	}
	d.gate.set(f)
	d.stalled.Store(f.Stall)
	d.RecordLoad()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lis != nil {
		d.lis.silence(f.Silence)
	}
	return nil
}

// Faults returns the faults in force, with what is left of the counted ones.
func (d *Server) Faults() Faults { return d.gate.get() }

// Stalled tells whether all answers are silent now.
func (d *Server) Stalled() bool { return d.stalled.Load() }

// NextFault decides what happens to the next request.
func (d *Server) NextFault() RequestFault { return d.gate.next() }

// RecordLoad keeps the load of now for reports that lag.
func (d *Server) RecordLoad() { d.past.record(time.Now(), d.currentLoad()) }

func (d *Server) currentLoad() LoadReport {
	r := d.load()
	r.Leaving = d.gate.get().Leaving
	return r
}

// ServeLoad answers GET /v1/load.
func (d *Server) ServeLoad(w http.ResponseWriter, _ *http.Request) {
	lag := time.Duration(d.gate.get().LoadLagMs) * time.Millisecond
	if lag == 0 {
		control.WriteJSON(w, d.currentLoad())
		return
	}
	control.WriteJSON(w, d.past.at(time.Now().Add(-lag)))
}

// SetRequestID sets the answer's request id: the request's own, or another one for a
// crossed answer. It returns the id that was set.
func (d *Server) SetRequestID(w http.ResponseWriter, id string, fate RequestFault) string {
	if fate == FaultWrongID {
		id = crossedID(d.serial.Add(1))
	}
	w.Header().Set(HeaderRequestID, id)
	return id
}

// Refuse answers a request that was not started.
func (d *Server) Refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderRunState, RunStateNotRun)
	http.Error(w, reason, status)
}

// DelayResponse waits while the fate or a stall keeps an answer back. It returns
// false when the caller is gone or the door is closed.
func (d *Server) DelayResponse(ctx context.Context, fate RequestFault) bool {
	if fate == FaultDelay {
		late := time.Duration(d.gate.get().DelayMs) * time.Millisecond
		if !d.Sleep(ctx, late) {
			return false
		}
	}
	for d.Stalled() {
		if !d.Sleep(ctx, stallPoll) {
			return false
		}
	}
	return true
}

// stallPoll is the time between two looks at the end of a stall.
const stallPoll = 10 * time.Millisecond

// Sleep waits and returns false when the caller is gone or the door closed.
func (d *Server) Sleep(ctx context.Context, t time.Duration) bool {
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
	case <-d.closed:
		return false
	}
}

// Done is closed when the door is.
func (d *Server) Done() <-chan struct{} { return d.closed }

// Abort cuts the connection of a request in progress.
func Abort() { panic(http.ErrAbortHandler) }
