package relay

import (
	"strconv"
	"time"

	"go.uber.org/zap/zapcore"

	"cuminrock.example/fleet/placement"
)

// loggedDecision is a decision as an object of a log line.
type loggedDecision placement.Decision

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (d loggedDecision) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("choice", d.Choice.String())
	e.AddBool("remote", d.Remote)
	e.AddInt("candidates", d.Candidates)
	e.AddDuration("expected_first_event", d.FirstEvent)
	e.AddDuration("expected_slot_wait", d.SlotWait)
	e.AddInt64("unread_tokens", d.UnreadTokens)
	e.AddInt64("tokens_ahead", d.TokensAhead)
	e.AddInt64("expected_output", d.OutputTokens)
	e.AddFloat64("target_requests", d.Requests)
	e.AddInt("target_speed_percent", d.SpeedPercent)
	e.AddDuration("report_age", d.ReportAge)
	return nil
}

// recordPlacement counts a send to a target that was picked by expected work.
func (m *Metrics) recordPlacement(d placement.Decision) {
	if d.Choice != placement.ChoiceNone {
		m.Placements.WithLabelValues(d.Choice.String(), strconv.FormatBool(d.Remote)).Inc()
	}
}

// recordFirstEvent records the time to the first event, or to a whole answer that isn't a
// stream, beside what was expected.
func (p *proxiedRequest) recordFirstEvent(a *attempt, now time.Time) {
	p.actualFirstEvent = now.Sub(a.sent)
	if d := p.decision; d.Choice != placement.ChoiceNone && d.FirstEvent > 0 {
		p.relay.Metrics.FirstEventRatio.WithLabelValues(p.route.Name).Observe(float64(p.actualFirstEvent) / float64(d.FirstEvent))
	}
}
