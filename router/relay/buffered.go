package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
)

// maxBufferedBytes bounds a response that is read completely before it is forwarded.
const maxBufferedBytes = 8 << 20

// errResponseTooLarge means that a response exceeds maxBufferedBytes.
var errResponseTooLarge = errors.New("the response is too large")

// serveBuffered serves a request whose response is forwarded only once it is read
// completely, so that a failure can still be retried at another target.
func (p *proxiedRequest) serveBuffered(ctx context.Context) *errkind.Error {
	for {
		failure := p.tryBuffered(ctx)
		if failure == nil {
			return nil
		}
		if !p.mayRetry(ctx, failure) {
			return p.finalError(failure)
		}
	}
}

// tryBuffered sends the request once and forwards a complete response.
func (p *proxiedRequest) tryBuffered(ctx context.Context) *errkind.Error {
	a, failure := p.sendToNextTarget(ctx, p.ResumeAfter)
	if failure != nil {
		return failure
	}
	body, err := readBody(a.response)
	if err != nil {
		p.recordBreak(ctx, a, err)
		a.finish(p, AttemptResult(ctx, err))
		return p.truncatedError(ctx, err)
	}
	status, header := a.response.Status(), a.response.Header()
	result := placement.OK
	if status >= http.StatusInternalServerError {
		result = placement.Failed
	}
	if result == placement.OK {
		p.recordComplete(a)
		p.recordFirstEvent(a, p.relay.Now())
	}
	a.finish(p, result)
	if result == placement.Failed && p.mayRetry(ctx, errkind.New(errkind.TargetFailed, "the target answered %d", status)) {
		return p.tryBuffered(ctx)
	}
	p.writeBuffered(status, header, body)
	return nil
}

// writeBuffered writes a complete response to the caller.
func (p *proxiedRequest) writeBuffered(status int, header http.Header, body []byte) {
	p.status, p.outcome = status, outcomeAnswered
	p.firstByte = p.relay.Now().Sub(p.Arrived)
	err := p.writer.WriteHeader(status, header, int64(len(body)))
	if err == nil && len(body) > 0 {
		err = p.writer.WriteBody(body)
	}
	if err != nil {
		p.outcome = outcomeCallerLeft
		p.writer.Abort()
		return
	}
	p.writer.Finish()
}

// truncatedError returns the error of a response that ended early.
func (p *proxiedRequest) truncatedError(ctx context.Context, err error) *errkind.Error {
	if ctx.Err() != nil {
		return p.interruptedError(ctx, err)
	}
	return errkind.Wrap(errkind.TargetFailed, err, "the target's response ended early")
}

// readBody reads the body to its end.
func readBody(r io.Reader) ([]byte, error) {
	var body bytes.Buffer
	n, err := io.Copy(&body, io.LimitReader(r, maxBufferedBytes+1))
	if err != nil {
		return nil, err
	}
	if n > maxBufferedBytes {
		return nil, errResponseTooLarge
	}
	return body.Bytes(), nil
}
