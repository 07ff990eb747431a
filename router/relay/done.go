package relay

import (
	"go.uber.org/zap"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
)

// logDone records the metrics and writes the log line of a finished request.
func (p *proxiedRequest) logDone(req *Request, err *errkind.Error) {
	took := p.relay.Now().Sub(req.Arrived)
	p.relay.Metrics.recordDone(p, took)
	fields := []zap.Field{
		zap.String("request", req.ID), zap.String("outcome", p.outcome), zap.Int("status", p.status),
		zap.Duration("took", took), zap.Strings("targets", p.triedTargets), zap.Int("sends", p.sends),
		zap.Strings("copied_from", p.copiedFrom), zap.Duration("retry_after", p.retryAfter),
		zap.Bool("may_have_run", p.mayHaveRun),
	}
	fields = append(fields, p.admittedFields()...)
	fields = append(fields, p.progressFields(req)...)
	p.relay.Log.Info("relay: request done.", append(fields, p.failureFields(err)...)...)
}

// admittedFields returns the log fields of a request that the configuration allows, and
// of how its target was picked.
func (p *proxiedRequest) admittedFields() []zap.Field {
	var fields []zap.Field
	if p.admittedRequest != nil {
		fields = append(fields, zap.String("route", p.route.Name), zap.String("workspace", p.workspaceName()),
			zap.Stringer("fingerprint", p.fingerprint), zap.Uint64("config", p.catalog.Version), zap.Int64("events", p.events),
			zap.Int64("consumed", p.consumedTokens), zap.Duration("first_byte", p.firstByte))
	}
	if p.decision.Choice != placement.ChoiceNone {
		fields = append(fields, zap.Object("placement", loggedDecision(p.decision)), zap.Duration("actual_first_event", p.actualFirstEvent))
	}
	if p.admittedRequest != nil && p.homes() != nil {
		fields = append(fields, zap.Strings("home_regions", p.homes().Names()))
	}
	return fields
}

// progressFields returns the log fields of streams that are taken up, of sends that aren't
// repeated, and of the wait for a slot.
func (p *proxiedRequest) progressFields(req *Request) []zap.Field {
	var fields []zap.Field
	if req.ResumeAfter != "" {
		fields = append(fields, zap.String("resumes", req.Resumes), zap.String("resume_after", req.ResumeAfter))
	}
	if p.noRetry != "" {
		fields = append(fields, zap.String("no_retry", p.noRetry))
	}
	if p.ticket != nil {
		fields = append(fields, zap.Duration("waited_for_slot", p.ticket.Waited))
	}
	return fields
}

// failureFields counts a refusal, and returns the log fields of an error.
func (p *proxiedRequest) failureFields(err *errkind.Error) []zap.Field {
	var fields []zap.Field
	if cause := refusalCause(err); cause != "" {
		p.relay.Metrics.Refusals.WithLabelValues(cause).Inc()
		fields = append(fields, zap.String("refused_for", cause))
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	return fields
}
