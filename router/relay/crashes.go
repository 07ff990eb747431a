package relay

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/quarantine"
)

// refuseHarmful returns an error if the request, or requests with a part of its prompt,
// crash targets. It is asked before each send, as that may become known between two.
func (p *proxiedRequest) refuseHarmful() *errkind.Error {
	refusal := p.relay.Crashes.Refusal(p.traits)
	if refusal != nil {
		p.relay.Log.Info("relay: refusing a request that crashes targets.", zap.String("request", p.ID), zap.Stringer("kind", refusal.Kind),
			zap.Stringer("fingerprint", p.fingerprint), zap.Strings("prompt_parts", p.Prompt.sharedPartIDs()), zap.Duration("for", refusal.RetryAfter))
	}
	return refusal
}

// recordConnectionLoss records that the connection of an attempt, which was sent at a
// time, was lost before the request was known to be harmless. Other errors don't
// suggest that the target has ended.
func (p *proxiedRequest) recordConnectionLoss(ctx context.Context, target placement.Target, sent time.Time, err error) {
	if ctx.Err() != nil || !IsConnectionLoss(err) {
		return
	}
	p.relay.Crashes.ConnectionLost(quarantine.Exchange{Target: target, Traits: p.traits, SentAt: sent})
}

// IsConnectionLoss reports whether the other end closed or reset the connection.
func IsConnectionLoss(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// recordComplete records that the whole answer has arrived.
func (p *proxiedRequest) recordComplete(a *attempt) {
	if a.outlivedProbation {
		return
	}
	began := a.firstEventAt
	if began.IsZero() {
		began = p.relay.Now()
	}
	if a.response.EndsWithConnection() {
		p.relay.Crashes.AnsweredUnlessCrashed(quarantine.Exchange{Target: a.lease.Target(), Traits: p.traits, SentAt: a.sent}, began)
		return
	}
	p.relay.Crashes.Answered(p.traits, began)
}
