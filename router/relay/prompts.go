package relay

import (
	"context"
	"errors"
	"io"
	"syscall"

	"go.uber.org/zap"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
)

// refusePrompt returns an error if requests with a part of the prompt crash
// targets. It is asked before each send, as that may become known between two.
func (p *proxiedRequest) refusePrompt() *errkind.Error {
	if len(p.traits) == 0 {
		return nil
	}
	refusal := p.relay.Prompts.Refusal(p.traits)
	if refusal != nil {
		p.relay.Log.Info("relay: refusing a prompt that crashes targets.", zap.String("request", p.ID),
			zap.Strings("prompt_parts", p.Prompt.sharedPartIDs()), zap.Duration("for", refusal.RetryAfter))
	}
	return refusal
}

// recordConnectionLoss records that the connection was lost before the prompt was
// known to be harmless. Other errors don't suggest that the target has ended.
func (p *proxiedRequest) recordConnectionLoss(ctx context.Context, target placement.Target, err error) {
	if len(p.traits) == 0 || ctx.Err() != nil || !isConnectionLoss(err) {
		return
	}
	p.relay.Prompts.ConnectionLost(target, p.traits)
}

// isConnectionLoss reports whether the other end closed or reset the connection.
func isConnectionLoss(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// recordComplete records that the whole answer has arrived.
func (p *proxiedRequest) recordComplete(a *attempt) {
	if len(p.traits) == 0 || a.outlivedProbation {
		return
	}
	began := a.firstEventAt
	if began.IsZero() {
		began = p.relay.Now()
	}
	if a.response.EndsWithConnection() {
		p.relay.Prompts.AnsweredUnlessCrashed(a.lease.Target(), p.traits, began)
		return
	}
	p.relay.Prompts.Answered(p.traits, began)
}
