package admission

import (
	"time"
)

// The verdicts.
const (
	// Start means that the request is sent now.
	Start Verdict = iota
	// Wait means that the request waits at the gateway.
	Wait
	// RefuseSlots means that the request is refused since it is expected to get a slot
	// too late.
	RefuseSlots
	// RefuseDeadline means that the request is refused since its deadline is expected to
	// pass before its first event.
	RefuseDeadline
)

// The reasons.
const (
	// ReasonUnknown means that there is no usable estimate.
	ReasonUnknown Reason = "estimate unknown"
	// ReasonFree means that a slot is free.
	ReasonFree Reason = "slot free"
	// ReasonWaited means that the request has waited for the longest allowed time and is
	// expected to be served in time.
	ReasonWaited Reason = "waited"
	// ReasonQueueFull means that the queue has no place for the request, which is expected
	// to be served in time without one.
	ReasonQueueFull Reason = "queue full"
	// ReasonTrial means that everything was refused for a while.
	ReasonTrial Reason = "trial"
	// ReasonStopping means that the gateway is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonLate means that the expected times are too long.
	ReasonLate Reason = "too late"
)

// Verdict is what happens to a request.
type Verdict uint8

// Reason is why a request was started or refused.
type Reason string

// Decision is a verdict on one request with its inputs.
type Decision struct {
	Request *Request
	Verdict Verdict
	Reason  Reason
	// SlotIn is the expected time until the request gets a slot and the target's attention,
	// and FirstEventIn that until its first event; 0 if unknown.
	SlotIn, FirstEventIn time.Duration
	// EstimateAge is the age of the estimate; 0 if it is unknown.
	EstimateAge time.Duration
	// Waiting is the number of requests that wait.
	Waiting int
}

// start decides that a request is sent.
func (q *Queue) start(now time.Time, r *Request, e Estimate, reason Reason) Decision {
	if reason == ReasonFree {
		q.transitUntil = now.Add(transitTime)
	}
	q.recordStart(r, now)
	return q.decision(now, r, e, Start, reason)
}

// recordStart records that a request is sent.
func (q *Queue) recordStart(r *Request, now time.Time) {
	q.startedAt, q.refusals = now, 0
	q.usage.add(r.Workspace, r.Cost, now)
	q.turns.started(r, now, q.waiting)
}

// decision returns a decision based on an estimate, which may be unknown.
func (q *Queue) decision(now time.Time, r *Request, e Estimate, v Verdict, reason Reason) Decision {
	d := Decision{Request: r, Verdict: v, Reason: reason, SlotIn: e.wait(), FirstEventIn: e.FirstEvent, Waiting: len(q.waiting)}
	if e.Known {
		d.EstimateAge = now.Sub(e.At)
	}
	return d
}

// carryOut records a decision to start or refuse a request.
func (q *Queue) carryOut(now time.Time, d Decision) Decision {
	if d.Verdict == Start {
		q.recordStart(d.Request, now)
		return d
	}
	q.refusals++
	q.turns.refused(d.Request.Rank, now)
	return d
}

// judge decides whether a request is expected to be served in time if it starts after a
// number of others that wait.
func (q *Queue) judge(now time.Time, r *Request, e Estimate, ahead int) Decision {
	slotIn := e.wait() + time.Duration(ahead)*q.expectedSpacing(now)
	d := q.decision(now, r, e, Start, ReasonWaited)
	d.SlotIn, d.FirstEventIn = slotIn, slotIn+e.work()
	late := now.Add(d.FirstEventIn).After(r.Deadline)
	tooLong := slotIn > q.longestSlotWait(now, r, e.work()) && !q.turns.due(r, now)
	switch {
	case r.getsSlot(e), !late && !tooLong:
	case q.refusals >= trialRefusals && now.Sub(q.startedAt) >= trialInterval && now.Before(r.Deadline):
		d.Reason = ReasonTrial
	case late:
		d.Verdict, d.Reason = RefuseDeadline, ReasonLate
	default:
		d.Verdict, d.Reason = RefuseSlots, ReasonLate
	}
	return d
}

// getsSlot reports whether a slot counts as free for a request.
func (r *Request) getsSlot(e Estimate) bool {
	if r.Goal == 0 {
		return e.SlotFree <= defaultFree
	}
	return e.SlotFree <= r.Goal/freeDivisor && e.Queued <= r.Goal/maxQueuedDivisor
}

// maxWait returns how long a request may wait at the gateway.
func maxWait(r *Request, now time.Time) time.Duration {
	wait := defaultMaxWait
	if r.Goal > 0 {
		wait = r.Goal / waitDivisor
	}
	return max(min(wait, r.Deadline.Sub(now)/waitDivisor), 0)
}
