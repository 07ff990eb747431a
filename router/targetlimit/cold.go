package targetlimit

import (
	"context"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/home"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/targetlimit"
)

// Cold reports whether a target counts as cold: a request to it needs a permit.
func (l *Limiter) Cold(target placement.Target) bool {
	bound, _ := l.coldBound(target)
	return bound > 0
}

// coldBound returns the most requests in any second to a target that counts as cold, and
// since when it does; 0 if it doesn't.
func (l *Limiter) coldBound(target placement.Target) (bound float64, since time.Time) {
	rule := l.Options.Cold(target.Service)
	if rule.Bound <= 0 {
		return 0, time.Time{}
	}
	since, cold := l.cold.Cold(target, rule, l.Now())
	if !cold {
		return 0, time.Time{}
	}
	return rule.Bound, since
}

// acquireCold asks for a permit to send one request to a cold target.
func (l *Limiter) acquireCold(ctx context.Context, target placement.Target, lifetime time.Duration) targetlimit.Permit {
	permit := l.ask(ctx, target, false, lifetime)
	permit.Cold = true
	l.Metrics.recordCold(permit)
	return permit
}

// issueCold issues a permit for a request to a target that is cold here, or at the gateway
// that asks, which tells its bound then. The lower bound holds if the two differ, as
// during a change of the configuration.
func (l *Limiter) issueCold(target placement.Target, askedBound float64) targetlimit.Permit {
	bound, since := l.coldBound(target)
	if askedBound > 0 && (bound == 0 || askedBound < bound) {
		bound = askedBound
	}
	if bound == 0 {
		return targetlimit.Permit{Granted: true}
	}
	now := l.Now()
	return l.colds.Acquire(target.Process(), bound, l.role(target, now), since, now)
}

// role returns this gateway's part in issuing the permits for a cold target.
func (l *Limiter) role(target placement.Target, now time.Time) targetlimit.Role {
	if l.Alone {
		return targetlimit.MainIssuer
	}
	return l.ranking.Role(target, now)
}

// leavesColdToOthers reports whether the target is cold and this gateway issues no permits
// for it.
func (l *Limiter) leavesColdToOthers(target placement.Target) bool {
	return l.Cold(target) && l.role(target, l.Now()) == targetlimit.NoIssuer
}

// SetGateways takes the registered gateways, which issue permits for cold targets.
func (l *Limiter) SetGateways(registered []home.Gateway) { l.ranking.Update(registered, l.Now()) }

// ReplaceTargets takes a list of all targets' entries.
func (l *Limiter) ReplaceTargets(targets []placement.Target) {
	l.recordColdChanges(l.cold.Replace(targets, l.Now()))
}

// WriteTarget takes an entry that a target has written.
func (l *Limiter) WriteTarget(target placement.Target) {
	l.recordColdChanges(l.cold.Write(target, l.Now()))
}

// DeleteTarget takes the end of a target's entry.
func (l *Limiter) DeleteTarget(id string) { l.cold.Delete(id) }

// MarkCold takes note that the targets of a data centre may be cold: they count as cold
// until their entries say otherwise, or until the time has passed.
func (l *Limiter) MarkCold(dataCentre string, d time.Duration) {
	l.recordColdChanges(l.cold.Mark(dataCentre, d, l.Now()))
}

// ConnectionRefused takes note that nothing listens at a target's address, so that its
// process has ended: it may be replaced by a cold one.
func (l *Limiter) ConnectionRefused(target placement.Target) {
	if l.Options.Cold(target.Service).Bound > 0 {
		l.recordColdChanges(l.cold.End(target.Process(), l.Now()))
	}
}

// answeredCold records what a target says in an answer of the time for which it stays
// cold.
func (l *Limiter) answeredCold(target placement.Target, said placement.Announcement, sent time.Time) {
	if said.ColdKnown && l.Options.Cold(target.Service).Bound > 0 {
		l.recordColdChanges(l.cold.Answer(target, said.ColdFor, sent, l.Now()))
	}
}

// recordColdChanges logs and counts which targets turned cold, or no longer are. Targets of
// services without cold targets say nothing.
func (l *Limiter) recordColdChanges(changes []targetlimit.ColdChange) {
	for _, c := range changes {
		rule := l.Options.Cold(c.Target.Service)
		if rule.Bound <= 0 {
			continue
		}
		if !c.Cold {
			l.Log.Info("limit: a target no longer counts as cold.", zap.String("target", c.Target.ID), zap.String("cause", string(c.Cause)))
			continue
		}
		l.Metrics.coldPeriods.WithLabelValues(string(c.Cause)).Inc()
		l.Log.Info("limit: a target counts as cold.", zap.String("target", c.Target.ID), zap.String("cause", string(c.Cause)),
			zap.Duration("told", c.For), zap.Float64("bound", rule.Bound))
	}
}

// encodeCold returns what an answer last told of a target's cold period; nil if none did.
func (l *Limiter) encodeCold(p placement.Process) *pb.ColdPeriod {
	left, age, ok := l.cold.Heard(p, l.Now())
	if !ok {
		return nil
	}
	return &pb.ColdPeriod{LeftMs: left.Milliseconds(), AgeMs: age.Milliseconds()}
}

// learnCold takes what another gateway heard in an answer.
func (l *Limiter) learnCold(p placement.Process, heard *pb.ColdPeriod) {
	if heard == nil {
		return
	}
	left, age := time.Duration(heard.LeftMs)*time.Millisecond, time.Duration(heard.AgeMs)*time.Millisecond
	l.recordColdChanges(l.cold.LearnHeard(p, left, age, l.Now()))
}
