package dispatch

import (
	"context"
	"sync"
	"time"

	"cuminrock.example/fleet/admit"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/route"
)

// recheckInterval is how often waiting requests are checked even if no other
// request ends: a limit may have grown or a target may have been added.
const recheckInterval = 25 * time.Millisecond

// maxWaitWithoutDeadline bounds the wait of requests without a deadline.
const maxWaitWithoutDeadline = time.Minute

// waitQueue holds the requests of one service while all targets are at their
// limit.
type waitQueue struct {
	mu     sync.Mutex
	queue  *admit.Queue
	lastID uint64
	// waiting has the requests in the queue, by ID.
	waiting map[uint64]*waiter
	// recheckScheduled is true while the timer of a recheck runs.
	recheckScheduled bool
}

// waiter is a waiting request.
type waiter struct {
	id uint64
	// wake makes the request try to lease a target.
	wake chan struct{}
	// refused ends the wait with an error.
	refused chan *errkind.Error
}

func newWaitQueue() *waitQueue {
	return &waitQueue{queue: admit.New(admit.Options{}), waiting: make(map[uint64]*waiter)}
}

// queueFor returns the wait queue of a service.
func (d *Dispatcher) queueFor(service string) *waitQueue {
	q, ok := d.queues.Load(service)
	if !ok {
		q, _ = d.queues.LoadOrStore(service, newWaitQueue())
	}
	return q.(*waitQueue)
}

// pick leases a target, after a wait if all are at their limit.
func (d *Dispatcher) pick(ctx context.Context, req *Request) (route.Lease, error) {
	req.Route.Now = time.Now()
	lease, err := d.table.Pick(&req.Route)
	if errkind.KindOf(err) != errkind.Overloaded {
		return lease, err
	}
	queue := d.queueFor(req.Route.Service)
	w, refused := queue.enqueue(req)
	if refused != nil {
		return lease, refused
	}
	for {
		select {
		case refused := <-w.refused:
			return lease, refused
		case <-ctx.Done():
			queue.cancel(w)
			return lease, errkind.Wrap(errkind.DeadlinePassed, ctx.Err(), "the caller gave up before a target had capacity")
		case <-w.wake:
		}
		req.Route.Now = time.Now()
		lease, err = d.table.Pick(&req.Route)
		if err == nil {
			queue.admit(w)
			return lease, nil
		}
		if errkind.KindOf(err) != errkind.Overloaded {
			queue.cancel(w)
			return lease, err
		}
	}
}

// enqueue adds a request to the queue, or returns the error it is refused with.
func (q *waitQueue) enqueue(req *Request) (*waiter, *errkind.Error) {
	now := req.Route.Now
	deadline := req.Call.Deadline
	if deadline.IsZero() {
		deadline = now.Add(maxWaitWithoutDeadline)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	w := &waiter{id: q.lastID, wake: make(chan struct{}, 1), refused: make(chan *errkind.Error, 1)}
	refused := q.queue.Offer(now, admit.Ticket{ID: w.id, Priority: req.Priority, Deadline: deadline})
	if refused != nil {
		return nil, refused
	}
	q.waiting[w.id] = w
	q.expire(now)
	q.scheduleRecheck()
	return w, nil
}

// admit removes a request that leased a target, and wakes the next one.
func (q *waitQueue) admit(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Start(time.Now(), w.id)
	delete(q.waiting, w.id)
	q.wakeNextLocked()
}

// cancel removes a request that stopped waiting.
func (q *waitQueue) cancel(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Cancel(w.id)
	delete(q.waiting, w.id)
}

// wakeNext makes the first request of the queue try to lease a target.
func (q *waitQueue) wakeNext() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeNextLocked()
}

// wakeNextLocked is wakeNext with the lock held.
func (q *waitQueue) wakeNextLocked() {
	id, ok := q.queue.Peek()
	if !ok {
		return
	}
	select {
	case q.waiting[id].wake <- struct{}{}:
	default:
	}
}

// scheduleRecheck starts the timer of a recheck if requests wait and it doesn't
// run yet. The lock is held.
func (q *waitQueue) scheduleRecheck() {
	if q.recheckScheduled || q.queue.Len() == 0 {
		return
	}
	q.recheckScheduled = true
	time.AfterFunc(recheckInterval, q.recheck)
}

// recheck refuses expired requests and wakes the first of the others.
func (q *waitQueue) recheck() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recheckScheduled = false
	q.expire(time.Now())
	q.wakeNextLocked()
	q.scheduleRecheck()
}

// expire refuses the requests that can't be served in time any more. The lock is
// held.
func (q *waitQueue) expire(now time.Time) {
	for _, refusal := range q.queue.Expire(now) {
		q.waiting[refusal.ID].refused <- refusal.Err
		delete(q.waiting, refusal.ID)
	}
}
