package relay

import (
	"context"
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"cuminrock.example/fleet/admission"
	"cuminrock.example/fleet/errkind"
)

// outputTokenCost is the expected work of an output token, in prompt tokens. Engines read
// tens of prompt tokens in a millisecond, and need some milliseconds for a step.
const outputTokenCost = 100

// subjectToAdmission reports whether requests of this kind wait and are refused by the
// decisions of the relay's Admission.
func (r *Relay) subjectToAdmission(a *admittedRequest) bool {
	return r.Admission != nil && r.Admission.Applies(a.service.Name)
}

// rank returns the priority by which a request gets a slot and is told when to come back;
// budgetRank is that for tokens. Where admission doesn't apply, it is the route's. Where it
// does, the workspace's takes precedence, and a stream that goes on is among the most urgent,
// since its caller already has a part of it.
func (r *Relay) rank(a *admittedRequest) int {
	switch {
	case !r.subjectToAdmission(a):
		return a.route.Priority
	case a.resumesStream():
		return mostUrgent
	case a.workspace != nil && a.workspace.Priority != nil:
		return *a.workspace.Priority
	default:
		return a.route.Priority
	}
}

// awaitSlot waits until the request may be sent to a target.
func (p *proxiedRequest) awaitSlot(ctx context.Context) *errkind.Error {
	if !p.relay.subjectToAdmission(p.admittedRequest) {
		return nil
	}
	ticket, refusal := p.relay.Admission.Admit(ctx, p.ID, admission.Request{
		Workspace: p.workspaceName(), Rank: p.relay.rank(p.admittedRequest),
		Cost: p.Prompt.cost(), Bytes: int64(p.Body.Len()), Arrived: p.Arrived, Deadline: p.deadline, Goal: p.route.LatencyGoal,
	}, p.placementRequest())
	if refusal != nil {
		return refusal
	}
	if ticket == nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlineTooShort, "the deadline passed while the request waited for a slot at a target")
	}
	if ticket == nil && ctx.Err() != nil {
		return p.interruptedError(ctx, ctx.Err())
	}
	p.ticket = ticket
	return nil
}

// cost returns the expected work of a request, in prompt tokens; 1 without a prompt.
func (p *Prompt) cost() int64 {
	if p == nil {
		return 1
	}
	return p.InputTokens + outputTokenCost*p.MaxOutputTokens
}

// recordTokens tells the Admission that a request got its tokens.
func (r *Relay) recordTokens(a *admittedRequest) {
	if r.subjectToAdmission(a) {
		r.Admission.TokensReserved(a.workspaceName(), a.Prompt.MaxTotalTokens())
	}
}

// timedByAdmission returns the error with the time at which the caller should come back, if
// admission decides that: where it applies, for want of tokens, slots or time. Otherwise it
// returns nil.
func (p *proxiedRequest) timedByAdmission(err *errkind.Error) *errkind.Error {
	if p.admittedRequest == nil || !p.relay.subjectToAdmission(p.admittedRequest) {
		return nil
	}
	rank, remaining := p.relay.rank(p.admittedRequest), p.deadline.Sub(p.relay.Now())
	switch err.Kind {
	case errkind.BudgetExhausted, errkind.BudgetUnreachable:
		return err.WithRetryAfter(p.relay.Admission.TokensRefused(p.workspaceName(), p.Prompt.MaxTotalTokens(), rank, err.RetryAfter, remaining))
	case errkind.NoSlot, errkind.DeadlineTooShort, errkind.TargetRefused, errkind.NoTarget:
		return err.WithRetryAfter(p.relay.Admission.SlotRefused(p.service.Name, rank, err.RetryAfter, remaining))
	default:
		return nil
	}
}

// Causes of refusals in logs and metrics.
const (
	causeTokensExhausted   = "tokens_exhausted"
	causeTokensUnreachable = "tokens_unreachable"
	causeSlots             = "slots"
	causeDeadline          = "deadline"
)

// newRefusals returns the counters of refusals, registered with the registry.
func newRefusals(registry prometheus.Registerer) *prometheus.CounterVec {
	refusals := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminrock_refusals_total", Help: "Refused requests that haven't run, for want of tokens, slots or time."}, []string{"cause"})
	registry.MustRegister(refusals)
	return refusals
}

// refusalCause returns why a request that hasn't run was refused: for tokens, for a slot at
// a target, or for its deadline. It is empty for other errors.
func refusalCause(err *errkind.Error) string {
	if err == nil {
		return ""
	}
	switch err.Kind {
	case errkind.BudgetExhausted:
		return causeTokensExhausted
	case errkind.BudgetUnreachable:
		return causeTokensUnreachable
	case errkind.NoSlot, errkind.TargetRefused:
		return causeSlots
	case errkind.DeadlineTooShort, errkind.DeadlinePassed:
		return causeDeadline
	default:
		return ""
	}
}
