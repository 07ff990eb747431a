package actionrunner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/platform"
)

// memTables keeps rows in memory. Its faults are drawn from a seeded source.
type memTables struct {
	mu   sync.Mutex
	rows map[string]*pb.Row
	rand *rand.Rand
	// faultPermille is the part of calls that go wrong.
	faultPermille int
	// out makes every call fail before it takes effect.
	out bool
	// script fixes how the first commits go, before faults are drawn.
	script []int
	// landed waits for writes whose answer was lost before they took effect.
	landed sync.WaitGroup
	calls  int
}

func newMemTables(seed uint64, faultPermille int) *memTables {
	return &memTables{
		rows:          make(map[string]*pb.Row),
		rand:          rand.New(rand.NewPCG(seed, 1)),
		faultPermille: faultPermille,
	}
}

func (m *memTables) setOut(out bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.out = out
}

// What goes wrong with a call.
const (
	callWell = iota
	callUnavailable
	callAnswerLost
	callLandsLate
)

// fault draws what goes wrong.
func (m *memTables) fault() int {
	if len(m.script) > 0 {
		next := m.script[0]
		m.script = m.script[1:]
		return next
	}
	if m.rand.IntN(1000) >= m.faultPermille {
		return callWell
	}
	return callUnavailable + m.rand.IntN(callLandsLate)
}

func (m *memTables) Read(_ context.Context, keys ...string) ([]*pb.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.out || m.fault() != callWell {
		return nil, platform.ErrUnavailable
	}
	row := m.rows[keys[0]]
	if row == nil {
		return nil, nil
	}
	return []*pb.Row{row}, nil
}

func (m *memTables) Scan(context.Context, string, string, int) ([]*pb.Row, bool, error) {
	return nil, false, errors.New("not scanned")
}

func (m *memTables) Commit(_ context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.out {
		return nil, platform.ErrUnavailable
	}
	switch m.fault() {
	case callUnavailable:
		return nil, platform.ErrUnavailable
	case callAnswerLost:
		m.apply(txn)
		return nil, platform.ErrUnknown
	case callLandsLate:
		m.landLater(txn)
		return nil, platform.ErrUnknown
	}
	return m.apply(txn), nil
}

// landLater applies a write some milliseconds after its answer was lost.
func (m *memTables) landLater(txn *pb.CommitRequest) {
	delay := time.Duration(m.rand.IntN(8)) * time.Millisecond
	m.landed.Go(func() {
		time.Sleep(delay)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.apply(txn)
	})
}

func (m *memTables) apply(txn *pb.CommitRequest) *pb.CommitResponse {
	key, want := txn.Conditions[0].Key, txn.Conditions[0].Version
	row := m.rows[key]
	if row.GetVersion() != want {
		resp := &pb.CommitResponse{}
		if row != nil {
			resp.Conflicts = []*pb.Row{row}
		}
		return resp
	}
	m.rows[key] = &pb.Row{Key: key, Value: txn.Writes[0].Value, Version: want + 1}
	return &pb.CommitResponse{Committed: true, Version: want + 1}
}

// The ways in which the service answers one call.
const (
	serviceWell = iota
	serviceRefuses
	serviceBreaks
	serviceCrosses
	serviceLate
	serviceFails
	serviceWays
)

// service is a plain service that counts executions, by action and by request.
type service struct {
	server *httptest.Server
	late   time.Duration

	mu        sync.Mutex
	rand      *rand.Rand
	byAction  map[string]int
	byRequest map[string]int
	// way fixes how calls are answered; serviceWays draws it.
	way int
}

const (
	headerRequestID = "Cuminrock-Request-Id"
	headerAction    = "Test-Action"
)

func newService(seed uint64, way int) *service {
	s := &service{
		late:      15 * time.Millisecond,
		rand:      rand.New(rand.NewPCG(seed, 2)),
		byAction:  make(map[string]int),
		byRequest: make(map[string]int),
		way:       way,
	}
	s.server = httptest.NewServer(s)
	return s
}

func (s *service) target() *pb.Target {
	return &pb.Target{Name: "registry-1", Address: s.server.Listener.Addr().String()}
}

func (s *service) draw() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.way != serviceWays {
		return s.way
	}
	return s.rand.IntN(serviceWays)
}

func (s *service) execute(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byAction[r.URL.Path]++
	s.byRequest[r.Header.Get(headerRequestID)]++
}

func (s *service) runs(action string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byAction["/"+action]
}

func (s *service) requestRuns(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byRequest[id]
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	way := s.draw()
	if way == serviceRefuses {
		w.Header().Set(headerRequestID, id)
		w.Header().Set("Cuminrock-Run-State", "not_run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.execute(r)
	switch way {
	case serviceBreaks:
		panic(http.ErrAbortHandler)
	case serviceCrosses:
		id = "another"
	case serviceLate:
		time.Sleep(s.late)
	case serviceFails:
		w.Header().Set(headerRequestID, id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerRequestID, id)
	fmt.Fprintf(w, "done %s", r.URL.Path)
}
