package processtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cuminrock.example/router/callerapi"
)

// Request is one call as a caller makes it.
type Request struct {
	Service, Path string
	// IdempotencyKey is the Idempotency-IdempotencyKey; without one the router makes it.
	IdempotencyKey string
	Body           string
	// Bearer is the workspace's key; BearerKey when left out.
	Bearer string
	// Deadline is how long the caller waits; the router's own when left out.
	Deadline time.Duration
	// LastEventID is the last event of a broken stream.
	LastEventID string
}

// ChatRequest returns a streamed or whole model call.
func ChatRequest(key string, maxTokens int, streamed bool) Request {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"entry %s"}],"max_tokens":%d,"stream":%t}`, key, maxTokens, streamed)
	return Request{Service: ModelService, Path: ModelPath, IdempotencyKey: key, Body: body}
}

// ActionRequest returns a call that must run at most once.
func ActionRequest(key string) Request {
	return Request{Service: PlainService, Path: ActionPath, IdempotencyKey: key, Body: fmt.Sprintf(`{"record":%q}`, key)}
}

// LookupRequest returns an idempotent call of the plain service.
func LookupRequest(key string) Request {
	return Request{Service: PlainService, Path: LookupPath, IdempotencyKey: key, Body: fmt.Sprintf(`{"name":%q}`, key)}
}

// ID returns the request's id in bills and in what targets count.
func (q Request) ID() string { return Workspace + ":" + q.IdempotencyKey }

// Response is a whole answer or a refusal.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Error is set on refusals and failures.
	Error callerapi.ErrorInfo
}

// OK tells whether the request was answered.
func (r Response) OK() bool { return r.Status == http.StatusOK }

// BilledTokens returns the tokens that the caller is told.
func (r Response) BilledTokens() int64 {
	n, _ := strconv.ParseInt(r.Header.Get(callerapi.HeaderBilledTokens), 10, 64)
	return n
}

// callers is the callers' client: connections are kept as browsers do.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func (r *Router) request(ctx context.Context, q Request) (*http.Response, error) {
	url := "http://" + r.doors.Load().Caller + "/v1/services/" + q.Service + "/" + q.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(q.Body))
	if err != nil {
		return nil, err
	}
	bearer := q.Bearer
	if bearer == "" {
		bearer = BearerKey
	}
	req.Header.Set("Authorization", "Bearer "+bearer)
	req.Header.Set("Content-Type", "application/json")
	setHeader(req, callerapi.HeaderIdempotencyKey, q.IdempotencyKey)
	setHeader(req, callerapi.HeaderLastEventID, q.LastEventID)
	if q.Deadline > 0 {
		req.Header.Set(callerapi.HeaderDeadline, strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	}
	return callers.Do(req)
}

func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

// Do makes a call that is answered whole. The error is that of the connection.
func (r *Router) Do(ctx context.Context, q Request) (Response, error) {
	resp, err := r.request(ctx, q)
	if err != nil {
		return Response{}, err
	}
	return readReply(resp)
}

// MustDo makes a call and fails the test where the connection breaks.
func (r *Router) MustDo(q Request) Response {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	reply, err := r.Do(ctx, q)
	if err != nil {
		r.t.Fatalf("%s: call %s: %v", r.Name, q.IdempotencyKey, err)
	}
	return reply
}

// QueryOutcome asks what became of a request.
func (r *Router) QueryOutcome(key string) Response {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+r.doors.Load().Caller+"/v1/requests/"+key, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+BearerKey)
	resp, err := callers.Do(req)
	if err != nil {
		r.t.Fatalf("%s: outcome of %s: %v", r.Name, key, err)
	}
	reply, err := readReply(resp)
	if err != nil {
		r.t.Fatal(err)
	}
	return reply
}

func readReply(resp *http.Response) (Response, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, err
	}
	reply := Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if reply.OK() {
		return reply, nil
	}
	var failure callerapi.ErrorBody
	if err := json.Unmarshal(body, &failure); err != nil {
		return reply, fmt.Errorf("status %d without an error body: %q", resp.StatusCode, body)
	}
	reply.Error = failure.Error
	return reply, nil
}

// readHTTP reads one reply from a raw connection.
func readHTTP(conn io.Reader) (Response, error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return Response{}, err
	}
	return readReply(resp)
}
