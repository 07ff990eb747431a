package relay

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
)

// A target's silence is no reason to end an answer: a sound target may be silent for a
// while, and all may be at once. Where the request may be repeated, another target is asked
// to take the place of the silent one, which keeps the request until that has answered it.
// Whatever keeps another target from taking it, from the retry budget to a refusal, leaves
// the request where it is.
const (
	// silenceGapGoals is how many times the route's gap goal a stream may be silent
	// before another target is asked.
	silenceGapGoals = 4
	// minSilence is the lower bound of that time. A sound target may be silent for a
	// second or so.
	minSilence = 1800 * time.Millisecond
	// replacementInterval is the time between two searches for another target.
	replacementInterval = 400 * time.Millisecond
	// maxOverlap bounds the time for which two targets have the request. One that hasn't
	// answered by then loses it: it might still refuse it.
	maxOverlap = 300 * time.Millisecond
	// maxReplacements bounds the targets that are asked for one request.
	maxReplacements = 3
)

// The results of a search for another target, in metrics.
const (
	replacementAccepted = "accepted"
	replacementRefused  = "refused"
	// replacementNeedless means that the silent target went on meanwhile, replacementLate
	// that the other one didn't answer in time.
	replacementNeedless = "needless"
	replacementLate     = "late"
	replacementNone     = "none"
)

// silentFailure is the failure of a target that is silent.
var silentFailure = errkind.New(errkind.TargetSilent, "the target is silent")

// next waits for the next step of the request's attempt. It returns the attempt that the
// step belongs to: another one, if that has taken the place of a silent one.
func (p *proxiedRequest) next(ctx context.Context, a *attempt, resumeAfter string) (*attempt, step) {
	if s, ok := a.takeHeld(); ok {
		return a, s
	}
	if !p.route.Repeatable() {
		return a, <-a.steps
	}
	since := p.relay.Now()
	var search <-chan time.Time
	if a.response != nil {
		timer := time.NewTimer(p.silenceLimit())
		defer timer.Stop()
		search = timer.C
	}
	for {
		select {
		case s := <-a.steps:
			return a, s
		case <-a.unacknowledged:
		case <-search:
		}
		replacement := p.replace(ctx, a, resumeAfter, since)
		search = time.After(replacementInterval)
		if replacement != nil {
			p.giveUp(a, since)
			a = replacement // it holds its response
		}
		if s, ok := a.takeHeld(); ok {
			return a, s
		}
	}
}

// silenceLimit returns how long a stream may be silent before another target is asked.
func (p *proxiedRequest) silenceLimit() time.Duration {
	silence := max(minSilence, silenceGapGoals*p.route.EventGapGoal)
	if p.events == 0 {
		silence = max(silence, 2*p.route.LatencyGoal)
	}
	return silence
}

// replace asks another target to take the place of one that has been silent since a time.
// It returns nil if none answers the request in time, or the silent target goes on meanwhile.
func (p *proxiedRequest) replace(ctx context.Context, silent *attempt, resumeAfter string, since time.Time) *attempt {
	lease := p.pickReplacement(ctx, silent, since)
	if lease == nil {
		p.relay.Metrics.Replacements.WithLabelValues(replacementNone).Inc()
		return nil
	}
	p.replacements++
	a := p.launch(ctx, lease, resumeAfter)
	overlap := time.NewTimer(maxOverlap)
	defer overlap.Stop()
	result := replacementAccepted
	select {
	case s := <-silent.steps:
		silent.held, result = &s, replacementNeedless
		p.countSend()
		a.release(p, placement.Neutral)
	case s := <-a.steps:
		a.held = &s
		if !p.accepts(ctx, a, s) {
			result = replacementRefused
		}
	case <-overlap.C:
		result = replacementLate
		p.countSend()
		a.release(p, placement.Neutral)
	}
	p.relay.Metrics.Replacements.WithLabelValues(result).Inc()
	if result != replacementAccepted {
		return nil
	}
	return a
}

// pickReplacement returns a slot at a target that may take the place of one that has been
// silent since a time; nil if there is none, or the request may not be repeated now.
func (p *proxiedRequest) pickReplacement(ctx context.Context, silent *attempt, since time.Time) *slot {
	sends := p.sends
	if silent.response == nil {
		sends++ // not counted yet
	}
	if p.replacements >= maxReplacements || sends >= p.route.MaxAttempts || p.noRetryReason(ctx, silentFailure) != "" {
		return nil
	}
	budget := p.relay.Retries.ForService(p.service.Name)
	if !budget.Withdraw() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxOverlap)
	defer cancel()
	p.silentSince = since
	lease, failure := p.pickTarget(ctx)
	p.silentSince = time.Time{}
	if failure != nil {
		budget.Refund()
		return nil
	}
	return lease
}

// accepts reports whether the first step of an attempt is a response that can go on.
// Otherwise it ends the attempt.
func (p *proxiedRequest) accepts(ctx context.Context, a *attempt, s step) bool {
	switch {
	case s.err != nil:
		p.recordSendFailure(ctx, a, s.err)
		return false
	case s.response.Status() >= http.StatusInternalServerError:
		p.countSend()
		a.release(p, placement.Failed)
		return false
	default:
		return true
	}
}

// giveUp ends the attempt at a silent target, after another one has taken its place.
func (p *proxiedRequest) giveUp(a *attempt, since time.Time) {
	if a.response == nil {
		p.countSend()
	}
	p.relay.Metrics.Breaks.Inc()
	p.relay.Metrics.EarlyEnds.WithLabelValues(endedBySilence).Inc()
	p.relay.Log.Info("relay: another target takes the place of a silent one.", zap.String("request", p.ID),
		zap.String("target", a.lease.Target().ID), zap.String("replacement", p.triedTargets[len(p.triedTargets)-1]),
		zap.Duration("silent_for", p.relay.Now().Sub(since)), zap.Int64("events", p.events))
	a.release(p, placement.Silent)
}
