// Package admit holds requests for a short time while no target has room, and
// refuses at once those that can't be started in time.
//
// A request may wait for a part of the time that it has left, so that it is
// never held until near its deadline. The expected wait follows from the rate
// at which places became free and the requests ahead. Interactive requests go
// before normal ones and these before batch; where better ones come later, the
// ones behind that can't be met any more are refused early.
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

// waitPart divides the time that a request has left; it may wait for one part.
const waitPart = 4

// rateWindow is the time over which the rate of starts is averaged. Before that
// much was seen no wait is predicted: places become free in bursts.
const rateWindow = time.Second

// longestWait stands for a wait that has no end in sight.
const longestWait = time.Minute

// minRetryAfter is the shortest retry-after told.
const minRetryAfter = 100 * time.Millisecond

// Options bound a Queue. Zero fields take the default.
type Options struct {
	// MaxQueued is the highest number of waiting requests. Default 1,024.
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

	// giveUp is when the ticket is refused at the latest.
	giveUp time.Time
}

// Refusal ends a ticket that waited.
type Refusal struct {
	ID  uint64
	Err *errkind.Error
}

// classes is the number of priorities that are told apart.
const classes = 3

// Queue holds waiting requests in order of priority, then of arrival.
type Queue struct {
	opts    Options
	waiting [classes][]Ticket
	// rate is the exponentially weighted number of starts a second while
	// requests waited, as of updated; busy is how long they did in all.
	rate    float64
	busy    time.Duration
	updated time.Time
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

// classOf returns the class of a priority; 0 goes first.
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

// Offer adds a request, or returns why it is refused at once.
func (q *Queue) Offer(now time.Time, t Ticket) *errkind.Error {
	left := t.Deadline.Sub(now)
	if left <= 0 {
		return errkind.New(errkind.DeadlinePassed, "the deadline passed before a target had room")
	}
	idle := q.Len() == 0
	if idle && now.Sub(q.updated) > rateWindow {
		// What was learnt is old; an outage must not refuse what comes after.
		q.rate, q.busy = 0, 0
	}
	q.advance(now)
	class := classOf(t.Priority)
	t.giveUp = now.Add(min(left/waitPart, q.opts.MaxWait))
	wait := q.expected(now, q.ahead(class))
	full := q.Len() >= q.opts.MaxQueued && !q.hasWorse(class)
	late := !idle && now.Add(wait).After(t.giveUp)
	if full || late {
		return overloaded(wait)
	}
	q.waiting[class] = append(q.waiting[class], t)
	return nil
}

// ahead counts the waiting requests of the class and the better ones.
func (q *Queue) ahead(class int) int {
	n := 0
	for better := range class + 1 {
		n += len(q.waiting[better])
	}
	return n
}

// hasWorse tells whether a request of a worse class waits.
func (q *Queue) hasWorse(class int) bool { return q.Len() > q.ahead(class) }

// advance lets the rate decay over the time that requests waited.
func (q *Queue) advance(now time.Time) {
	q.rate, q.busy = q.ratesAt(now)
	q.updated = now
}

// ratesAt returns the rate and the busy time as of now.
func (q *Queue) ratesAt(now time.Time) (rate float64, busy time.Duration) {
	if q.Len() == 0 {
		return q.rate, q.busy
	}
	passed := now.Sub(q.updated)
	return q.rate * decay(passed), q.busy + passed
}

// decay returns what a span of time leaves of a rate.
func decay(span time.Duration) float64 { return math.Exp(-span.Seconds() / rateWindow.Seconds()) }

// expected returns the wait behind a number of requests, 0 while it can't be
// told.
func (q *Queue) expected(now time.Time, ahead int) time.Duration {
	rate, busy := q.ratesAt(now)
	if busy < rateWindow {
		return 0
	}
	rate /= 1 - decay(busy)
	seconds := float64(ahead+1) / rate
	if seconds > longestWait.Seconds() {
		return longestWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// Peek returns the request that should try next, and false when none waits.
func (q *Queue) Peek() (uint64, bool) {
	for class := range q.waiting {
		if len(q.waiting[class]) > 0 {
			return q.waiting[class][0].ID, true
		}
	}
	return 0, false
}

// Start removes a request that found room.
func (q *Queue) Start(now time.Time, id uint64) {
	q.advance(now)
	q.Cancel(id)
	q.rate += 1 / rateWindow.Seconds()
}

// Cancel removes a request whose caller went away.
func (q *Queue) Cancel(id uint64) {
	for class := range q.waiting {
		q.waiting[class] = slices.DeleteFunc(q.waiting[class], func(t Ticket) bool { return t.ID == id })
	}
}

// Expire removes and returns the requests that can't be met any more: those
// that waited as long as they may, those that better ones pushed back too far,
// and the last of the worst class while there are too many.
func (q *Queue) Expire(now time.Time) []Refusal {
	q.advance(now)
	var refused []Refusal
	position := 0
	for class := range q.waiting {
		kept := q.waiting[class][:0]
		for _, t := range q.waiting[class] {
			wait := q.expected(now, position)
			late := !now.Before(t.giveUp) || now.Add(wait).After(t.giveUp) && position > 0
			if late || position >= q.opts.MaxQueued {
				refused = append(refused, Refusal{ID: t.ID, Err: overloaded(wait)})
				continue
			}
			position++
			kept = append(kept, t)
		}
		q.waiting[class] = kept
	}
	return refused
}

func overloaded(wait time.Duration) *errkind.Error {
	err := errkind.New(errkind.Overloaded, "no target has room in time")
	return err.After(max(wait, minRetryAfter))
}
