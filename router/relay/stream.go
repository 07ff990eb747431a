package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/eventstream"
)

const (
	// silenceGoals is how many gap goals a stream that may be resumed may be
	// silent before another target goes on with it.
	silenceGoals = 4
	// minSilence is the least such time.
	minSilence = 1200 * time.Millisecond
)

// stream serves a request that is answered by events. The head is passed on
// with the first event, so that a failure before it can be made good.
func (j *journey) stream(ctx context.Context) *errkind.Error {
	last := j.ResumeAfter
	for {
		failure := j.tryStream(ctx, &last)
		if failure == nil {
			return nil
		}
		if j.again(ctx, failure) {
			j.relay.Log.Info("relay: going on at another target.", zap.String("request", j.ID), zap.String("after_event", last))
			continue
		}
		if j.status == 0 {
			return j.final(failure)
		}
		j.outcome = "broken off: " + failure.Kind.String()
		j.out.Abort()
		return nil
	}
}

// tryStream sends the request once and passes events on, after the last one
// that the caller has.
func (j *journey) tryStream(ctx context.Context, last *string) *errkind.Error {
	t, failure := j.next(ctx, *last)
	if failure != nil {
		return failure
	}
	status := t.reply.Status()
	if status != http.StatusOK {
		return j.answeredOtherwise(ctx, t, last)
	}
	events := eventstream.NewReader(t.reply)
	for {
		j.boundSilence(t.reply)
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			t.end(j, placement.OK)
			return j.endStream(t)
		}
		if err != nil {
			t.end(j, resultOf(ctx, err))
			return j.broken(ctx, err)
		}
		t.lease.RecordProgress(j.relay.Now())
		if event.ID != "" {
			*last = event.ID
		}
		if !j.passEvent(t, event) {
			t.end(j, placement.Neutral)
			return nil
		}
	}
}

// resultOf tells a caller that left, which says nothing of the target, from a
// target that fell silent or acknowledges nothing, and from one that broke off
// or took all the time there was.
func resultOf(ctx context.Context, err error) placement.Result {
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

// boundSilence bounds the wait for the next event where another target can go
// on with the stream.
func (j *journey) boundSilence(reply UpstreamResponse) {
	if !j.route.Resumable || j.sends >= j.route.MaxAttempts {
		return
	}
	silence := max(minSilence, silenceGoals*j.route.EventGapGoal)
	if j.events == 0 {
		silence = max(silence, 2*j.route.LatencyGoal)
	}
	// Where no bound can be set, the request's own deadline holds.
	_ = reply.SetReadDeadline(time.Now().Add(silence))
}

// passEvent gives an event to the caller. It reports false when the caller
// left.
func (j *journey) passEvent(t *attempt, event *eventstream.Event) bool {
	if !j.begin(t) {
		return false
	}
	j.events++
	if j.out.WriteBody(event.Raw) != nil {
		return j.callerLeft()
	}
	return true
}

// begin passes the head on, once. It reports false when the caller left.
func (j *journey) begin(t *attempt) bool {
	if j.status != 0 {
		return true
	}
	j.status = t.reply.Status()
	j.firstByte = j.relay.Now().Sub(j.Arrived)
	if j.out.WriteHeader(j.status, t.reply.Header(), -1) != nil {
		return j.callerLeft()
	}
	return true
}

func (j *journey) callerLeft() bool {
	j.outcome = outcomeLeft
	j.out.Abort()
	return false
}

// endStream ends a whole stream; one without any event is passed on as it is.
func (j *journey) endStream(t *attempt) *errkind.Error {
	if !j.begin(t) {
		return nil
	}
	j.outcome = outcomeAnswered
	j.out.Finish()
	return nil
}

// answeredOtherwise takes an answer that isn't a stream.
func (j *journey) answeredOtherwise(ctx context.Context, t *attempt, last *string) *errkind.Error {
	body, err := readWhole(t.reply)
	status := t.reply.Status()
	if err != nil {
		t.end(j, resultOf(ctx, err))
		return j.broken(ctx, err)
	}
	header := t.reply.Header()
	t.end(j, placement.Failed)
	failure := errkind.New(errkind.TargetFailed, "the target answered %d", status)
	if j.status != 0 {
		return failure
	}
	if status >= http.StatusInternalServerError && j.again(ctx, failure) {
		return j.tryStream(ctx, last)
	}
	j.pass(status, header, body)
	return nil
}
