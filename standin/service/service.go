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

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

// Options configures a Service.
type Options struct {
	// Seed, the path and the request body determine the result of a call.
	Seed uint64
	// ServiceTime is the execution time of one call.
	ServiceTime time.Duration
}

// Response is the response to one call.
type Response struct {
	ID   string `json:"id"`
	Path string `json:"path"`
	// Result is the same for the same path and body.
	Result string `json:"result"`
	// Execution is the sequence number of the execution, so that no two
	// executions of an action return the same response.
	Execution uint64 `json:"execution"`
}

// Counts holds the counters of a service since its start.
type Counts struct {
	// Executions is the number of calls that ran. The maps count them per
	// request id and per idempotency key; Repeated is the number of request
	// ids that ran more than once.
	Executions          uint64         `json:"executions"`
	Repeated            int            `json:"repeated"`
	ExecutionsByID      map[string]int `json:"executions_by_id"`
	ExecutionsByKey     map[string]int `json:"executions_by_key"`
	RunsWhileLeaving    uint64         `json:"runs_while_leaving"`
	Refused             uint64         `json:"refused"`
	ResponsesNotWritten uint64         `json:"answers_not_written"`
}

// Service emulates one plain service. It is safe for concurrent use.
type Service struct {
	opts      Options
	server    *target.Server
	runsByID  target.RunCounter
	runsByKey target.RunCounter

	inFlight            atomic.Int64
	executions          atomic.Uint64
	runsWhileLeaving    atomic.Uint64
	refused             atomic.Uint64
	responsesNotWritten atomic.Uint64
}

// New returns a service.
func New(opts Options) *Service {
	s := &Service{opts: opts}
	s.server = target.NewServer(func() target.LoadReport {
		return target.LoadReport{InFlight: int(s.inFlight.Load())}
	})
	return s
}

// Open binds the service to the listener and returns the function that serves
// it until Close.
func (s *Service) Open(lis net.Listener) (serve func() error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", s.server.ServeLoad)
	mux.HandleFunc("POST /", s.serveCall)
	return s.server.Open(lis, mux)
}

// Serve serves the listener until Close.
func (s *Service) Serve(lis net.Listener) error { return s.Open(lis)() }

// Addr returns the listener's host:port, or an empty string before Open.
func (s *Service) Addr() string { return s.server.Addr() }

// Close stops the service and closes its connections.
func (s *Service) Close() { s.server.Close() }

// SetFaults replaces all faults.
func (s *Service) SetFaults(f target.Faults) error { return s.server.SetFaults(f) }

// Faults returns the active faults.
func (s *Service) Faults() target.Faults { return s.server.Faults() }

// ControlHandler returns the handler of the control API.
func (s *Service) ControlHandler() http.Handler {
	return control.NewHandler[target.Faults, Counts](s)
}

// Counts returns the counters since the start.
func (s *Service) Counts() Counts {
	return Counts{
		Executions:          s.executions.Load(),
		Repeated:            s.runsByID.Repeated(),
		ExecutionsByID:      s.runsByID.Snapshot(),
		ExecutionsByKey:     s.runsByKey.Snapshot(),
		RunsWhileLeaving:    s.runsWhileLeaving.Load(),
		Refused:             s.refused.Load(),
		ResponsesNotWritten: s.responsesNotWritten.Load(),
	}
}

// ExecutionCount returns the number of executions of one request id.
func (s *Service) ExecutionCount(requestID string) int { return s.runsByID.Count(requestID) }

// serveCall executes one call and responds, subject to the injected fault.
func (s *Service) serveCall(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	fault := s.server.NextFault()
	if fault == target.FaultRefuse {
		s.refuse(w, http.StatusServiceUnavailable, "refused")
		return
	}
	s.inFlight.Add(1)
	s.server.RecordLoad()
	response := s.execute(req, body)
	s.inFlight.Add(-1)
	s.server.RecordLoad()
	s.writeResponse(w, req, response, fault)
}

func (s *Service) refuse(w http.ResponseWriter, status int, reason string) {
	s.refused.Add(1)
	s.server.Refuse(w, status, reason)
}

// execute runs one call. It continues if the caller disconnects, as an action
// that was started does.
func (s *Service) execute(req *http.Request, body []byte) Response {
	id := req.Header.Get(target.HeaderRequestID)
	if id == "" {
		id = uuid.NewString()
	}
	s.runsByID.Add(id)
	key := req.Header.Get(target.HeaderIdempotencyKey)
	if key != "" {
		s.runsByKey.Add(key)
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

// writeResponse writes the response to an executed call, or withholds it if
// the fault says so.
func (s *Service) writeResponse(w http.ResponseWriter, req *http.Request, response Response, fault target.RequestFault) {
	if !s.server.DelayResponse(req.Context(), fault) {
		s.responsesNotWritten.Add(1)
		return
	}
	switch fault {
	case target.FaultDisconnect:
		s.responsesNotWritten.Add(1)
		target.Abort()
	case target.FaultFail:
		http.Error(w, "service failed", http.StatusInternalServerError)
		return
	}
	response.ID = s.server.SetRequestID(w, response.ID, fault)
	control.WriteJSON(w, response)
}
