package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// call is one attempt of a client.
type call struct {
	id, method, path, key string
	body                  []byte
	deadline              time.Duration
	// input and output are the tokens of the prompt and the most output tokens; 0 for a
	// request without a prompt.
	input, output int
}

// answer is what a client got. Status is 0 if the connection ended without one.
type answer struct {
	id, signature, echo string
	status              int
	body                string
	events              int
	complete            bool
	// overKept is set if the request was sent over a connection that had carried another.
	overKept   bool
	retryAfter string
	err        error
}

var lastID atomic.Int64

// nextID returns the id of an attempt.
func nextID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// send sends a request on a connection of its own and reads the whole answer.
func send(rec *record, g *gateway, c call) answer { return sendOver(rec, nil, g, c) }

// sendOver sends a request over a transport, which may have a kept connection; nil for a
// connection of its own.
func sendOver(rec *record, kept *http.Transport, g *gateway, c call) answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+g.caller+c.path, bytes.NewReader(c.body))
	if err != nil {
		return answer{id: c.id, err: err}
	}
	req.Host = "ficu95.example"
	req.Close = kept == nil
	// Without GetBody the transport doesn't send a body again.
	req.GetBody = nil
	req.Header.Set("X-Attempt-Id", c.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	req.Header.Set("Api-Key", c.key)
	if c.input > 0 {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Usage", fmt.Sprintf("%d,%d", c.input, c.output))
		req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:100,%s:%d", c.id, c.input-100))
	}
	rec.line("sent", "id", c.id, "gateway", g.name, "path", c.path, "tokens", fmt.Sprintf("%d+%d", c.input, c.output), "bytes", len(c.body))
	var overKept bool
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { overKept = i.Reused }}))
	transport := http.DefaultTransport
	if kept != nil {
		transport = kept
	}
	a := exchange(transport, req, c.id)
	a.overKept = overKept
	rec.line("answered", "id", a.id, "gateway", g.name, "status", a.status, "signature", orNone(a.signature), "events", a.events, "complete", a.complete, "kept", a.overKept, "retry_after", orNone(a.retryAfter), "bytes", len(a.body))
	return a
}

func exchange(transport http.RoundTripper, req *http.Request, id string) answer {
	a := answer{id: id}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.signature, a.echo, a.retryAfter = resp.StatusCode, resp.Header.Get("X-Response-Signature"), resp.Header.Get("X-Attempt-Id"), resp.Header.Get("Retry-After")
	body, err := io.ReadAll(resp.Body)
	a.body, a.complete = string(body), err == nil
	if err != nil && !errors.Is(err, io.EOF) {
		a.err = err
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.events = strings.Count(a.body, "\n\n")
	}
	return a
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
