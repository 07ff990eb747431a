package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/intake"
	"cuminrock.example/router/responseconn"
)

// The headers of the target protocol.
const (
	headerRequestID  = "Cuminrock-Request-Id"
	headerMaxTokens  = "Cuminrock-Max-Tokens"
	headerDeadlineMs = "Cuminrock-Deadline-Ms"
	headerRunState   = "Cuminrock-Run-State"
	headerStream     = "Cuminrock-Stream"
	runStateNotRun   = "not_run"
)

// errIdleTimeout is the cause of a context that was cancelled because no data
// arrived within the first-byte or gap timeout.
var errIdleTimeout = errors.New("no data within the timeout")

// errRequestMismatch is the error of a response that belongs to another request.
var errRequestMismatch = errors.New("response has the ID of another request")

// pendingCall is a call in progress.
type pendingCall struct {
	client    *Client
	route     route
	call      Call
	ctx       context.Context
	cancel    context.CancelCauseFunc
	exchange  *exchange
	idleTimer *time.Timer
	resp      *http.Response
	// reused is true if the connection had carried a call before.
	reused bool
	// bodyStarted is true once a part of the response body has arrived.
	bodyStarted bool
	// draining is true once the rest of the response is read only to reuse the
	// connection.
	draining bool
}

// open sends a call and waits for the header of its response. It returns an error
// if the response belongs to another request, or is a refusal or failure of the
// target.
func (c *Client) open(ctx context.Context, call Call, r route) (*pendingCall, error) {
	c.stats.Calls.Add(1)
	if !call.Deadline.IsZero() && !time.Now().Before(call.Deadline) {
		return nil, errkind.New(errkind.DeadlinePassed, "the deadline passed before the call was sent")
	}
	pending := &pendingCall{client: c, route: r, call: call, exchange: &exchange{}}
	pending.ctx, pending.cancel = pending.callContext(ctx)
	pending.idleTimer = time.AfterFunc(c.opts.FirstByteTimeout, func() { pending.cancel(errIdleTimeout) })
	if !r.hasTimeouts {
		pending.idleTimer.Stop()
	}
	req, err := pending.newHTTPRequest()
	if err != nil {
		pending.close()
		return nil, errkind.Wrap(errkind.BadRequest, err, "the call isn't a valid HTTP request")
	}
	pending.resp, err = r.transport.RoundTrip(req)
	pending.idleTimer.Stop()
	if err != nil {
		return nil, pending.fail(err)
	}
	return pending.checkHeader()
}

// callContext returns the context of the call. The call's deadline bounds it,
// except for actions: their late responses are still needed.
func (c *pendingCall) callContext(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if !c.route.hasTimeouts || c.call.Deadline.IsZero() {
		return ctx, cancel
	}
	ctx, stop := context.WithDeadline(ctx, c.call.Deadline)
	return ctx, func(cause error) {
		cancel(cause)
		stop()
	}
}

// newHTTPRequest returns the HTTP request of the call.
func (c *pendingCall) newHTTPRequest() (*http.Request, error) {
	method := c.call.Method
	if method == "" {
		method = http.MethodPost
	}
	url := "http://" + c.call.Target.GetAddress() + "/" + strings.TrimPrefix(c.call.Path, "/")
	trace := &httptrace.ClientTrace{GotConn: c.gotConn}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(c.ctx, trace), method, url, bytes.NewReader(c.call.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, the transport can't send the body a second time.
	req.GetBody = nil
	req.Header.Set(headerRequestID, c.call.RequestID)
	if len(c.call.Body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.call.MaxTokens > 0 {
		req.Header.Set(headerMaxTokens, strconv.FormatInt(c.call.MaxTokens, 10))
	}
	if !c.call.Deadline.IsZero() {
		remaining := time.Until(c.call.Deadline).Milliseconds()
		req.Header.Set(headerDeadlineMs, strconv.FormatInt(remaining, 10))
	}
	return req, nil
}

// gotConn attaches the exchange to its connection before the first write.
func (c *pendingCall) gotConn(info httptrace.GotConnInfo) {
	c.reused = info.Reused
	tracked, ok := info.Conn.(*conn)
	if ok {
		tracked.attach(c.exchange)
	}
}

// checkHeader checks the status and the request ID of the response.
func (c *pendingCall) checkHeader() (*pendingCall, error) {
	status := c.resp.StatusCode
	echo := c.resp.Header.Get(headerRequestID)
	failed := status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
	if echo == "" && failed {
		return nil, c.fail(statusError(status))
	}
	if echo != c.call.RequestID {
		return nil, c.fail(errRequestMismatch)
	}
	if !failed {
		return c, nil
	}
	return nil, c.refusalError(status)
}

// refusalError returns the error of a failing status. It is TargetRefused only if
// the target itself says that it didn't start the call.
func (c *pendingCall) refusalError(status int) error {
	mayRefuse := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if !mayRefuse || c.resp.Header.Get(headerRunState) != runStateNotRun {
		return c.fail(statusError(status))
	}
	seconds, _ := strconv.Atoi(c.resp.Header.Get("Retry-After"))
	_, _ = io.CopyN(io.Discard, c.resp.Body, maxEventBytes)
	c.close()
	refused := errkind.New(errkind.TargetRefused, "target %s didn't start the call", c.call.Target.GetName())
	return refused.WithRetryAfter(time.Duration(seconds) * time.Second)
}

// close ends the call. The connection is reused if the response was read to its
// end.
func (c *pendingCall) close() {
	if c.resp != nil {
		_ = c.resp.Body.Close()
	}
	c.idleTimer.Stop()
	c.cancel(nil)
}

// readResponse reads a unary response.
func (c *pendingCall) readResponse() (*Response, error) {
	var hold intake.Hold
	if c.route.hasTimeouts {
		// The response to an action is kept whatever room there is: there won't be another one.
		hold.Room = c.client.opts.Room
	}
	defer hold.Release()
	body, err := responseconn.ReadBody(bodyReader{c}, c.client.opts.MaxResponseBytes, &hold)
	if err != nil {
		return nil, c.fail(err)
	}
	resp := &Response{Status: c.resp.StatusCode, ContentType: c.resp.Header.Get("Content-Type"), Body: body}
	resp.Usage, err = parseUsage(resp, c.call.RequestID)
	if err != nil {
		return nil, c.fail(err)
	}
	return resp, nil
}

// bodyReader reads the response body. A read that gets no data within idleTimeout
// cancels the call, except for actions.
type bodyReader struct {
	pending *pendingCall
}

// Read implements io.Reader.
func (b bodyReader) Read(p []byte) (int, error) {
	if b.pending.route.hasTimeouts {
		b.pending.idleTimer.Reset(b.pending.idleTimeout())
		defer b.pending.idleTimer.Stop()
	}
	n, err := b.pending.resp.Body.Read(p)
	b.pending.bodyStarted = b.pending.bodyStarted || n > 0
	return n, err
}

// drainTimeout is the longest wait for the end of a response after its end event,
// which is needed to reuse the connection.
const drainTimeout = 50 * time.Millisecond

// idleTimeout is the longest wait for the next bytes of the body.
func (c *pendingCall) idleTimeout() time.Duration {
	if c.draining {
		return drainTimeout
	}
	if c.bodyStarted {
		return c.client.opts.TokenGapTimeout
	}
	return c.client.opts.FirstByteTimeout
}
