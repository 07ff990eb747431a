package dispatch

import (
	"context"
	"sync"
	"time"

	"cuminrock.example/fleet/admit"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/route"
)

// wakeInterval is how often waiting requests are looked at besides the ends of
// other requests: a limit may have grown or a target may have come.
const wakeInterval = 25 * time.Millisecond

// defaultDeadline bounds the wait of requests without a deadline.
const defaultDeadline = time.Minute

// waitRoom holds the requests of one service while no target has room.
type waitRoom struct {
	mu    sync.Mutex
	queue *admit.Queue
	next  uint64
	// waiting has the requests of the queue.
	waiting map[uint64]*waiter
	// ticking says that a tick is due.
	ticking bool
}

// waiter is one waiting request.
type waiter struct {
	id uint64
	// try asks the request to look for room.
	try chan struct{}
	// refused ends its wait.
	refused chan *errkind.Error
}

func newWaitRoom() *waitRoom {
	return &waitRoom{queue: admit.New(admit.Options{}), waiting: make(map[uint64]*waiter)}
}

// room returns the wait room of a service.
func (d *Dispatcher) room(service string) *waitRoom {
	r, ok := d.rooms.Load(service)
	if !ok {
		r, _ = d.rooms.LoadOrStore(service, newWaitRoom())
	}
	return r.(*waitRoom)
}

// pick returns a place at a target, after a wait if all are full.
func (d *Dispatcher) pick(ctx context.Context, plan *Request) (route.Lease, error) {
	plan.Route.Now = time.Now()
	lease, err := d.table.Pick(&plan.Route)
	if errkind.KindOf(err) != errkind.Overloaded {
		return lease, err
	}
	room := d.room(plan.Route.Service)
	w, refused := room.enter(plan)
	if refused != nil {
		return lease, refused
	}
	for {
		select {
		case refused := <-w.refused:
			return lease, refused
		case <-ctx.Done():
			room.leave(w)
			return lease, errkind.Wrap(errkind.DeadlinePassed, ctx.Err(), "the caller left before a target had room")
		case <-w.try:
		}
		plan.Route.Now = time.Now()
		lease, err = d.table.Pick(&plan.Route)
		if err == nil {
			room.start(w)
			return lease, nil
		}
		if errkind.KindOf(err) != errkind.Overloaded {
			room.leave(w)
			return lease, err
		}
	}
}

// enter puts a request into the queue, or returns why it is refused at once.
func (r *waitRoom) enter(plan *Request) (*waiter, *errkind.Error) {
	now := plan.Route.Now
	deadline := plan.Call.Deadline
	if deadline.IsZero() {
		deadline = now.Add(defaultDeadline)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	w := &waiter{id: r.next, try: make(chan struct{}, 1), refused: make(chan *errkind.Error, 1)}
	refused := r.queue.Offer(now, admit.Ticket{ID: w.id, Priority: plan.Priority, Deadline: deadline})
	if refused != nil {
		return nil, refused
	}
	r.waiting[w.id] = w
	r.expire(now)
	r.schedule()
	return w, nil
}

// start removes a request that found room, and lets the next one look too.
func (r *waitRoom) start(w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Start(time.Now(), w.id)
	delete(r.waiting, w.id)
	r.wakeBest()
}

// leave removes a request that waits no more.
func (r *waitRoom) leave(w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.Cancel(w.id)
	delete(r.waiting, w.id)
}

// wake lets the best waiting request look for room.
func (r *waitRoom) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wakeBest()
}

// wakeBest is wake with the lock held.
func (r *waitRoom) wakeBest() {
	id, ok := r.queue.Peek()
	if !ok {
		return
	}
	select {
	case r.waiting[id].try <- struct{}{}:
	default:
	}
}

// schedule makes a tick due while requests wait. The lock is held.
func (r *waitRoom) schedule() {
	if r.ticking || r.queue.Len() == 0 {
		return
	}
	r.ticking = true
	time.AfterFunc(wakeInterval, r.tick)
}

// tick refuses what can't be met any more and lets the best request look.
func (r *waitRoom) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ticking = false
	r.expire(time.Now())
	r.wakeBest()
	r.schedule()
}

// expire refuses what can't be met any more. The lock is held.
func (r *waitRoom) expire(now time.Time) {
	for _, refusal := range r.queue.Expire(now) {
		r.waiting[refusal.ID].refused <- refusal.Err
		delete(r.waiting, refusal.ID)
	}
}
