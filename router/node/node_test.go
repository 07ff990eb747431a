package node

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminrock.example/router/callerapi"
	"cuminrock.example/standin/engine"
	standin "cuminrock.example/standin/platform"
	"cuminrock.example/standin/target"
)

const (
	modelPath  = "/v1/services/model-pool/v1/chat/completions"
	lookupPath = "/v1/services/registry-app/find-record"
	actionPath = "/v1/services/registry-app/issue-certificate"
	streamBody = `{"model":"m","max_tokens":40,"stream":true,"messages":[{"role":"user","content":"lineage"}]}`
	unaryBody  = `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"lineage"}]}`
)

var fastEngine = engine.Options{Seed: 1, TokensPerSecond: 500}

// Each kind of invalid request has its own error kind, and none of these
// requests is executed.
func TestBadRequestsHaveTheirOwnKinds(t *testing.T) {
	f := newFixture(t, 1, 100_000, fastEngine)
	for _, c := range []struct {
		kind   string
		status int
		call   call
	}{
		{"unknown_key", 401, call{path: lookupPath, key: "other", body: "{}"}},
		{"unknown_service", 404, call{path: "/v1/services/nowhere/x", body: "{}"}},
		{"unknown_service", 404, call{path: "/v1/services/registry-app/nothing", body: "{}"}},
		{"unknown_service", 404, call{path: "/elsewhere", body: "{}"}},
		{"bad_method", 405, call{method: http.MethodGet, path: lookupPath}},
		{"bad_request", 400, call{path: lookupPath, body: "{"}},
		{"bad_request", 400, call{path: modelPath, body: `{"max_tokens":"many"}`}},
		{"bad_request", 400, call{path: modelPath, body: `{"max_tokens":-1}`}},
		{"bad_request", 400, call{path: lookupPath, idempotency: "a b", body: "{}"}},
		{"bad_request", 400, call{path: modelPath, idempotency: "k", resume: "x", body: streamBody}},
		{"key_required", 400, call{path: modelPath, resume: "e1/s/0", body: streamBody}},
		{"key_required", 400, call{path: actionPath, body: "{}"}},
		{"body_too_large", 413, call{path: lookupPath, body: `"` + strings.Repeat("x", 5000) + `"`}},
		{"unknown_request", 404, call{method: http.MethodGet, path: "/v1/requests/none"}},
	} {
		t.Run(c.kind, func(t *testing.T) {
			is := is.New(t)
			resp := f.do(t.Context(), f.nodes[0], c.call)
			info := f.errorInfo(resp)
			is.Equal(info.Kind, c.kind)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(info.RetryAfterMs, int64(0))
		})
	}
	is.New(t).Equal(f.service.Counts().Executions, uint64(0))
}

// A unary request that is repeated with the same idempotency key gets the same
// response without a second execution or a second bill. A different body under
// the same key is refused.
func TestRepeatOfAUnaryCall(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 100_000, fastEngine)
	c := call{path: modelPath, idempotency: "w1", body: unaryBody}
	first := f.do(t.Context(), f.nodes[0], c)
	text := f.body(first)
	again := f.do(t.Context(), f.nodes[0], c)
	is.Equal(f.body(again), text)
	is.Equal(again.Header.Get(callerapi.HeaderReplayed), "true")
	is.Equal(f.engine.RunCount("demo:w1"), 1)
	is.Equal(strconv.FormatInt(f.bill("w1"), 10), first.Header.Get(callerapi.HeaderBilledTokens))
	c.body = `{"max_tokens":6}`
	is.Equal(f.errorInfo(f.do(t.Context(), f.nodes[0], c)).Kind, "key_reused")
}

// A caller that loses its connection resumes at another router. The complete
// response equals that of an uninterrupted request; it is executed once and
// billed once.
func TestResumeAtTheOtherRouter(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2, 100_000, engine.Options{Seed: 1, TokensPerSecond: 100})
	unbroken, unbrokenEnd := newSSEReader(f.do(t.Context(), f.nodes[0], call{path: modelPath, idempotency: "s0", body: streamBody}).Body).readAll()
	ctx, disconnect := context.WithCancel(t.Context())
	resp := f.do(ctx, f.nodes[0], call{path: modelPath, idempotency: "s1", body: streamBody})
	events := newSSEReader(resp.Body)
	var got []string
	var last string
	for range 5 {
		e, ok := events.next()
		is.True(ok)
		got = append(got, e.data)
		last = e.id
	}
	disconnect()
	resp = f.do(t.Context(), f.nodes[1], call{path: modelPath, idempotency: "s1", resume: last, body: streamBody})
	is.Equal(resp.StatusCode, http.StatusOK)
	rest, end := newSSEReader(resp.Body).readAll()
	is.Equal(end.name, "end")
	got = append(got, rest...)
	withoutKey := func(key string, in []string) []string {
		out := slices.Clone(in)
		for i := range out {
			out[i] = strings.Replace(out[i], key, "", 1)
		}
		return out
	}
	is.Equal(withoutKey("demo:s1", got), withoutKey("demo:s0", unbroken))
	is.Equal(strings.Replace(end.data, "s1", "s0", 1), unbrokenEnd.data)
	is.Equal(f.engine.RunCount("demo:s1"), 1)
	is.Equal(f.bill("s1"), f.bill("s0"))
}

// A response that belongs to another request must not reach the caller.
func TestMismatchedResponseIsDropped(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 100_000, fastEngine)
	is.NoErr(f.service.SetFaults(target.Faults{WrongIDNext: 10}))
	info := f.errorInfo(f.do(t.Context(), f.nodes[0], call{path: lookupPath, body: "{}"}))
	is.Equal(info.Kind, "answer_mismatch")
	is.Equal(info.RunState, "unknown")
}

// A graceful stop lets a stream in progress run to its end and settles its bill.
func TestGracefulStopCompletesStreams(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 100_000, engine.Options{Seed: 1, TokensPerSecond: 20})
	resp := f.do(t.Context(), f.nodes[0], call{path: modelPath, idempotency: "p1", body: streamBody})
	stopped := make(chan error, 1)
	go func() { stopped <- f.nodes[0].Stop(context.Background()) }()
	_, end := newSSEReader(resp.Body).readAll()
	is.Equal(end.name, "end")
	is.NoErr(<-stopped)
	is.True(f.bill("p1") > 0)
}

// A request whose token bound exceeds the rest of the budget is refused at once
// as not run. The kind is budget_exhausted once the last bill of the budget is
// settled.
func TestExhaustedBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 20, fastEngine)
	resp := f.do(t.Context(), f.nodes[0], call{path: lookupPath, body: "{}"})
	is.Equal(resp.StatusCode, http.StatusOK)
	f.eventually(func() bool {
		info := f.errorInfo(f.do(t.Context(), f.nodes[0], call{path: lookupPath, body: "{}"}))
		is.Equal(info.RunState, "not_run")
		is.True(info.RetryAfterMs > 0)
		return info.Kind == "budget_exhausted"
	})
	is.Equal(f.service.Counts().Executions, uint64(1))
}

// A parked stream must not be handed to another request that uses the same
// idempotency key, at either router.
func TestParkedStreamIsForItsRequestOnly(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2, 100_000, engine.Options{Seed: 1, TokensPerSecond: 100})
	ctx, disconnect := context.WithCancel(t.Context())
	c := call{path: modelPath, idempotency: "o1", body: streamBody}
	e, ok := newSSEReader(f.do(ctx, f.nodes[0], c).Body).next()
	is.True(ok)
	disconnect()
	other := call{path: modelPath, idempotency: "o1", body: strings.Replace(streamBody, "lineage", "ledger", 1)}
	f.eventually(func() bool { return f.errorInfo(f.do(t.Context(), f.nodes[0], other)).Kind == "key_reused" })
	c.resume = e.id
	_, end := newSSEReader(f.do(t.Context(), f.nodes[1], c).Body).readAll()
	is.Equal(end.name, "end")
	is.Equal(f.engine.RunCount("demo:o1"), 1)
}

// During a platform outage a new action is refused as not run. The repeat of an
// action that was executed must not be reported as not run by either router.
func TestOutageNeverReportsARunAsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2, 100_000, fastEngine)
	ran := call{path: actionPath, idempotency: "a1", body: "{}"}
	is.Equal(f.do(t.Context(), f.nodes[0], ran).StatusCode, http.StatusOK)
	is.NoErr(f.platform.SetFaults(standin.Faults{Outage: standin.OutageUnavailable}))
	for _, n := range f.nodes {
		is.Equal(f.errorInfo(f.do(t.Context(), n, ran)).RunState, "unknown")
		fresh := f.errorInfo(f.do(t.Context(), n, call{path: actionPath, idempotency: "a2", body: "{}"}))
		is.Equal(fresh.Kind, "platform_down")
		is.Equal(fresh.RunState, "not_run")
	}
	is.Equal(f.service.Counts().Executions, uint64(1))
}
