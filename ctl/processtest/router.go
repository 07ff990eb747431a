package processtest

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/operatorapi"
)

// listenAddresses is the line that the daemon prints once it listens on all its
// addresses.
type listenAddresses struct {
	Name     string `json:"name"`
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Peer     string `json:"peer"`
}

// Router is one router. A restart replaces its process.
type Router struct {
	*Process
	// Name and Centre are the name and data centre in the router's settings.
	Name, Centre string
	// PeerProxy is in front of the router's peer listener.
	PeerProxy *TCPProxy

	t            testing.TB
	binary       string
	settingsPath string
	// addresses is replaced by a restart while callers may read it.
	addresses atomic.Pointer[listenAddresses]
}

func newRouter(t testing.TB, binary string, s *pb.RouterSettings) *Router {
	t.Helper()
	r := &Router{Name: s.Name, Centre: s.DataCentre, PeerProxy: newTCPProxy(t), t: t, binary: binary}
	s.Doors = &pb.Doors{
		Caller:         "127.0.0.1:0",
		Operator:       "127.0.0.1:0",
		Peer:           "127.0.0.1:0",
		PeerAdvertised: r.PeerProxy.Addr(),
	}
	data, err := protojson.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	r.settingsPath = filepath.Join(t.TempDir(), s.Name+".json")
	if err := os.WriteFile(r.settingsPath, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return r
}

// Start starts the router's process, or restarts it after an earlier one has
// exited.
func (r *Router) Start(t testing.TB) {
	t.Helper()
	addresses := &listenAddresses{}
	r.Process = startProcess(t, r.Name, addresses, r.binary, "-settings", r.settingsPath)
	r.addresses.Store(addresses)
	r.PeerProxy.SetBackend(addresses.Peer)
}

// operatorClient has a timeout, as a paused router doesn't respond.
var operatorClient = &http.Client{Timeout: 2 * time.Second}

// Status returns the router's status, or false if its operator API doesn't
// respond.
func (r *Router) Status() (operatorapi.Status, bool) {
	var s operatorapi.Status
	return s, r.getJSON("/status", &s)
}

// Ready reports the readiness that the router's health check reports to load
// balancers.
func (r *Router) Ready() bool {
	var h operatorapi.Health
	return r.getJSON("/health", &h) && h.Ready
}

// Vars holds those of the router's exported variables that the tests use.
type Vars struct {
	Streams int64 `json:"streams"`
	// CPUSeconds is the CPU time of the process.
	CPUSeconds float64 `json:"cpu_seconds"`
	Ledger     struct {
		FreeTokens         int64
		ReservedTokens     int64
		WaitingBills       int
		WaitingCopies      int
		ConservationBroken uint64
		UncoveredTokens    int64
		DuplicateRuns      uint64
	} `json:"ledger"`
}

// Vars returns the router's variables, or zero values if it doesn't respond.
func (r *Router) Vars() Vars {
	var v Vars
	r.getJSON("/debug/vars", &v)
	return v
}

// Memory holds those of the process's memory statistics that the tests use, in
// bytes.
type Memory struct {
	Memstats struct {
		HeapAlloc  int64
		HeapInuse  int64
		StackInuse int64
		Sys        int64
	} `json:"memstats"`
}

// Memory returns the process's memory statistics.
func (r *Router) Memory() Memory {
	var m Memory
	r.getJSON("/debug/vars?process", &m)
	return m
}

func (r *Router) getJSON(path string, dst any) bool {
	resp, err := operatorClient.Get("http://" + r.addresses.Load().Operator + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(dst) == nil
}

// ReceivedCount returns the number of requests that the router's caller API had
// received when it stopped gracefully, from its log. It waits until the process
// has exited.
func (r *Router) ReceivedCount() int64 {
	r.t.Helper()
	r.ExitCode()
	for line := range bytes.Lines(r.log()) {
		var entry struct {
			Message  string `json:"msg"`
			Received *int64 `json:"received"`
		}
		if json.Unmarshal(line, &entry) == nil && entry.Message == "node: stopped." && entry.Received != nil {
			return *entry.Received
		}
	}
	r.t.Fatalf("%s: its log doesn't say that it stopped, with the number of requests received", r.Name)
	return 0
}

// WaitReady waits until the router's health check reports ready.
func (r *Router) WaitReady() {
	r.t.Helper()
	Eventually(r.t, r.Name+" is ready", r.Ready)
}

// WaitVersion waits until the router is ready with this configuration version
// or a later one in force.
func (r *Router) WaitVersion(version uint64) {
	r.t.Helper()
	Eventually(r.t, r.Name+" has the configuration version in force", func() bool {
		s, ok := r.Status()
		return ok && s.Ready && s.ConfigVersion >= version
	})
}
