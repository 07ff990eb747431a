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
	"cuminrock.example/router/platformclient"
)

// memTables keeps rows in memory and injects faults from a seeded source.
type memTables struct {
	mu   sync.Mutex
	rows map[string]*pb.Row
	rand *rand.Rand
	// faultPermille is the share of calls that fail, in permille.
	faultPermille int
	// down makes every call fail before it takes effect.
	down bool
	// script lists the outcomes of the first calls; later ones are random.
	script []int
	// lateWrites waits for the writes whose response was lost before they took
	// effect.
	lateWrites sync.WaitGroup
	calls      int
}

func newMemTables(seed uint64, faultPermille int) *memTables {
	return &memTables{
		rows:          make(map[string]*pb.Row),
		rand:          rand.New(rand.NewPCG(seed, 1)),
		faultPermille: faultPermille,
	}
}

func (m *memTables) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// The outcomes of a call.
const (
	callOK = iota
	callUnavailable
	callResponseLost
	callAppliedLate
)

// fault returns the outcome of the next call.
func (m *memTables) fault() int {
	if len(m.script) > 0 {
		next := m.script[0]
		m.script = m.script[1:]
		return next
	}
	if m.rand.IntN(1000) >= m.faultPermille {
		return callOK
	}
	return callUnavailable + m.rand.IntN(callAppliedLate)
}

func (m *memTables) Read(_ context.Context, keys ...string) ([]*pb.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.down || m.fault() != callOK {
		return nil, platformclient.ErrUnavailable
	}
	row := m.rows[keys[0]]
	if row == nil {
		return nil, nil
	}
	return []*pb.Row{row}, nil
}

func (m *memTables) Scan(context.Context, string, string, int) ([]*pb.Row, bool, error) {
	return nil, false, errors.New("scan is not supported")
}

func (m *memTables) Commit(_ context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.down {
		return nil, platformclient.ErrUnavailable
	}
	switch m.fault() {
	case callUnavailable:
		return nil, platformclient.ErrUnavailable
	case callResponseLost:
		m.apply(txn)
		return nil, platformclient.ErrOutcomeUnknown
	case callAppliedLate:
		m.applyLater(txn)
		return nil, platformclient.ErrOutcomeUnknown
	}
	return m.apply(txn), nil
}

// applyLater applies a write up to 7 ms after its response was lost.
func (m *memTables) applyLater(txn *pb.CommitRequest) {
	delay := time.Duration(m.rand.IntN(8)) * time.Millisecond
	m.lateWrites.Go(func() {
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

// The behaviours of the service for one call.
const (
	serviceOK = iota
	serviceRefuses
	serviceDropsConnection
	serviceWrongRequestID
	serviceLate
	serviceFails
	serviceModes
)

// service is a fake plain service that counts executions, by action and by
// request.
type service struct {
	server *httptest.Server
	delay  time.Duration

	mu        sync.Mutex
	rand      *rand.Rand
	byAction  map[string]int
	byRequest map[string]int
	// mode is the behaviour for all calls; serviceModes chooses one at random
	// for each call.
	mode int
}

const (
	headerRequestID = "Cuminrock-Request-Id"
	headerAction    = "Test-Action"
)

func newService(seed uint64, mode int) *service {
	s := &service{
		delay:     15 * time.Millisecond,
		rand:      rand.New(rand.NewPCG(seed, 2)),
		byAction:  make(map[string]int),
		byRequest: make(map[string]int),
		mode:      mode,
	}
	s.server = httptest.NewServer(s)
	return s
}

func (s *service) target() *pb.Target {
	return &pb.Target{Name: "registry-1", Address: s.server.Listener.Addr().String()}
}

func (s *service) nextMode() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != serviceModes {
		return s.mode
	}
	return s.rand.IntN(serviceModes)
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
	mode := s.nextMode()
	if mode == serviceRefuses {
		w.Header().Set(headerRequestID, id)
		w.Header().Set("Cuminrock-Run-State", "not_run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.execute(r)
	switch mode {
	case serviceDropsConnection:
		panic(http.ErrAbortHandler)
	case serviceWrongRequestID:
		id = "another"
	case serviceLate:
		time.Sleep(s.delay)
	case serviceFails:
		w.Header().Set(headerRequestID, id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerRequestID, id)
	fmt.Fprintf(w, "done %s", r.URL.Path)
}
