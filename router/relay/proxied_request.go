package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/quarantine"
	"cuminrock.example/router/admission"
	"cuminrock.example/router/prepaid"
)

const (
	// defaultRetryAfter is the Retry-After of a refusal that has none of its own.
	defaultRetryAfter = 500 * time.Millisecond
	// retryAfterDivisor bounds a Retry-After by this fraction of the caller's
	// remaining time.
	retryAfterDivisor = 4
)

// proxiedRequest is the state of one forwarded request.
type proxiedRequest struct {
	*admittedRequest
	relay       *Relay
	writer      ResponseWriter
	reservation prepaid.Reservation
	// fingerprint is that of the admitted request.
	fingerprint fingerprint
	// ticket is nil if the request isn't subject to admission.
	ticket *admission.Ticket
	// traits are what the request may have in common with others.
	traits []quarantine.Trait

	// triedTargets are the ids of the targets that were picked. sends counts the
	// requests written to targets, and unreachableTargets the targets that
	// couldn't be reached.
	triedTargets []string
	// copiedFrom are the ids of the targets from which cached prompt parts were to
	// be copied.
	copiedFrom         []string
	sends              int
	unreachableTargets int
	// decision is how the last target was picked, and actualFirstEvent the time from then
	// to its first event, or to its whole answer if that isn't a stream; 0 before it.
	decision         placement.Decision
	actualFirstEvent time.Duration
	// mayHaveRun is true when a target may have run the request.
	mayHaveRun bool
	// origin is where the stream began.
	origin origin
	// events counts the stream events forwarded to the caller.
	events int64
	// consumedTokens is the number of tokens billed.
	consumedTokens int64
	// firstByte is the time from arrival to the first byte forwarded.
	firstByte time.Duration
	outcome   string
	status    int
	// retryAfter is the Retry-After of a refusal.
	retryAfter time.Duration
	// replacements counts the targets that were asked to take the place of a silent one, and
	// silentSince is set while one is picked.
	replacements int
	silentSince  time.Time
	// heardAt is when a target last sent a header or an event.
	heardAt time.Time
	// noRetry is why the request wasn't sent again after its last failure; empty if it was.
	noRetry string
}

// recordBreak records an answer that ended early.
func (p *proxiedRequest) recordBreak(ctx context.Context, a *attempt, err error) {
	var answering time.Duration
	if !a.firstEventAt.IsZero() {
		answering = p.relay.Now().Sub(a.firstEventAt)
	}
	if !a.outlivedProbation {
		p.recordConnectionLoss(ctx, a.lease.Target(), a.sent, err)
	}
	p.relay.Metrics.Breaks.Inc()
	p.relay.Metrics.EarlyEnds.WithLabelValues(endedBy(ctx, err)).Inc()
	p.relay.Log.Info("relay: an answer broke off.", zap.String("request", p.ID), zap.String("ended_by", endedBy(ctx, err)), zap.Duration("silent_for", p.relay.Now().Sub(p.heardAt)), zap.String("target", a.lease.Target().ID),
		zap.String("version", a.lease.Target().Version), zap.Stringer("fingerprint", p.fingerprint), zap.Int64("events", p.events), zap.Duration("since_first_event", answering),
		zap.Strings("prompt_parts", p.Prompt.sharedPartIDs()), zap.Error(err))
}

// interruptedError returns the error of a request whose deadline has passed or
// whose caller has disconnected.
func (p *proxiedRequest) interruptedError(ctx context.Context, cause error) *errkind.Error {
	if !p.mayHaveRun {
		return errkind.Wrap(errkind.Overloaded, cause, "the request was cancelled or its deadline passed before a target ran it")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineInRun, cause, "the deadline passed before the response was complete")
	}
	return errkind.Wrap(errkind.TargetFailed, cause, "the caller disconnected, or this router gave the request up at its stop")
}

// mayRetry reports whether the request may be sent again after a failure: only
// within its deadline and send limit, when the target refused it or the route
// allows repeats, and when the retry budget allows it.
func (p *proxiedRequest) mayRetry(ctx context.Context, failure *errkind.Error) bool {
	p.noRetry = p.noRetryReason(ctx, failure)
	if p.noRetry == "" && !p.relay.Retries.ForService(p.service.Name).Withdraw() {
		p.relay.Metrics.RetriesDenied.Inc()
		p.noRetry = noRetryBudget
	}
	return p.noRetry == ""
}

// noRetryReason returns why the request may not be sent again after a failure, whatever
// the retry budget allows; empty if it may.
func (p *proxiedRequest) noRetryReason(ctx context.Context, failure *errkind.Error) string {
	repeatable := p.route.Repeatable() && (failure.Kind == errkind.TargetFailed || failure.Kind == errkind.TargetSilent)
	switch {
	case ctx.Err() != nil:
		return noRetryTime
	case p.sends >= p.route.MaxAttempts:
		return noRetryAttempts
	case p.unreachableTargets >= maxUnreachableTargets:
		return noRetryUnreachable
	case p.origin.begun && p.origin.version == "":
		return noRetryOrigin // no other target is known to have the same version
	case failure.Kind != errkind.TargetRefused && !repeatable:
		return noRetryUnrepeatable
	default:
		return ""
	}
}

// finalError returns the error to report. An error that says "not run" is reported
// only if no target may have run the request.
func (p *proxiedRequest) finalError(failure *errkind.Error) *errkind.Error {
	if !p.mayHaveRun || failure.Kind.Properties().RunState != pb.RunState_RUN_STATE_NOT_RUN {
		return failure
	}
	return errkind.Wrap(errkind.TargetFailed, failure, "an earlier send of this request may have run")
}

// settle ends the reservation with an upper bound of the tokens consumed: the prompt
// if a target may have run it, and the most tokens that the forwarded events hold.
func (p *proxiedRequest) settle() {
	if p.Prompt == nil {
		return
	}
	if !p.mayHaveRun {
		p.reservation.Settle(0)
		return
	}
	p.consumedTokens = p.Prompt.InputTokens + min(p.events*p.tokensPerEvent(), p.Prompt.MaxOutputTokens)
	p.reservation.Settle(p.consumedTokens)
}

// tokensPerEvent returns the most output tokens that an event holds.
func (p *proxiedRequest) tokensPerEvent() int64 {
	if p.service.Engine == nil {
		return 1
	}
	return max(p.service.Engine.MaxTokensPerEvent, 1)
}
