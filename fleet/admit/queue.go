// Package admit queues requests for a short time while no target has capacity,
// and refuses at once those that can't be started in time.
//
// A request may wait for a fixed fraction of the time to its deadline, so that
// it is never held until shortly before it. The expected wait is computed from
// the rate at which queued requests were started and the number of requests
// ahead. Interactive requests go before normal ones, and these before batch
// requests. If requests of higher priority arrive later, the requests behind
// them that can't be started in time any more are refused early.
//
// The package reads no clock: every input carries its time. A Queue is not safe
// for concurrent use.
package admit

import (
	"math"
	"slices"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// The defaults of Options.
const (
	defaultMaxQueued = 1024
	defaultMaxWait   = 2 * time.Second
)

// maxWaitDivisor divides the time to a request's deadline; the request may wait
// for one such part.
const maxWaitDivisor = 4

// rateWindow is the time constant of the average start rate. No wait is
// predicted before requests have waited for that long: capacity becomes free in
// bursts.
const rateWindow = time.Second

// maxPredictedWait is the longest wait that is predicted.
const maxPredictedWait = time.Minute

// minRetryAfter is the shortest retry-after of a refusal.
const minRetryAfter = 100 * time.Millisecond

// Options limit a Queue. Zero fields take the default.
type Options struct {
	// MaxQueued is the maximum number of waiting requests. Default 1,024.
	MaxQueued int
	// MaxWait is the longest wait. Default 2 s.
	MaxWait time.Duration
}

// Ticket is one waiting request.
type Ticket struct {
	// ID is unique among the queue's tickets.
	ID       uint64
	Priority pb.Priority
	// Deadline is when the caller stops waiting.
	Deadline time.Time

	// refuseAt is the latest time at which the ticket is refused.
	refuseAt time.Time
}

// Refusal reports that a queued ticket was refused.
type Refusal struct {
	ID  uint64
	Err *errkind.Error
}

// numClasses is the number of priority classes.
const numClasses = 3

// Queue holds waiting requests in order of priority, then of arrival.
type Queue struct {
	opts    Options
	waiting [numClasses][]Ticket
	// rate is the exponentially weighted number of starts per second during the
	// time that requests waited, as of updated; busyTime is the total of that
	// time.
	rate     float64
	busyTime time.Duration
	updated  time.Time
}

// New returns an empty queue.
func New(opts Options) *Queue {
	if opts.MaxQueued == 0 {
		opts.MaxQueued = defaultMaxQueued
	}
	if opts.MaxWait == 0 {
		opts.MaxWait = defaultMaxWait
	}
	return &Queue{opts: opts}
}

// classOf returns the class of a priority; class 0 goes first.
func classOf(p pb.Priority) int {
	switch p {
	case pb.Priority_PRIORITY_INTERACTIVE:
		return 0
	case pb.Priority_PRIORITY_BATCH:
		return 2
	default:
		return 1
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	n := 0
	for class := range q.waiting {
		n += len(q.waiting[class])
	}
	return n
}

// Offer adds a request to the queue, or returns the reason why it is refused at
// once.
func (q *Queue) Offer(now time.Time, ticket Ticket) *errkind.Error {
	remaining := ticket.Deadline.Sub(now)
	if remaining <= 0 {
		return errkind.New(errkind.DeadlinePassed, "the deadline passed before a target had free capacity")
	}
	idle := q.Len() == 0
	if idle && now.Sub(q.updated) > rateWindow {
		// The measured rate is outdated. Without a reset, the zero rate of an
		// outage would refuse the requests that follow it.
		q.rate, q.busyTime = 0, 0
	}
	q.advanceRate(now)
	class := classOf(ticket.Priority)
	ticket.refuseAt = now.Add(min(remaining/maxWaitDivisor, q.opts.MaxWait))
	wait := q.expectedWait(now, q.countAhead(class))
	full := q.Len() >= q.opts.MaxQueued && !q.hasLowerClass(class)
	late := !idle && now.Add(wait).After(ticket.refuseAt)
	if full || late {
		return overloadedError(wait)
	}
	q.waiting[class] = append(q.waiting[class], ticket)
	return nil
}

// countAhead counts the waiting requests of the class and of higher classes.
func (q *Queue) countAhead(class int) int {
	n := 0
	for higher := range class + 1 {
		n += len(q.waiting[higher])
	}
	return n
}

// hasLowerClass reports whether a request of a lower class waits.
func (q *Queue) hasLowerClass(class int) bool { return q.Len() > q.countAhead(class) }

// advanceRate applies the decay of the rate up to now.
func (q *Queue) advanceRate(now time.Time) {
	q.rate, q.busyTime = q.rateAt(now)
	q.updated = now
}

// rateAt returns the rate and the busy time as of now. They change only while
// requests wait.
func (q *Queue) rateAt(now time.Time) (rate float64, busyTime time.Duration) {
	if q.Len() == 0 {
		return q.rate, q.busyTime
	}
	elapsed := now.Sub(q.updated)
	return q.rate * decay(elapsed), q.busyTime + elapsed
}

// decay returns the factor by which a rate decays in the elapsed time.
func decay(elapsed time.Duration) float64 { return math.Exp(-elapsed.Seconds() / rateWindow.Seconds()) }

// expectedWait returns the expected wait behind a number of requests, or 0
// while it can't be predicted.
func (q *Queue) expectedWait(now time.Time, ahead int) time.Duration {
	rate, busyTime := q.rateAt(now)
	if busyTime < rateWindow {
		return 0
	}
	rate /= 1 - decay(busyTime)
	seconds := float64(ahead+1) / rate
	if seconds > maxPredictedWait.Seconds() {
		return maxPredictedWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// Peek returns the ID of the request that should be tried next, or false if none
// waits.
func (q *Queue) Peek() (uint64, bool) {
	for class := range q.waiting {
		if len(q.waiting[class]) > 0 {
			return q.waiting[class][0].ID, true
		}
	}
	return 0, false
}

// Start removes a request that got a target and counts it in the start rate.
func (q *Queue) Start(now time.Time, id uint64) {
	q.advanceRate(now)
	q.Cancel(id)
	q.rate += 1 / rateWindow.Seconds()
}

// Cancel removes a request whose caller went away.
func (q *Queue) Cancel(id uint64) {
	for class := range q.waiting {
		q.waiting[class] = slices.DeleteFunc(q.waiting[class], func(t Ticket) bool { return t.ID == id })
	}
}

// Expire removes and returns the requests that are refused: those that reached
// their maximum wait, those that requests of higher priority pushed back too
// far, and the last ones of the lowest class while the queue is over its limit.
func (q *Queue) Expire(now time.Time) []Refusal {
	q.advanceRate(now)
	var refused []Refusal
	position := 0
	for class := range q.waiting {
		kept := q.waiting[class][:0]
		for _, t := range q.waiting[class] {
			wait := q.expectedWait(now, position)
			late := !now.Before(t.refuseAt) || now.Add(wait).After(t.refuseAt) && position > 0
			if late || position >= q.opts.MaxQueued {
				refused = append(refused, Refusal{ID: t.ID, Err: overloadedError(wait)})
				continue
			}
			position++
			kept = append(kept, t)
		}
		q.waiting[class] = kept
	}
	return refused
}

func overloadedError(wait time.Duration) *errkind.Error {
	err := errkind.New(errkind.Overloaded, "the queue is full, or no target is expected to have free capacity in time")
	return err.WithRetryAfter(max(wait, minRetryAfter))
}
