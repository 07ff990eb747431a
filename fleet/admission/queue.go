package admission

import (
	"slices"
	"time"
)

// The defaults of Options.
const (
	defaultMaxWaiting      = 256
	defaultMaxWaitingBytes = 4 << 20
)

const (
	// numRanks is the number of priorities; all lower ones count as the last.
	numRanks = 10
	// waitDivisor is the fraction of the latency goal for which a request may wait at the
	// gateway. defaultMaxWait applies to requests without a goal.
	waitDivisor    = 8
	defaultMaxWait = 100 * time.Millisecond
	// freeDivisor is the fraction of the latency goal within which a slot must be expected to
	// count as free, and defaultFree the time for requests without a goal. Estimates are
	// expected values, which are hardly ever 0.
	freeDivisor = 32
	defaultFree = 10 * time.Millisecond
	// maxQueuedDivisor is the fraction of the latency goal up to which other prompts may
	// have to be read first where a slot counts as free. With a quarter, a trial of 31
	// gateways held back requests that were served in time without.
	maxQueuedDivisor = 2
	// transitTime is how long a started request may take until it is placed and counts in
	// the estimates. Until then no other one is started for the same slot.
	transitTime = 5 * time.Millisecond
	// trialInterval is the time without a start, and trialRefusals the number of refusals
	// meanwhile, after which a request is started whatever is expected, since estimates are
	// only corrected by requests that were sent. The number keeps a gateway with little
	// traffic from starting most requests that way.
	trialInterval = time.Second
	trialRefusals = 8
	// maxSpacing is the age from which on the observed time between starts is unknown.
	maxSpacing = 2 * time.Second
	// spacingWeight is the weight of one observed time between starts in their mean.
	spacingWeight = 0.2
)

// Request is a request that asks for a slot.
type Request struct {
	// ID is unique among the requests of a queue.
	ID        uint64
	Workspace string
	// Rank is the priority, 0 the most urgent.
	Rank int
	// Cost is the expected work, in any unit that is the same for all requests, and Bytes
	// the size of the body.
	Cost, Bytes int64
	// Arrived is when the request arrived, and Deadline when its caller stops waiting.
	Arrived, Deadline time.Time
	// Goal is the latency goal; 0 for none.
	Goal time.Duration
}

// Options limits a Queue. Zero fields take the default.
type Options struct {
	// MaxWaiting is the maximum number of waiting requests. Default 256.
	MaxWaiting int
	// MaxWaitingBytes is the maximum size of their bodies. Default 4 MiB.
	MaxWaitingBytes int64
}

// Queue decides about the requests of one service.
type Queue struct {
	opts Options
	// now is the time of the last input.
	now time.Time
	// waiting holds the waiting requests by arrival, and waitingBytes the size of their
	// bodies.
	waiting      []*ticket
	waitingBytes int64
	// startedAt is when a request was last started, refusals counts those since, and transitUntil when one that isn't
	// placed yet no longer keeps others waiting.
	startedAt, transitUntil time.Time
	refusals                int
	// spacing is the mean time between starts while requests wait, and spacedAt when it
	// was last observed. busySince is when the requests that wait now began to.
	spacing             time.Duration
	spacedAt, busySince time.Time

	usage      usage
	turns      turns
	goals      goals
	correction correction
}

// ticket is a waiting request.
type ticket struct {
	*Request
	// until is the end of its wait.
	until time.Time
}

// NewQueue returns an empty queue.
func NewQueue(opts Options) *Queue {
	if opts.MaxWaiting == 0 {
		opts.MaxWaiting = defaultMaxWaiting
	}
	if opts.MaxWaitingBytes == 0 {
		opts.MaxWaitingBytes = defaultMaxWaitingBytes
	}
	return &Queue{opts: opts, usage: newUsage()}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Offer decides about a new request. The first decision is on that request; others are on
// requests that lost their place in the queue to it.
func (q *Queue) Offer(now time.Time, r *Request, estimate Estimate) []Decision {
	q.now = now
	q.usage.advance(now)
	q.goals.record(r.Rank, r.Goal, now)
	estimate = q.correction.apply(estimate, now)
	switch {
	case !estimate.usable(now):
		return []Decision{q.start(now, r, Estimate{}, ReasonUnknown)}
	case r.getsSlot(estimate) && len(q.waiting) == 0 && !now.Before(q.transitUntil):
		return []Decision{q.start(now, r, estimate, ReasonFree)}
	}
	decision := q.judge(now, r, estimate, q.ahead(r))
	if decision.Verdict != Start || decision.Reason == ReasonTrial {
		return []Decision{q.carryOut(now, decision)}
	}
	if len(q.waiting) == 0 {
		q.busySince = now
	}
	t := &ticket{Request: r, until: now.Add(maxWait(r, now))}
	q.waiting = append(q.waiting, t)
	q.waitingBytes += r.Bytes
	decision.Verdict, decision.Reason = Wait, ""
	decisions := []Decision{decision}
	for len(q.waiting) > q.opts.MaxWaiting || q.waitingBytes > q.opts.MaxWaitingBytes {
		last := q.last()
		q.remove(last.ID)
		judged := q.judge(now, last.Request, estimate, 0)
		if judged.Reason == ReasonWaited {
			judged.Reason = ReasonQueueFull
		}
		judged = q.carryOut(now, judged)
		if last == t {
			return append([]Decision{judged}, decisions[1:]...)
		}
		decisions = append(decisions, judged)
	}
	return decisions
}

// Step decides about the waiting requests: it starts the first ones while slots are free,
// and ends the waits whose time is over. Estimate is asked for each of these requests.
func (q *Queue) Step(now time.Time, estimate func(*Request) Estimate) []Decision {
	q.now = now
	q.usage.advance(now)
	var decisions []Decision
	for len(q.waiting) > 0 && !now.Before(q.transitUntil) {
		first := q.first()
		e := q.correction.apply(estimate(first.Request), now)
		if e.usable(now) && !first.getsSlot(e) {
			break
		}
		q.remove(first.ID)
		if !e.usable(now) {
			decisions = append(decisions, q.start(now, first.Request, Estimate{}, ReasonUnknown))
			continue
		}
		q.observeSpacing(now)
		decisions = append(decisions, q.start(now, first.Request, e, ReasonFree))
	}
	for _, t := range slices.Clone(q.waiting) {
		if now.Before(t.until) {
			continue
		}
		q.remove(t.ID)
		e := q.correction.apply(estimate(t.Request), now)
		if !e.usable(now) {
			decisions = append(decisions, q.start(now, t.Request, Estimate{}, ReasonUnknown))
			continue
		}
		decisions = append(decisions, q.carryOut(now, q.judge(now, t.Request, e, 0)))
	}
	return decisions
}

// NextStep returns when Step has to be called at the latest; false if nothing waits.
func (q *Queue) NextStep() (time.Time, bool) {
	if len(q.waiting) == 0 {
		return time.Time{}, false
	}
	next := q.waiting[0].until
	for _, t := range q.waiting[1:] {
		if t.until.Before(next) {
			next = t.until
		}
	}
	return next, true
}

// Placed records that a started request was placed at a target, so that estimates include
// it.
func (q *Queue) Placed() { q.transitUntil = time.Time{} }

// Leave removes a waiting request whose caller left. It reports whether it waited.
func (q *Queue) Leave(id uint64) bool { return q.remove(id) }

// Stop ends all waits: the requests are sent, since a planned stop interrupts nothing.
func (q *Queue) Stop(now time.Time) []Decision {
	var decisions []Decision
	for len(q.waiting) > 0 {
		first := q.first()
		q.remove(first.ID)
		decisions = append(decisions, q.start(now, first.Request, Estimate{}, ReasonStopping))
	}
	return decisions
}

// Observe records the time from a request's start to its first event, which corrects the
// estimates that follow.
func (q *Queue) Observe(expected, observed time.Duration, now time.Time) {
	q.correction.observe(expected, observed, now)
}

// observeSpacing records a start into a free slot while requests wait.
func (q *Queue) observeSpacing(now time.Time) {
	since := q.startedAt
	if since.Before(q.busySince) {
		since = q.busySince
	}
	sample := now.Sub(since)
	if q.spacing == 0 || now.Sub(q.spacedAt) > maxSpacing {
		q.spacing = sample
	}
	q.spacing += time.Duration(spacingWeight * float64(sample-q.spacing))
	q.spacedAt = now
}

// expectedSpacing returns the expected time between two starts, 0 if it is unknown.
func (q *Queue) expectedSpacing(now time.Time) time.Duration {
	if now.Sub(q.spacedAt) > maxSpacing {
		return 0
	}
	return q.spacing
}

// remove removes a request. It reports whether it waited.
func (q *Queue) remove(id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(t *ticket) bool { return t.ID == id })
	if i < 0 {
		return false
	}
	q.waitingBytes -= q.waiting[i].Bytes
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}
