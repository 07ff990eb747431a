package processtest

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Requests of every kind pass either router and stand in the platform once.
func TestWholePath(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 1})
	want := make(map[string]int64)
	for _, r := range f.Routers {
		streamed := ChatRequest("streamed-"+r.Name, 20, true)
		var a StreamedResponse
		r.MustReadStream(streamed, &a)
		is.Equal(a.Tokens, 20)
		want[streamed.ID()] = a.Usage

		whole := ChatRequest("whole-"+r.Name, 20, false)
		reply := r.MustDo(whole)
		is.Equal(reply.Status, http.StatusOK)
		want[whole.ID()] = reply.BilledTokens()

		for _, q := range []Request{LookupRequest("lookup-" + r.Name), ActionRequest("action-" + r.Name)} {
			reply := r.MustDo(q)
			is.Equal(reply.Status, http.StatusOK) // lookup and action
			is.Equal(reply.BilledTokens(), int64(CallCost))
			want[q.ID()] = CallCost
		}
	}
	bills := f.WaitBills(len(want))
	for id, tokens := range want {
		is.Equal(bills[id].GetTokens(), tokens) // the bill is what the caller was told
	}
}

// Each refusal has its own kind over HTTP and runs nothing.
func TestErrorKinds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 2, Centres: []string{"cluj-a"}, Settings: func(s *pb.RouterSettings) {
		s.CallerLimits.ReadTimeout = durationpb.New(500 * time.Millisecond)
		s.CallerLimits.MaxBodyBytes = 4096
	}})
	r := f.Routers[0]
	good := ChatRequest("k", 4, false)
	cases := []struct {
		kind   string
		status int
		change func(q *Request)
	}{
		{"bad_request", http.StatusBadRequest, func(q *Request) { q.Body = `{"model":` }},
		{"bad_request", http.StatusBadRequest, func(q *Request) { q.IdempotencyKey = "with space" }},
		{"unknown_service", http.StatusNotFound, func(q *Request) { q.Service = "no-such" }},
		{"unknown_service", http.StatusNotFound, func(q *Request) { q.Path = "no/such" }},
		{"unknown_key", http.StatusUnauthorized, func(q *Request) { q.Bearer = "no-such" }},
		{"body_too_large", http.StatusRequestEntityTooLarge, func(q *Request) { q.Body = `"` + strings.Repeat("x", 5000) + `"` }},
		{"key_required", http.StatusBadRequest, func(q *Request) { *q = ActionRequest("") }},
	}
	for _, c := range cases {
		q := good
		c.change(&q)
		reply := r.MustDo(q)
		is.Equal(reply.Error.Kind, c.kind)
		is.Equal(reply.Status, c.status)
		is.Equal(reply.Error.RunState, "not_run")
	}
	resp, err := http.Get("http://" + r.doors.Load().Caller + "/v1/services/" + ModelService + "/" + ModelPath)
	is.NoErr(err)
	reply, err := readReply(resp)
	is.NoErr(err)
	is.Equal(reply.Error.Kind, "bad_method")
	is.Equal(slowCaller(t, r).Error.Kind, "slow_caller")
	is.Equal(len(f.Engines[0].EngineCounts().RunsByID), 0)        // no engine ran
	is.Equal(f.Services[0].ServiceCounts().Executions, uint64(0)) // no service ran
	is.Equal(len(f.Bills()), 0)
}

// slowCaller sends a header and no body.
func slowCaller(t *testing.T, r *Router) Response {
	t.Helper()
	conn, err := net.Dial("tcp", r.doors.Load().Caller)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(WaitTimeout))
	head := "POST /v1/services/" + ModelService + "/" + ModelPath + " HTTP/1.1\r\nHost: x\r\n" +
		"Authorization: Bearer " + BearerKey + "\r\nContent-Length: 100\r\n\r\n{"
	if _, err := conn.Write([]byte(head)); err != nil {
		t.Fatal(err)
	}
	reply, err := readHTTP(conn)
	if err != nil {
		t.Fatalf("slow caller: %v", err)
	}
	return reply
}

// A caller that vanishes and returns to the same router gets the rest.
func TestCallerReturns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 3, Centres: []string{"cluj-a"}})
	r := f.Routers[0]
	q := ChatRequest("returns", 60, true)
	var a StreamedResponse
	err := r.ReadStream(context.Background(), q, &a, func(a *StreamedResponse) bool { return a.Tokens == 10 })
	is.NoErr(err)
	is.True(!a.Complete)
	r.MustReadStream(q, &a)
	is.Equal(a.Tokens, 60)
	bills := f.WaitBills(1)
	is.Equal(bills[q.ID()].Tokens, a.Usage)
	is.Equal(f.Engines[0].EngineCounts().Runs, uint64(1))
}
