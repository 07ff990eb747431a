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

// errSilent is the cause of a context that a silence limit cancelled.
var errSilent = errors.New("connection fell silent")

// errMismatch marks an answer to another request.
var errMismatch = errors.New("answer echoes another request id")

// inProgress is a call whose answer's header has come.
type inProgress struct {
	client   *Client
	route    route
	call     Call
	ctx      context.Context
	cancel   context.CancelCauseFunc
	exchange *exchange
	watchdog *time.Timer
	resp     *http.Response
	// reused says that the connection had carried a call before.
	reused bool
	// started says that a part of the answer's body came.
	started bool
	// draining says that nothing more of the answer is wanted.
	draining bool
}

// open sends a call and waits for the header of its answer. The answer is to
// the right request and isn't a refusal or failure of the target.
func (c *Client) open(ctx context.Context, call Call, r route) (*inProgress, error) {
	c.stats.Calls.Add(1)
	if !call.Deadline.IsZero() && !time.Now().Before(call.Deadline) {
		return nil, errkind.New(errkind.DeadlinePassed, "the deadline passed before the call was sent")
	}
	x := &inProgress{client: c, route: r, call: call, exchange: &exchange{}}
	x.ctx, x.cancel = x.bounded(ctx)
	x.watchdog = time.AfterFunc(c.opts.FirstByteTimeout, func() { x.cancel(errSilent) })
	if !r.limited {
		x.watchdog.Stop()
	}
	req, err := x.request()
	if err != nil {
		x.close()
		return nil, errkind.Wrap(errkind.BadRequest, err, "the call makes no valid request")
	}
	x.resp, err = r.transport.RoundTrip(req)
	x.watchdog.Stop()
	if err != nil {
		return nil, x.fail(err)
	}
	return x.checked()
}

// bounded returns the context of the call. The call's deadline bounds it, but
// for actions: their late answers are still wanted.
func (x *inProgress) bounded(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	if !x.route.limited || x.call.Deadline.IsZero() {
		return ctx, cancel
	}
	ctx, stop := context.WithDeadline(ctx, x.call.Deadline)
	return ctx, func(cause error) {
		cancel(cause)
		stop()
	}
}

// request builds the HTTP request of the call.
func (x *inProgress) request() (*http.Request, error) {
	method := x.call.Method
	if method == "" {
		method = http.MethodPost
	}
	url := "http://" + x.call.Target.GetAddress() + "/" + strings.TrimPrefix(x.call.Path, "/")
	trace := &httptrace.ClientTrace{GotConn: x.gotConn}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(x.ctx, trace), method, url, bytes.NewReader(x.call.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't send the body a second time.
	req.GetBody = nil
	req.Header.Set(headerRequestID, x.call.RequestID)
	if len(x.call.Body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if x.call.MaxTokens > 0 {
		req.Header.Set(headerMaxTokens, strconv.FormatInt(x.call.MaxTokens, 10))
	}
	if !x.call.Deadline.IsZero() {
		left := time.Until(x.call.Deadline).Milliseconds()
		req.Header.Set(headerDeadlineMs, strconv.FormatInt(left, 10))
	}
	return req, nil
}

// gotConn ties the exchange to its connection before the first write.
func (x *inProgress) gotConn(info httptrace.GotConnInfo) {
	x.reused = info.Reused
	c, ok := info.Conn.(*conn)
	if ok {
		c.carry(x.exchange)
	}
}

// checked looks at the answer's header.
func (x *inProgress) checked() (*inProgress, error) {
	status := x.resp.StatusCode
	echo := x.resp.Header.Get(headerRequestID)
	failed := status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
	if echo == "" && failed {
		return nil, x.fail(errStatus(status))
	}
	if echo != x.call.RequestID {
		return nil, x.fail(errMismatch)
	}
	if !failed {
		return x, nil
	}
	return nil, x.refusal(status)
}

// refusal tells a target's own word that it didn't start from other failures.
func (x *inProgress) refusal(status int) error {
	mayRefuse := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if !mayRefuse || x.resp.Header.Get(headerRunState) != runStateNotRun {
		return x.fail(errStatus(status))
	}
	seconds, _ := strconv.Atoi(x.resp.Header.Get("Retry-After"))
	_, _ = io.CopyN(io.Discard, x.resp.Body, maxEventBytes)
	x.close()
	refused := errkind.New(errkind.TargetRefused, "target %s didn't start the call", x.call.Target.GetName())
	return refused.WithRetryAfter(time.Duration(seconds) * time.Second)
}

// close ends the call. A connection whose answer was read whole is reused.
func (x *inProgress) close() {
	if x.resp != nil {
		_ = x.resp.Body.Close()
	}
	x.watchdog.Stop()
	x.cancel(nil)
}

// readAnswer reads the whole answer.
func (x *inProgress) readAnswer() (*Response, error) {
	body, err := io.ReadAll(io.LimitReader(watchedBody{x}, x.client.opts.MaxAnswerBytes+1))
	if err != nil {
		return nil, x.fail(err)
	}
	if int64(len(body)) > x.client.opts.MaxAnswerBytes {
		return nil, x.fail(errTooLong)
	}
	answer := &Response{Status: x.resp.StatusCode, ContentType: x.resp.Header.Get("Content-Type"), Body: body}
	answer.Usage, err = wholeUsage(answer, x.call.RequestID)
	if err != nil {
		return nil, x.fail(err)
	}
	return answer, nil
}

// watchedBody reads the answer's body under the gap limit.
type watchedBody struct {
	x *inProgress
}

// Read implements io.Reader.
func (b watchedBody) Read(p []byte) (int, error) {
	if b.x.route.limited {
		b.x.watchdog.Reset(b.x.silence())
		defer b.x.watchdog.Stop()
	}
	n, err := b.x.resp.Body.Read(p)
	b.x.started = b.x.started || n > 0
	return n, err
}

// drainTimeout is the longest wait for the end of an answer that was read, so
// that its connection can be reused.
const drainTimeout = 50 * time.Millisecond

// silence is the longest wait for the next bytes of the body.
func (x *inProgress) silence() time.Duration {
	if x.draining {
		return drainTimeout
	}
	if x.started {
		return x.client.opts.TokenGapTimeout
	}
	return x.client.opts.FirstByteTimeout
}
