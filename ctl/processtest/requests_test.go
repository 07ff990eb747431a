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

// Calls of every kind succeed at either router, and the platform must hold one
// bill for each, with the reported usage.
func TestAllCallKinds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 1})
	want := make(map[string]int64)
	for _, r := range f.Routers {
		streamed := ChatRequest("streamed-"+r.Name, 20, true)
		var stream StreamedResponse
		r.MustReadStream(streamed, &stream)
		is.Equal(stream.Tokens, 20)
		want[streamed.ID()] = stream.Usage

		unary := ChatRequest("whole-"+r.Name, 20, false)
		response := r.MustDo(unary)
		is.Equal(response.Status, http.StatusOK)
		want[unary.ID()] = response.BilledTokens()

		for _, q := range []Request{LookupRequest("lookup-" + r.Name), ActionRequest("action-" + r.Name)} {
			reply := r.MustDo(q)
			is.Equal(reply.Status, http.StatusOK) // lookup and action
			is.Equal(reply.BilledTokens(), int64(CallCost))
			want[q.ID()] = CallCost
		}
	}
	bills := f.WaitBills(len(want))
	for id, tokens := range want {
		is.Equal(bills[id].GetTokens(), tokens) // the bill equals the reported usage
	}
}

// Each refusal must have its own error kind and HTTP status, and must run and
// bill nothing.
func TestErrorKinds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 2, Centres: []string{"cluj-a"}, Settings: func(s *pb.RouterSettings) {
		s.CallerLimits.ReadTimeout = durationpb.New(500 * time.Millisecond)
		s.CallerLimits.MaxBodyBytes = 4096
	}})
	r := f.Routers[0]
	valid := ChatRequest("k", 4, false)
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
		q := valid
		c.change(&q)
		response := r.MustDo(q)
		is.Equal(response.Error.Kind, c.kind)
		is.Equal(response.Status, c.status)
		is.Equal(response.Error.RunState, "not_run")
	}
	httpResp, err := http.Get("http://" + r.addresses.Load().Caller + "/v1/services/" + ModelService + "/" + ModelPath)
	is.NoErr(err)
	reply, err := readResponse(httpResp)
	is.NoErr(err)
	is.Equal(reply.Error.Kind, "bad_method")
	is.Equal(sendSlowRequest(t, r).Error.Kind, "slow_caller")
	is.Equal(len(f.Engines[0].EngineCounts().RunsByID), 0)        // no engine ran
	is.Equal(f.Services[0].ServiceCounts().Executions, uint64(0)) // no service ran
	is.Equal(len(f.Bills()), 0)
}

// sendSlowRequest sends the request header and the first byte of a body of 100
// bytes, and returns the response.
func sendSlowRequest(t *testing.T, r *Router) Response {
	t.Helper()
	conn, err := net.Dial("tcp", r.addresses.Load().Caller)
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
	response, err := readRawResponse(conn)
	if err != nil {
		t.Fatalf("read response to the slow request: %v", err)
	}
	return response
}

// A caller that disconnects and reconnects to the same router must receive the
// rest of the response, from the same run and with one bill.
func TestCallerReconnects(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 3, Centres: []string{"cluj-a"}})
	r := f.Routers[0]
	q := ChatRequest("returns", 60, true)
	var stream StreamedResponse
	err := r.ReadStream(context.Background(), q, &stream, func(stream *StreamedResponse) bool { return stream.Tokens == 10 })
	is.NoErr(err)
	is.True(!stream.Complete)
	r.MustReadStream(q, &stream)
	is.Equal(stream.Tokens, 60)
	bills := f.WaitBills(1)
	is.Equal(bills[q.ID()].Tokens, stream.Usage)
	is.Equal(f.Engines[0].EngineCounts().Runs, uint64(1))
}
