package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/panics"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/eventstream"
)

// attempt is one send to a target. A goroutine sends the request and reads the events of
// its answer; each result is a step. Everything else is done by the request's goroutine.
type attempt struct {
	lease *slot
	// sent is when the request was sent, and resumes set if it is to go on with a stream.
	sent    time.Time
	resumes bool
	// steps delivers the response or the error of the send, and then, if the response is a
	// stream, its events up to the error that ends it.
	steps chan step
	// held is a step that was received ahead of its turn.
	held *step
	// unacknowledged gets a value when the target's machine hasn't acknowledged the
	// request for some time.
	unacknowledged chan struct{}
	// done is closed when the attempt is over, cancel ends its exchange.
	done   chan struct{}
	cancel context.CancelFunc
	// response is nil until its header has arrived.
	response UpstreamResponse
	// firstEventAt is when the first event of the stream arrived; zero before it.
	firstEventAt time.Time
	// outlivedProbation is set once the request is known not to crash the target.
	outlivedProbation bool
	finished          bool
}

// step is the response to a request, an event of it, or the error that ends it.
type step struct {
	response UpstreamResponse
	event    *eventstream.Event
	err      error
}

// errAttemptPanicked means that the code which serves an attempt has panicked.
var errAttemptPanicked = errors.New("the attempt panicked")

// launch sends the request to the leased target.
func (p *proxiedRequest) launch(ctx context.Context, lease *slot, resumeAfter string) *attempt {
	target := lease.Target()
	a := &attempt{
		lease: lease, sent: p.relay.Now(), resumes: resumeAfter != "", steps: make(chan step),
		unacknowledged: make(chan struct{}, 1), done: make(chan struct{}),
	}
	p.decision, p.actualFirstEvent = lease.Decision(), 0
	p.relay.Metrics.recordPlacement(p.decision)
	p.triedTargets = append(p.triedTargets, target.ID)
	if source := lease.Source(); source != nil {
		p.copiedFrom = append(p.copiedFrom, source.ID)
	}
	p.expectOrigin(target)
	p.relay.Egress.Add(headerBytes+p.Body.Len(), a.sent)
	ctx, a.cancel = context.WithCancel(ctx)
	request := &UpstreamRequest{
		Request:     p.Request,
		Target:      target,
		Source:      lease.Source(),
		Workspace:   p.workspaceName(),
		Deadline:    p.deadline,
		Priority:    p.priority(),
		Urgent:      p.urgent(),
		ResumeAfter: resumeAfter,

		PromptTokens: p.Prompt.inputTokens(),
		Repeatable:   p.route.Repeatable(),
		Homes:        p.homes(),
	}
	if request.Repeatable {
		request.OnUnacknowledged = a.reportUnacknowledged
	}
	go a.run(ctx, p.relay, request, p.route.Kind == catalog.Stream)
	return a
}

// run delivers the steps of the attempt.
func (a *attempt) run(ctx context.Context, r *Relay, request *UpstreamRequest, stream bool) {
	recovered := panics.Try(func() {
		response, err := r.Upstream.Send(ctx, request)
		if !a.deliver(step{response: response, err: err}) {
			if err == nil {
				response.Close()
			}
			return
		}
		if err == nil && stream && response.Status() == http.StatusOK {
			a.readEvents(eventstream.NewReader(response, r.AnswerRoom))
		}
	})
	if recovered != nil {
		a.deliver(step{err: fmt.Errorf("%w: %w", errAttemptPanicked, recovered.AsError())})
	}
}

// readEvents delivers the events of the response up to the error that ends it.
func (a *attempt) readEvents(events *eventstream.Reader) {
	defer events.Release()
	for {
		event, err := events.Next()
		if !a.deliver(step{event: event, err: err}) || err != nil {
			return
		}
	}
}

// deliver hands a step over. It reports false if the attempt is over.
func (a *attempt) deliver(s step) bool {
	select {
	case a.steps <- s:
		return true
	case <-a.done:
		return false
	}
}

// reportUnacknowledged tells that the target's machine doesn't acknowledge the request.
func (a *attempt) reportUnacknowledged() {
	select {
	case a.unacknowledged <- struct{}{}:
	default:
	}
}

// takeHeld returns the step that was received ahead of its turn, if any.
func (a *attempt) takeHeld() (step, bool) {
	if a.held == nil {
		return step{}, false
	}
	s := *a.held
	a.held = nil
	return s, true
}

// finish ends the request's attempt. Only the first call has an effect.
func (a *attempt) finish(p *proxiedRequest, result placement.Result) {
	if !a.finished {
		a.release(p, result)
		p.ticket.Ended()
	}
}

// release closes the response and ends the target's lease.
func (a *attempt) release(p *proxiedRequest, result placement.Result) {
	a.finished = true
	close(a.done)
	if s, ok := a.takeHeld(); ok && s.response != nil {
		s.response.Close()
	}
	if a.response != nil {
		// Before cancel, which would close a connection that can be kept.
		a.response.Close()
	}
	a.cancel()
	a.lease.Done(result, p.relay.Now())
}
