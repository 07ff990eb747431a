package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Runner is a stand-in for a runner.
type Runner struct {
	ID, Service, Zone, Version, Address string
	Slots                               int
	born                                int64
	store                               *Store
	server                              *http.Server

	mu       sync.Mutex
	state    string
	sequence int
	running  int
	stopped  bool
	// serve answers a request that was sent to this runner.
	serve func(*Runner, http.ResponseWriter, *http.Request)
}

// StartRunner starts a runner that registers itself.
func StartRunner(store *Store, id, service, zone string, slots int, serve func(*Runner, http.ResponseWriter, *http.Request)) *Runner {
	r := &Runner{Version: "v1"}
	r.start(store, id, service, zone, slots, serve)
	return r
}

func (r *Runner) start(store *Store, id, service, zone string, slots int, serve func(*Runner, http.ResponseWriter, *http.Request)) {
	r.ID, r.Service, r.Zone, r.Slots, r.born, r.store, r.state, r.serve = id, service, zone, slots, time.Now().UnixMilli(), store, "ready", serve
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRun(err)
	r.Address = lis.Addr().String()
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle)}
	go r.server.Serve(lis)
	r.Register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.mu.Lock()
			stopped := r.stopped
			r.mu.Unlock()
			if stopped {
				return
			}
			r.Register()
		}
	}()
}

// Register writes the runner's entry.
func (r *Runner) Register() {
	r.mu.Lock()
	r.sequence++
	entry := map[string]any{"service": r.Service, "address": r.Address, "zone": r.Zone, "version": r.Version, "slots": r.Slots,
		"state": r.state, "coldRemainingMs": 0, "sequence": r.sequence, "born": r.born}
	r.mu.Unlock()
	r.store.Put("servers", r.ID, entry)
}

func (r *Runner) handle(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", r.ID)
		return
	}
	id := req.Header.Get("X-Attempt-Id")
	if expected := req.Header.Get("X-Expected-Instance"); expected != "" && expected != r.ID {
		w.Header().Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.running++
	load := fmt.Sprintf("%d,%d,%d", min(r.running, r.Slots), max(r.running-r.Slots, 0), r.Slots)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Load", load)
	w.Header().Set("X-Response-Signature", "sig-"+r.ID+"-"+id)
	record("runner_got", map[string]any{"runner": r.ID, "id": id, "method": req.Method, "uri": req.RequestURI, "tenant": req.Header.Get("X-Tenant"),
		"body": len(body), "usage": req.Header.Get("X-Token-Usage")})
	r.serve(r, w, req)
}
