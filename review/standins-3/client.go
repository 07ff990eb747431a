package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// smallBody is the size of a small body in bytes.
const smallBody = 300

// call is one client attempt.
type call struct {
	gateway *gatewayProcess
	method  string
	path    string
	id      string
	key     string
	// input and output are the tokens of the prompt and the most of the answer; no prompt
	// without output.
	input, output int
	// size is the size of the body in bytes; 0 for that of a small one.
	size int
	// last is the id of the last event that the client has, and resumes the attempt that
	// brought the first one.
	last     int
	resumes  string
	deadline time.Duration
}

// answer is what a client sees.
type answer struct {
	status    int
	signature string
	body      string
	// whole is set if the answer is complete by its own framing.
	whole bool
	// retryAfter is the time that a refusal names.
	retryAfter time.Duration
	err        error
}

// event is one event of a stream.
type event struct {
	id                       int
	runner, version, attempt string
}

var lastAttempt atomic.Int64

func newAttempt() string { return fmt.Sprintf("a%06d", lastAttempt.Add(1)) }

func stringReader(s string) io.Reader { return strings.NewReader(s) }

// newClient returns a client that keeps its connections.
func newClient() *http.Client {
	dialer := net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 64}}
}

// do makes one attempt.
func do(client *http.Client, c call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline+time.Second)
	defer cancel()
	var body io.Reader
	if c.method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("b", max(c.size, smallBody)))
	}
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.gateway.caller+c.path, body)
	if err != nil {
		return answer{err: err}
	}
	req.GetBody = nil
	req.Host = "h.example"
	h := req.Header
	h.Set("X-Attempt-Id", c.id)
	h.Set("Api-Key", c.key)
	h.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.output > 0 {
		h.Set("X-Model", "m")
		h.Set("X-Token-Usage", fmt.Sprintf("%d,%d", c.input, c.output))
		h.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:%d,%s:%d", c.input/2, c.id, c.input-c.input/2))
	}
	if c.last > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(c.last))
		h.Set("Resumes", c.resumes)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return answer{retryAfter: time.Duration(seconds * float64(time.Second)), status: resp.StatusCode, signature: resp.Header.Get("X-Response-Signature"), body: string(data), whole: err == nil, err: err}
}

// parseEvents returns the whole events of a body.
func parseEvents(body string) []event {
	var found []event
	for _, text := range strings.SplitAfter(body, "\n\n") {
		if !strings.HasSuffix(text, "\n\n") {
			continue
		}
		var e event
		_, err := fmt.Sscanf(text, "id: %d\ndata: %s %s %s", &e.id, &e.runner, &e.version, &e.attempt)
		if err == nil {
			found = append(found, e)
		}
	}
	return found
}
