package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"syscall"

	"go.uber.org/zap"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/quarantine"
	"cuminrock.example/router/eventstream"
)

// serveStream serves a request that is answered with an event stream. The header is
// written with the first event, so that the request can still be retried if it
// fails before.
func (p *proxiedRequest) serveStream(ctx context.Context) *errkind.Error {
	lastEventID := p.ResumeAfter
	for {
		failure := p.tryStream(ctx, &lastEventID)
		if failure == nil {
			return nil
		}
		if p.mayRetry(ctx, failure) {
			p.relay.Log.Info("relay: going on at another target.", zap.String("request", p.ID), zap.String("after_event", lastEventID))
			continue
		}
		if p.status == 0 {
			return p.finalError(failure)
		}
		p.outcome = "broken off: " + failure.Kind.String()
		p.writer.Abort()
		if p.route.Resumable {
			p.relay.Origins.BrokeOff()
		}
		return nil
	}
}

// tryStream sends the request once and forwards the events that follow the last one
// that the caller has received.
func (p *proxiedRequest) tryStream(ctx context.Context, lastEventID *string) *errkind.Error {
	a, failure := p.sendToNextTarget(ctx, *lastEventID)
	if failure != nil {
		return failure
	}
	for {
		if a.response.Status() != http.StatusOK {
			return p.handleNonOK(ctx, a, lastEventID)
		}
		var s step
		a, s = p.next(ctx, a, *lastEventID)
		if a.response == nil {
			// Another target has taken the place of a silent one.
			failure = p.begin(ctx, a, s)
			if failure != nil {
				return failure
			}
			continue
		}
		event, err := s.event, s.err
		if err == nil && a.resumes && !continues(*lastEventID, event.ID) {
			err = errNoContinuation
		}
		if errors.Is(err, io.EOF) {
			p.recordComplete(a)
			if p.ResumeAfter == "" {
				a.lease.RecordOutput(p.events * p.tokensPerEvent())
			}
			a.finish(p, placement.OK)
			return p.finishStream(a)
		}
		if err != nil {
			p.recordBreak(ctx, a, err)
			a.finish(p, AttemptResult(ctx, err))
			return p.truncatedError(ctx, err)
		}
		first := a.firstEventAt.IsZero()
		p.recordEvent(a)
		if first && !p.mayPassOn(ctx, a.lease.Target()) {
			a.finish(p, placement.Neutral)
			return errkind.New(errkind.TargetFailed, "the version of the stream's target couldn't be recorded, or another process has taken its place")
		}
		if event.ID != "" {
			*lastEventID = event.ID
		}
		if !p.forwardEvent(a, event) {
			a.finish(p, placement.Neutral)
			return nil
		}
	}
}

// recordEvent records that an event arrived.
func (p *proxiedRequest) recordEvent(a *attempt) {
	now := p.relay.Now()
	if a.firstEventAt.IsZero() {
		a.firstEventAt = now
		p.recordFirstEvent(a, now)
	}
	if !a.outlivedProbation && now.Sub(a.firstEventAt) >= quarantine.Probation {
		a.outlivedProbation = true
		p.relay.Crashes.Answered(p.traits, a.firstEventAt)
	}
	p.heardAt = now
	a.lease.RecordProgress(now)
}

// AttemptResult classifies a failed attempt for the target's health. A caller that
// disconnected says nothing about the target. A target that stopped sending or
// acknowledging is silent. One that broke off, or used up all of the request's time,
// has failed.
func AttemptResult(ctx context.Context, err error) placement.Result {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return placement.Neutral
	case ctx.Err() != nil:
		return placement.Failed
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return placement.Silent
	default:
		return placement.Failed
	}
}

// forwardEvent forwards an event to the caller. It reports false when the caller has
// disconnected.
func (p *proxiedRequest) forwardEvent(a *attempt, event *eventstream.Event) bool {
	if !p.writeHeaderOnce(a) {
		return false
	}
	p.events++
	if p.writer.WriteBody(event.Raw) != nil {
		return p.abortForCaller()
	}
	return true
}

// writeHeaderOnce writes the header unless it is already written. It reports false
// when the caller has disconnected.
func (p *proxiedRequest) writeHeaderOnce(a *attempt) bool {
	if p.status != 0 {
		return true
	}
	p.status = a.response.Status()
	p.firstByte = p.relay.Now().Sub(p.Arrived)
	p.ticket.FirstEvent()
	if p.writer.WriteHeader(p.status, a.response.Header(), -1) != nil {
		return p.abortForCaller()
	}
	return true
}

func (p *proxiedRequest) abortForCaller() bool {
	p.outcome = outcomeCallerLeft
	p.writer.Abort()
	return false
}

// finishStream ends a complete stream. A stream without any event is forwarded as it
// is.
func (p *proxiedRequest) finishStream(a *attempt) *errkind.Error {
	if !p.writeHeaderOnce(a) {
		return nil
	}
	p.outcome = outcomeAnswered
	p.writer.Finish()
	return nil
}

// handleNonOK handles a response with another status than 200, which isn't a stream. A server
// error is retried where allowed. A response that won't be passed on isn't read: its body may
// have no end.
func (p *proxiedRequest) handleNonOK(ctx context.Context, a *attempt, lastEventID *string) *errkind.Error {
	status := a.response.Status()
	failure := errkind.New(errkind.TargetFailed, "the target answered %d", status)
	if p.status != 0 {
		a.finish(p, placement.Failed)
		return failure
	}
	if status >= http.StatusInternalServerError && p.mayRetry(ctx, failure) {
		a.finish(p, placement.Failed)
		return p.tryStream(ctx, lastEventID)
	}
	return p.passOnWhole(ctx, a, placement.Failed)
}
