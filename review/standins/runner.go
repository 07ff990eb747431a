package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is how often a runner writes its entry.
	heartbeat = 1200 * time.Millisecond
	// eventTokens is the number of output tokens in one event of a stream.
	eventTokens = 5
	// eventPause is the pause between two events.
	eventPause = 5 * time.Millisecond
	// workTime is how long a plain request takes.
	workTime = 15 * time.Millisecond
)

// runner is a stand-in of a runner of a service. One with tokens answers with a stream of
// events that hold the most output tokens of the request.
type runner struct {
	id, service, zone, address string
	engine                     bool
	slots                      int
	store                      *store
	record                     *record
	server                     *http.Server
	born                       int64
	stopped                    chan struct{}

	mu       sync.Mutex
	sequence int
	running  int
	runs     int
}

func startRunner(s *store, rec *record, id, service, zone string, engine bool) (*runner, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, zone: zone, address: lis.Addr().String(), engine: engine, slots: 64, store: s, record: rec, born: time.Now().UnixMilli(), stopped: make(chan struct{})}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(lis) }()
	r.beat()
	go func() {
		for {
			select {
			case <-r.stopped:
				return
			case <-time.After(heartbeat):
				r.beat()
			}
		}
	}()
	return r, nil
}

func (r *runner) stop() {
	close(r.stopped)
	_ = r.server.Close()
}

// beat writes the runner's entry.
func (r *runner) beat() {
	r.mu.Lock()
	r.sequence++
	n := r.sequence
	r.mu.Unlock()
	entry, _ := json.Marshal(map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": n, "born": r.born})
	r.store.put("servers", r.id, entry)
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	r.mu.Lock()
	r.running++
	load := fmt.Sprintf("%d,0,%d", r.running, r.slots)
	r.mu.Unlock()
	defer func() { r.mu.Lock(); r.running--; r.mu.Unlock() }()
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Load", load)
	if expected := q.Header.Get("X-Expected-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.runs++
	r.mu.Unlock()
	r.record.addRun(id)
	r.record.line("run", "id", id, "runner", r.id, "tenant", q.Header.Get("X-Tenant"), "tokens", q.Header.Get("X-Token-Usage"), "bytes", len(body))
	w.Header().Set("X-Response-Signature", r.id+"."+id)
	if !r.engine {
		time.Sleep(workTime)
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "done by "+r.id)
		return
	}
	_, most, _ := strings.Cut(q.Header.Get("X-Token-Usage"), ",")
	output, _ := strconv.Atoi(most)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= output/eventTokens; n++ {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(eventPause):
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
