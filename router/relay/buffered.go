package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
)

// serveBuffered serves a request whose response is forwarded only once it is read
// completely, so that a failure can still be retried at another target. A response for which
// there is no room is forwarded as it is read.
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
	status := a.response.Status()
	result := resultOf(status)
	if result == placement.Failed && p.mayRetryStatus(ctx, status) {
		// The body, which may have no end, isn't read: it won't be passed on.
		a.finish(p, result)
		return p.tryBuffered(ctx)
	}
	return p.passOnWhole(ctx, a, result)
}

// passOnWhole passes on a response that ends the request, whole or, where there is no room for
// it, as it is read.
func (p *proxiedRequest) passOnWhole(ctx context.Context, a *attempt, result placement.Result) *errkind.Error {
	answer := p.relay.newAnswer()
	defer answer.release()
	err := answer.readFrom(a.response)
	if errors.Is(err, errNoAnswerRoom) {
		p.forwardUnbuffered(ctx, a, answer, result)
		return nil
	}
	if err != nil {
		p.recordBreak(ctx, a, err)
		a.finish(p, AttemptResult(ctx, err))
		return p.truncatedError(ctx, err)
	}
	status, header := a.response.Status(), a.response.Header()
	if result == placement.OK {
		p.recordComplete(a)
		p.recordFirstEvent(a, p.relay.Now())
	}
	a.finish(p, result)
	p.writeBuffered(status, header, answer)
	return nil
}

// resultOf classifies a complete response for the target's health.
func resultOf(status int) placement.Result {
	if status >= http.StatusInternalServerError {
		return placement.Failed
	}
	return placement.OK
}

// mayRetryStatus reports whether the request may be sent again after a server error.
func (p *proxiedRequest) mayRetryStatus(ctx context.Context, status int) bool {
	return p.mayRetry(ctx, errkind.New(errkind.TargetFailed, "the target answered %d", status))
}

// writeBuffered writes a complete response to the caller.
func (p *proxiedRequest) writeBuffered(status int, header http.Header, answer *wholeAnswer) {
	p.status, p.outcome = status, outcomeAnswered
	p.firstByte = p.relay.Now().Sub(p.Arrived)
	err := p.writer.WriteHeader(status, header, answer.read)
	if err == nil {
		err = p.writeBlocks(answer)
	}
	if err != nil {
		p.outcome = outcomeCallerLeft
		p.writer.Abort()
		return
	}
	p.writer.Finish()
}

// writeBlocks writes what was read of a response.
func (p *proxiedRequest) writeBlocks(answer *wholeAnswer) error {
	for _, block := range answer.blocks {
		err := p.writer.WriteBody(block)
		if err != nil {
			return err
		}
	}
	return nil
}

// forwardUnbuffered forwards a response whose begin has been read, block by block at the
// caller's pace. If it breaks off, the caller sees that it is incomplete.
func (p *proxiedRequest) forwardUnbuffered(ctx context.Context, a *attempt, answer *wholeAnswer, result placement.Result) {
	p.relay.Metrics.Unbuffered.Inc()
	p.status = a.response.Status()
	p.firstByte = p.relay.Now().Sub(p.Arrived)
	err := p.writer.WriteHeader(p.status, a.response.Header(), contentLength(a.response.Header()))
	if err == nil {
		err = p.writeBlocks(answer)
	}
	rest := maxBufferedBytes - answer.read
	answer.release()
	if err == nil {
		err = p.forwardRest(a.response, rest)
	}
	switch {
	case err == nil:
		p.outcome = outcomeAnswered
		p.recordComplete(a)
		a.finish(p, result)
		p.writer.Finish()
		return
	case errors.Is(err, errTargetBroke):
		p.outcome = outcomeBrokeOff
		p.recordBreak(ctx, a, err)
		a.finish(p, AttemptResult(ctx, err))
	default:
		p.outcome = outcomeCallerLeft
		a.finish(p, placement.Neutral)
	}
	p.writer.Abort()
}

// errTargetBroke means that a response ended early, or is too large.
var errTargetBroke = errors.New("the target's response ended early")

// forwardRest forwards at most n further bytes of a response, to its end.
func (p *proxiedRequest) forwardRest(r io.Reader, n int64) error {
	block := make([]byte, answerBlock)
	for n >= 0 {
		m, readErr := r.Read(block)
		n -= int64(m)
		if m > 0 {
			err := p.writer.WriteBody(block[:m])
			if err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return errors.Join(errTargetBroke, readErr)
		}
	}
	return errors.Join(errTargetBroke, errResponseTooLarge)
}

// contentLength returns the length that a response's header tells; -1 without one.
func contentLength(h http.Header) int64 {
	length, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64)
	if err != nil || length < 0 {
		return -1
	}
	return length
}

// truncatedError returns the error of a response that ended early.
func (p *proxiedRequest) truncatedError(ctx context.Context, err error) *errkind.Error {
	if ctx.Err() != nil {
		return p.interruptedError(ctx, err)
	}
	return errkind.Wrap(errkind.TargetFailed, err, "the target's response ended early")
}
