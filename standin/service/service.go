package service

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"cuminrock.example/standin/control"
	"cuminrock.example/standin/target"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 16 << 20

// Options configures a Service.
type Options struct {
	// Seed and the request body determine the result of a call.
	Seed uint64
	// ServiceTime is how long one call takes.
	ServiceTime time.Duration
}

// Response is the answer to one call.
type Response struct {
	ID   string `json:"id"`
	Path string `json:"path"`
	// Result is the same for the same path and body.
	Result string `json:"result"`
	// Execution counts all executions of the service, so that no two
	// executions of an action give the same answer.
	Execution uint64 `json:"execution"`
}

// Counts is what the service did since its start.
type Counts struct {
	// Executions is all calls that ran; the maps count them per request id
	// and per idempotency key, Repeated the request ids with more than one.
	Executions          uint64         `json:"executions"`
	Repeated            int            `json:"repeated"`
	ExecutionsByID      map[string]int `json:"executions_by_id"`
	ExecutionsByKey     map[string]int `json:"executions_by_key"`
	RunsWhileLeaving    uint64         `json:"runs_while_leaving"`
	Refused             uint64         `json:"refused"`
	ResponsesNotWritten uint64         `json:"answers_not_written"`
}

// Service is one plain service. It is safe for concurrent use.
type Service struct {
	opts  Options
	door  *target.Server
	byID  target.RunCounter
	byKey target.RunCounter

	inFlight         atomic.Int64
	executions       atomic.Uint64
	runsWhileLeaving atomic.Uint64
	refused          atomic.Uint64
	unanswered       atomic.Uint64
}

// New returns a service.
func New(opts Options) *Service {
	s := &Service{opts: opts}
	s.door = target.NewServer(func() target.LoadReport {
		return target.LoadReport{InFlight: int(s.inFlight.Load())}
	})
	return s
}

// Open takes the listener and returns the function that serves it until
// Close.
func (s *Service) Open(lis net.Listener) (serve func() error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", s.door.ServeLoad)
	mux.HandleFunc("POST /", s.serveCall)
	return s.door.Open(lis, mux)
}

// Serve serves the listener until Close.
func (s *Service) Serve(lis net.Listener) error { return s.Open(lis)() }

// Addr returns host:port, empty before Open.
func (s *Service) Addr() string { return s.door.Addr() }

// Close ends the service and all connections.
func (s *Service) Close() { s.door.Close() }

// SetFaults replaces all faults.
func (s *Service) SetFaults(f target.Faults) error { return s.door.SetFaults(f) }

// Faults returns the faults in force.
func (s *Service) Faults() target.Faults { return s.door.Faults() }

// ControlHandler returns the control door.
func (s *Service) ControlHandler() http.Handler {
	return control.NewHandler[target.Faults, Counts](s)
}

// Counts returns what was counted since the start.
func (s *Service) Counts() Counts {
	return Counts{
		Executions:          s.executions.Load(),
		Repeated:            s.byID.Repeated(),
		ExecutionsByID:      s.byID.Snapshot(),
		ExecutionsByKey:     s.byKey.Snapshot(),
		RunsWhileLeaving:    s.runsWhileLeaving.Load(),
		Refused:             s.refused.Load(),
		ResponsesNotWritten: s.unanswered.Load(),
	}
}

// ExecutionCount returns how often one request id was executed.
func (s *Service) ExecutionCount(requestID string) int { return s.byID.Count(requestID) }

// serveCall executes one call and answers as its fate has it.
func (s *Service) serveCall(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	fate := s.door.NextFault()
	if fate == target.FaultRefuse {
		s.refuse(w, http.StatusServiceUnavailable, "refused")
		return
	}
	s.inFlight.Add(1)
	s.door.RecordLoad()
	answer := s.execute(req, body)
	s.inFlight.Add(-1)
	s.door.RecordLoad()
	s.answer(w, req, answer, fate)
}

func (s *Service) refuse(w http.ResponseWriter, status int, reason string) {
	s.refused.Add(1)
	s.door.Refuse(w, status, reason)
}

// execute runs one call. It goes on when the caller is gone, as an action
// does that was begun.
func (s *Service) execute(req *http.Request, body []byte) Response {
	id := req.Header.Get(target.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	s.byID.Add(id)
	key := req.Header.Get(target.HeaderIdempotencyKey)
	if key != "" {
		s.byKey.Add(key)
	}
	if s.Faults().Leaving {
		s.runsWhileLeaving.Add(1)
	}
	execution := s.executions.Add(1)
	time.Sleep(s.Faults().ScaleDuration(s.opts.ServiceTime))
	return Response{ID: id, Path: req.URL.Path, Result: s.result(req.URL.Path, body), Execution: execution}
}

func (s *Service) result(path string, body []byte) string {
	h := sha256.New()
	h.Write(binary.LittleEndian.AppendUint64(nil, s.opts.Seed))
	h.Write([]byte(path))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// answer sends the answer of an executed call, or keeps it back.
func (s *Service) answer(w http.ResponseWriter, req *http.Request, a Response, fate target.RequestFault) {
	if !s.door.DelayResponse(req.Context(), fate) {
		s.unanswered.Add(1)
		return
	}
	switch fate {
	case target.FaultDisconnect:
		s.unanswered.Add(1)
		target.Abort()
	case target.FaultFail:
		http.Error(w, "service failed", http.StatusInternalServerError)
		return
	}
	a.ID = s.door.SetRequestID(w, a.ID, fate)
	control.WriteJSON(w, a)
}
