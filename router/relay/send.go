package relay

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
)

// sendToNextTarget sends the request to a target that wasn't tried yet. It skips
// targets that can't be reached, up to maxUnreachableTargets.
func (p *proxiedRequest) sendToNextTarget(ctx context.Context, resumeAfter string) (*attempt, *errkind.Error) {
	for {
		lease, failure := p.pickTarget(ctx)
		p.ticket.Placed()
		if failure != nil {
			return nil, failure
		}
		a, failure := p.send(ctx, lease, resumeAfter)
		if failure == nil || failure.Kind != errkind.TargetUnreachable {
			return a, failure
		}
		p.unreachableTargets++
		if p.unreachableTargets >= maxUnreachableTargets || ctx.Err() != nil {
			return nil, failure
		}
	}
}

// pickTarget picks a target for the next send. It skips targets that have no permit
// left for it, up to maxDeniedPermits.
func (p *proxiedRequest) pickTarget(ctx context.Context) (*slot, *errkind.Error) {
	var avoid func(placement.Target) bool
	for denied := 0; ; denied++ {
		refusal := p.refuseHarmful()
		if refusal == nil && !p.mayHaveRun {
			refusal = p.relay.refuseLate(p.deadline) // it has waited, or was sent in vain
		}
		if refusal != nil {
			return nil, refusal
		}
		lease, err := p.pickOnce(avoid)
		if err != nil && p.awaitVersion(ctx) {
			lease, err = p.pickOnce(avoid)
		}
		if err != nil {
			return nil, errkind.FromError(err)
		}
		permit := p.relay.Limits.Acquire(ctx, lease.Target(), p.deadline.Sub(p.relay.Now()))
		if permit.Granted {
			s := &slot{Lease: lease, limits: p.relay.Limits, permit: permit}
			if !p.relay.Targets.Evacuated(lease.Target().DataCentre) {
				return s, nil
			}
			// The evacuation began while the permit was asked for.
			s.Done(placement.Neutral, p.relay.Now())
			continue
		}
		if ctx.Err() != nil {
			lease.Done(placement.Neutral, p.relay.Now())
			return nil, p.interruptedError(ctx, ctx.Err())
		}
		lease.Defer(permit.RetryAfter, p.relay.Now())
		if permit.Cold {
			avoid = p.relay.Limits.Cold // there may be as many cold targets as after a cut
		}
		if denied >= maxDeniedPermits {
			return nil, errkind.New(errkind.NoTarget, "the targets take no more requests now").WithRetryAfter(permit.RetryAfter)
		}
	}
}

// pickOnce picks a target that wasn't tried yet, one to avoid only if there is no other.
func (p *proxiedRequest) pickOnce(avoid func(placement.Target) bool) (*placement.Lease, error) {
	r := p.placementRequest()
	r.AllowsVersion, r.Avoid = p.allowsVersion(), avoid
	return p.relay.Targets.Pick(r)
}

// send sends the request to the leased target and waits for the header of the response. An
// error ends the lease.
func (p *proxiedRequest) send(ctx context.Context, lease *slot, resumeAfter string) (*attempt, *errkind.Error) {
	a, s := p.next(ctx, p.launch(ctx, lease, resumeAfter), resumeAfter)
	failure := p.begin(ctx, a, s)
	if failure != nil {
		return nil, failure
	}
	return a, nil
}

// begin takes an attempt's response, its first step. An error ends the attempt.
func (p *proxiedRequest) begin(ctx context.Context, a *attempt, s step) *errkind.Error {
	if s.err != nil {
		failure := p.recordSendFailure(ctx, a, s.err)
		if failure.Kind == errkind.TargetRefused {
			p.sends++
		}
		return failure
	}
	a.response = s.response
	p.countSend()
	p.heardAt = p.relay.Now()
	a.lease.RecordHeard(p.heardAt)
	if load := a.response.Load(); load != nil {
		a.lease.ReportLoad(*load, p.heardAt)
	}
	p.recordAnnouncement(a.lease, a.sent, a.response.Announcement())
	return nil
}

// countSend counts a request that a target may have run.
func (p *proxiedRequest) countSend() {
	p.sends++
	p.mayHaveRun = true
}

// recordSendFailure records a failed send and ends the attempt. It returns the error for
// the request.
func (p *proxiedRequest) recordSendFailure(ctx context.Context, a *attempt, err error) *errkind.Error {
	lease := a.lease
	failure := errkind.FromError(err)
	result := AttemptResult(ctx, err)
	switch failure.Kind {
	case errkind.TargetUnreachable:
		result = placement.Unreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.relay.Limits.ConnectionRefused(lease.Target())
		}
	case errkind.TargetRefused:
		result = placement.Refused
		var refusal *Refusal
		if errors.As(err, &refusal) && !refusal.Misdirected {
			lease.turnedAway = refusal.Status == http.StatusServiceUnavailable
			p.recordAnnouncement(lease, a.sent, refusal.Announcement)
		}
	default:
		p.countSend()
		p.relay.Metrics.EarlyEnds.WithLabelValues(endedBy(ctx, err)).Inc()
		p.recordConnectionLoss(ctx, lease.Target(), a.sent, err)
	}
	if ctx.Err() != nil {
		failure = p.interruptedError(ctx, failure)
		result = AttemptResult(ctx, err)
	}
	a.release(p, result)
	p.relay.Log.Info("relay: a send failed.", zap.String("request", p.ID), zap.String("ended_by", endedBy(ctx, err)), zap.Duration("waited", p.relay.Now().Sub(a.sent)),
		zap.String("target", lease.Target().ID), zap.String("version", lease.Target().Version), zap.Int("sends", p.sends),
		zap.Stringer("kind", failure.Kind), zap.Stringer("fingerprint", p.fingerprint), zap.Strings("prompt_parts", p.Prompt.sharedPartIDs()), zap.Error(err))
	return failure
}

// recordAnnouncement records what the target says about its further use in an
// answer to a request that was sent at a time.
func (p *proxiedRequest) recordAnnouncement(lease *slot, sent time.Time, n placement.Announcement) {
	p.relay.Limits.Answered(lease.Target(), n, lease.load, sent)
	if !n.Leaving && n.Quiet == 0 {
		return
	}
	lease.Announce(n, p.relay.Now())
	p.relay.Log.Info("relay: a target announced that it is leaving, or wants quiet.", zap.String("request", p.ID),
		zap.String("target", lease.Target().ID), zap.Bool("leaving", n.Leaving), zap.Duration("quiet", n.Quiet))
}
