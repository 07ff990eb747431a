package processtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"cuminrock.example/router/callerapi"
)

// Request is one call that a caller makes.
type Request struct {
	Service, Path string
	// IdempotencyKey is the Idempotency-Key header. If empty, the router
	// generates a key.
	IdempotencyKey string
	Body           string
	// Bearer is the key of the workspace; BearerKey by default.
	Bearer string
	// Deadline is how long the caller waits; by default the router's own
	// deadline applies.
	Deadline time.Duration
	// LastEventID is the id of the last event received of an interrupted
	// stream.
	LastEventID string
}

// ChatRequest returns a model call, with a streamed or unary response.
func ChatRequest(key string, maxTokens int, streamed bool) Request {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"entry %s"}],"max_tokens":%d,"stream":%t}`, key, maxTokens, streamed)
	return Request{Service: ModelService, Path: ModelPath, IdempotencyKey: key, Body: body}
}

// ActionRequest returns a call to the plain service that must run at most once.
func ActionRequest(key string) Request {
	return Request{Service: PlainService, Path: ActionPath, IdempotencyKey: key, Body: fmt.Sprintf(`{"record":%q}`, key)}
}

// LookupRequest returns an idempotent call to the plain service.
func LookupRequest(key string) Request {
	return Request{Service: PlainService, Path: LookupPath, IdempotencyKey: key, Body: fmt.Sprintf(`{"name":%q}`, key)}
}

// ID returns the id of the request in bills and in the counters of targets.
func (q Request) ID() string { return Workspace + ":" + q.IdempotencyKey }

// Response is a unary response or an error response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Error is set if the request was refused or failed.
	Error callerapi.ErrorInfo
}

// OK reports whether the request succeeded.
func (r Response) OK() bool { return r.Status == http.StatusOK }

// BilledTokens returns the billed tokens that the response reports.
func (r Response) BilledTokens() int64 {
	n, _ := strconv.ParseInt(r.Header.Get(callerapi.HeaderBilledTokens), 10, 64)
	return n
}

// callerClient is the HTTP client of all callers. It keeps idle connections
// open, as browsers do.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func (r *Router) sendRequest(ctx context.Context, q Request) (*http.Response, error) {
	url := "http://" + r.addresses.Load().Caller + "/v1/services/" + q.Service + "/" + q.Path
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
	resp, err := callerClient.Do(req)
	if err != nil && isConnectionClosed(err) {
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	return resp, err
}

// ErrNoResponse means that the connection was closed before any byte of a
// response arrived.
var ErrNoResponse = errors.New("connection closed without a response")

// isConnectionClosed reports whether a call failed because its established
// connection was closed or reset.
func isConnectionClosed(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

// Do makes a call and reads its unary response. The error is non-nil if the
// connection fails or the response is unreadable.
func (r *Router) Do(ctx context.Context, q Request) (Response, error) {
	httpResp, err := r.sendRequest(ctx, q)
	if err != nil {
		return Response{}, err
	}
	return readResponse(httpResp)
}

// MustDo is like Do but fails the test on an error.
func (r *Router) MustDo(q Request) Response {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	response, err := r.Do(ctx, q)
	if err != nil {
		r.t.Fatalf("%s: call %s: %v", r.Name, q.IdempotencyKey, err)
	}
	return response
}

// QueryOutcome queries the outcome of an earlier request.
func (r *Router) QueryOutcome(key string) Response {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+r.addresses.Load().Caller+"/v1/requests/"+key, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+BearerKey)
	httpResp, err := callerClient.Do(req)
	if err != nil {
		r.t.Fatalf("%s: query outcome of %s: %v", r.Name, key, err)
	}
	response, err := readResponse(httpResp)
	if err != nil {
		r.t.Fatal(err)
	}
	return response
}

func readResponse(httpResp *http.Response) (Response, error) {
	defer httpResp.Body.Close()
	body, err := io.ReadAll(httpResp.Body)
	if err != nil {
		return Response{}, err
	}
	response := Response{Status: httpResp.StatusCode, Header: httpResp.Header, Body: body}
	if response.OK() {
		return response, nil
	}
	var errorBody callerapi.ErrorBody
	if err := json.Unmarshal(body, &errorBody); err != nil {
		return response, fmt.Errorf("status %d, and the body is not an error object: %q", httpResp.StatusCode, body)
	}
	response.Error = errorBody.Error
	return response, nil
}

// readRawResponse reads one HTTP response from a raw connection.
func readRawResponse(conn io.Reader) (Response, error) {
	httpResp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return Response{}, err
	}
	return readResponse(httpResp)
}
