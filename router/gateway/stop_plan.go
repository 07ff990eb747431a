package gateway

import "time"

const (
	// stopScale is the time limit of a stop for which the following times hold; for a shorter
	// one they are shorter in proportion.
	stopScale = 8 * time.Second
	// balancerDelay is how long new connections are still accepted after the gateway reports
	// that it isn't ready, until the load balancer has noticed.
	balancerDelay = 3 * time.Second
	// lateLead is how long before that requests begin to count as late, since they may have
	// been sent before they are read.
	lateLead = 500 * time.Millisecond
	// stopMargin is the part of the time limit that is left unused.
	stopMargin = 400 * time.Millisecond
	// tokenReturnTime is the part of the time limit reserved for returning tokens.
	tokenReturnTime = 600 * time.Millisecond
	// answerMargin is how long before the end of all requests a late one must have been
	// answered.
	answerMargin = 300 * time.Millisecond
	// abortTime is how long requests that outlast the stop may take to tell their callers.
	abortTime = 100 * time.Millisecond
)

// stopPlan says until when a stopping gateway does what.
type stopPlan struct {
	// late is when requests begin to count as late: they are sent to a target only if they must
	// have been answered by lateDeadline.
	late, lateDeadline time.Time
	// closing is when new connections are no longer accepted.
	closing time.Time
	// requests and tokens are the ends of waiting for requests in progress, and for
	// reservations of tokens between gateways; limit is that of the stop.
	requests, tokens, limit time.Time
}

// newStopPlan returns the plan of a stop that begins at a time and has a time limit.
func newStopPlan(began time.Time, timeLimit time.Duration) stopPlan {
	scaled := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * min(1, timeLimit.Seconds()/stopScale.Seconds()))
	}
	limit := began.Add(timeLimit - scaled(stopMargin))
	requests := limit.Add(-scaled(tokenReturnTime))
	closing := began.Add(scaled(balancerDelay))
	return stopPlan{
		late: closing.Add(-scaled(lateLead)), lateDeadline: requests.Add(-scaled(answerMargin)),
		closing: closing, requests: requests, tokens: limit.Add(-scaled(tokenReturnTime) / 2), limit: limit,
	}
}

// tooLate reports whether a request that must be answered by a deadline mustn't be sent to a
// target at a time, since it could be cut at the end. A gateway that isn't stopping has no plan.
func (p *stopPlan) tooLate(deadline, now time.Time) bool {
	return p != nil && !now.Before(p.late) && deadline.After(p.lateDeadline)
}

// tooLate reports whether the gateway stops before a request with a deadline must have been
// answered, so that it mustn't be sent to a target any more.
func (g *Gateway) tooLate(deadline time.Time) bool {
	return g.stopPlan.Load().tooLate(deadline, time.Now())
}
