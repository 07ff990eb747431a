package node

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/router/callerapi"
	"cuminrock.example/router/configlog"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/settings"
	"cuminrock.example/standin/engine"
	standin "cuminrock.example/standin/platform"
	"cuminrock.example/standin/service"
)

const (
	testKey    = "test-key"
	testBudget = "demo-daily"
	// waitTimeout bounds waits in tests; no measurement depends on it.
	waitTimeout = 20 * time.Second
)

// fixture is a small deployment in one process.
type fixture struct {
	t        *testing.T
	platform *standin.Server
	engine   *engine.Engine
	service  *service.Service
	client   *platformclient.Client
	nodes    []*Node
}

type standIn interface {
	Open(net.Listener) func() error
	Close()
}

func startStandIn(t *testing.T, s standIn) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	serve := s.Open(lis)
	go func() { _ = serve() }()
	t.Cleanup(s.Close)
	return lis.Addr().String()
}

// newFixture starts stand-ins for platform, engine and service, applies a
// configuration with a top-up, and starts routers.
func newFixture(t *testing.T, routers int, tokens int64, opts engine.Options) *fixture {
	f := &fixture{
		t:        t,
		platform: standin.New(standin.Options{Seed: 1}),
		engine:   engine.New(opts),
		service:  service.New(service.Options{Seed: 1}),
	}
	address := startStandIn(t, f.platform)
	var err error
	f.client, err = platformclient.Dial(address, time.Second)
	is.New(t).NoErr(err)
	f.configure(startStandIn(t, f.engine), startStandIn(t, f.service), tokens)
	for i := range routers {
		f.start(string(rune('a'+i)), address)
	}
	f.waitReady()
	return f
}

func (f *fixture) configure(engineAddress, serviceAddress string, tokens int64) {
	is := is.New(f.t)
	sum := sha256.Sum256([]byte(testKey))
	change := &pb.Change{Version: 1, Upserts: []*pb.Record{
		config.WorkspaceRecord(&pb.Workspace{Name: "demo", KeySha256: [][]byte{sum[:]}, Priority: pb.Priority_PRIORITY_NORMAL, DefaultBudget: testBudget}),
		config.BudgetRecord(&pb.Budget{Name: testBudget, Workspace: "demo"}),
		config.ServiceRecord(&pb.Service{Name: "model-pool", Kind: pb.ServiceKind_SERVICE_KIND_MODEL, DefaultProvider: "old", Calls: []*pb.Call{
			{Path: "v1/chat/completions", Kind: pb.CallKind_CALL_KIND_MODEL},
		}}),
		config.ServiceRecord(&pb.Service{Name: "registry-app", Kind: pb.ServiceKind_SERVICE_KIND_PLAIN, DefaultProvider: "local", Calls: []*pb.Call{
			{Path: "find-record", Kind: pb.CallKind_CALL_KIND_LOOKUP, CostTokens: 20},
			{Path: "issue-certificate", Kind: pb.CallKind_CALL_KIND_ACTION, CostTokens: 200},
		}}),
		config.TargetRecord(&pb.Target{Name: "e1", Service: "model-pool", Provider: "old", DataCentre: "dc-a", Address: engineAddress}),
		config.TargetRecord(&pb.Target{Name: "s1", Service: "registry-app", Provider: "local", DataCentre: "dc-a", Address: serviceAddress}),
	}}
	_, err := configlog.Append(f.t.Context(), f.client, "test", change)
	is.NoErr(err)
	_, err = ledger.TopUp(f.t.Context(), f.client, "t1", testBudget, tokens)
	is.NoErr(err)
}

func (f *fixture) start(name, platformAddress string) {
	is := is.New(f.t)
	var peers []string
	for _, n := range f.nodes {
		peers = append(peers, `"`+n.PeerAddr()+`"`)
	}
	s, err := settings.Parse([]byte(`{"name":"` + name + `","data_centre":"dc-a","region":"r",
		"doors":{"caller":"127.0.0.1:0","operator":"127.0.0.1:0","peer":"127.0.0.1:0"},
		"platform":{"address":"` + platformAddress + `"},"peer_addresses":[` + strings.Join(peers, ",") + `],
		"caller_limits":{"max_body_bytes":"4096","park_grace":"5s"}}`))
	is.NoErr(err)
	n, err := Start(s, zap.NewNop())
	is.NoErr(err)
	f.nodes = append(f.nodes, n)
	f.t.Cleanup(func() {
		if !n.draining.Load() {
			n.Kill()
		}
	})
}

func (f *fixture) waitReady() {
	f.eventually(func() bool {
		for _, n := range f.nodes {
			if !n.Health().Ready || len(n.Status().Members) != len(f.nodes)-1 {
				return false
			}
		}
		return true
	})
}

func (f *fixture) eventually(done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatal("the condition didn't hold in time")
}

// call is one request of a test.
type call struct {
	method, path, key, idempotency, resume, body string
}

// do sends a call to a node and returns the open response.
func (f *fixture) do(ctx context.Context, n *Node, c call) *http.Response {
	is := is.New(f.t)
	if c.method == "" {
		c.method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+n.CallerAddr()+c.path, strings.NewReader(c.body))
	is.NoErr(err)
	if c.key == "" {
		c.key = testKey
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if c.idempotency != "" {
		req.Header.Set(callerapi.HeaderIdempotencyKey, c.idempotency)
	}
	if c.resume != "" {
		req.Header.Set(callerapi.HeaderLastEventID, c.resume)
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// errorInfo decodes an error response.
func (f *fixture) errorInfo(resp *http.Response) callerapi.ErrorInfo {
	is := is.New(f.t)
	var body callerapi.ErrorBody
	is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
	return body.Error
}

func (f *fixture) body(resp *http.Response) string {
	data, err := io.ReadAll(resp.Body)
	is.New(f.t).NoErr(err)
	return string(data)
}

// bill returns the tokens of a request's bill once the platform has it.
func (f *fixture) bill(key string) int64 {
	f.t.Helper()
	var tokens int64
	f.eventually(func() bool {
		row, found, err := ledger.ReadBill(f.t.Context(), f.client, "demo:"+key)
		tokens = row.GetTokens()
		return err == nil && found
	})
	return tokens
}

// sseReader reads the events of a stream of server-sent events.
type sseReader struct {
	scanner *bufio.Scanner
}

func newSSEReader(r io.Reader) *sseReader { return &sseReader{scanner: bufio.NewScanner(r)} }

// event is one event as a caller sees it.
type event struct {
	id, name, data string
}

// next returns the next event, or false at the end.
func (s *sseReader) next() (event, bool) {
	var e event
	for s.scanner.Scan() {
		field, value, ok := bytes.Cut(s.scanner.Bytes(), []byte(": "))
		if !ok {
			return e, true
		}
		switch string(field) {
		case "id":
			e.id = string(value)
		case "event":
			e.name = string(value)
		case "data":
			e.data = string(value)
		}
	}
	return e, false
}

// readAll reads the stream to its end or error event and returns all data
// before it.
func (s *sseReader) readAll() (data []string, end event) {
	for {
		e, ok := s.next()
		if !ok || e.name == "error" {
			return data, e
		}
		if e.name == "end" {
			return data, e
		}
		data = append(data, e.data)
	}
}
