package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

var testNow = time.Unix(1000, 0)

var priorities = []pb.Priority{
	pb.Priority_PRIORITY_INTERACTIVE,
	pb.Priority_PRIORITY_NORMAL,
	pb.Priority_PRIORITY_BATCH,
}

// queuedTicket is a ticket that the queue accepted.
type queuedTicket struct {
	Ticket
	arrived time.Time
}

// TestQueueInvariants checks that each ticket ends exactly once, that none
// waits for more than a quarter of the time to its deadline, that no ticket
// starts before a waiting one of a higher class, and that overload refusals
// carry a retry-after.
func TestQueueInvariants(t *testing.T) {
	const tick = 10 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		q := New(Options{MaxQueued: 8})
		now := testNow
		waiting := make(map[uint64]queuedTicket)
		lastID := uint64(0)
		expire := func() {
			for _, r := range q.Expire(now) {
				if _, ok := waiting[r.ID]; !ok || r.Err.RetryAfter <= 0 {
					t.Fatalf("ticket %d ended twice or was refused without a retry-after", r.ID)
				}
				delete(waiting, r.ID)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(waiting) != q.Len() {
					t.Fatalf("%d tickets are waiting, but the queue's length is %d", len(waiting), q.Len())
				}
			},
			"offer": func(t *rapid.T) {
				lastID++
				remaining := time.Duration(rapid.IntRange(-10, 5000).Draw(t, "left ms")) * time.Millisecond
				ticket := Ticket{ID: lastID, Priority: rapid.SampledFrom(priorities).Draw(t, "priority"), Deadline: now.Add(remaining)}
				err := q.Offer(now, ticket)
				if err == nil {
					waiting[lastID] = queuedTicket{ticket, now}
				} else if err.Kind == errkind.Overloaded && err.RetryAfter <= 0 {
					t.Fatalf("refused without a retry-after")
				}
				expire()
				if q.Len() > 8 {
					t.Fatalf("%d tickets are queued, above the limit of 8", q.Len())
				}
			},
			"start": func(t *rapid.T) {
				id, ok := q.Peek()
				if !ok {
					return
				}
				q.Start(now, id)
				started := waiting[id]
				delete(waiting, id)
				for _, w := range waiting {
					if classOf(w.Priority) < classOf(started.Priority) {
						t.Fatalf("a ticket of a lower class started first")
					}
				}
			},
			"tick": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "ticks") {
					now = now.Add(tick)
					expire()
				}
				for _, w := range waiting {
					if now.Sub(w.arrived) > w.Deadline.Sub(w.arrived)/maxWaitDivisor {
						t.Fatalf("a ticket waited for %v, longer than its maximum wait", now.Sub(w.arrived))
					}
				}
			},
			"cancel": func(t *rapid.T) {
				for id := range waiting {
					q.Cancel(id)
					delete(waiting, id)
					return
				}
			},
		})
	})
}

// A full queue accepts a request of a higher class and refuses the newest
// request of the lowest class instead.
func TestFullQueueReplacesNewestOfLowestClass(t *testing.T) {
	is := is.New(t)
	q := New(Options{MaxQueued: 2})
	deadline := testNow.Add(time.Minute)
	is.True(q.Offer(testNow, Ticket{ID: 1, Priority: pb.Priority_PRIORITY_BATCH, Deadline: deadline}) == nil)
	is.True(q.Offer(testNow, Ticket{ID: 2, Priority: pb.Priority_PRIORITY_BATCH, Deadline: deadline}) == nil)
	is.True(q.Offer(testNow, Ticket{ID: 3, Priority: pb.Priority_PRIORITY_BATCH, Deadline: deadline}) != nil)
	is.True(q.Offer(testNow, Ticket{ID: 4, Priority: pb.Priority_PRIORITY_INTERACTIVE, Deadline: deadline}) == nil)
	refused := q.Expire(testNow)
	is.Equal(len(refused), 1)
	is.Equal(refused[0].ID, uint64(2))
	is.True(refused[0].Err.RetryAfter > 0)
}

// After an outage without any start the measured rate is zero, which would
// refuse all later requests. The queue must accept requests again.
func TestQueueForgetsStartRateOfAnOutage(t *testing.T) {
	is := is.New(t)
	q := New(Options{})
	now := testNow
	offer := func(id uint64) bool {
		return q.Offer(now, Ticket{ID: id, Deadline: now.Add(time.Minute)}) == nil
	}
	for id := range uint64(10) {
		is.True(offer(id))
	}
	now = now.Add(10 * time.Second)
	is.Equal(len(q.Expire(now)), 10)
	is.True(offer(10))
	is.True(!offer(11))
	q.Cancel(10)
	now = now.Add(2 * rateWindow)
	is.True(offer(12))
	is.True(offer(13))
}

// overloadResult counts what runOverload started, offered and refused.
// longestWait is the longest wait of a refused request.
type overloadResult struct {
	started     [numClasses]int
	offered     [numClasses]int
	longestWait time.Duration
	refusals    int
}

// runOverload offers requests of two classes to a queue at twice the rate at
// which they are started, in virtual time. A nil queue stands for first come,
// first served until the deadline.
func runOverload(q *Queue, seed uint64) overloadResult {
	const (
		serveInterval   = 20 * time.Millisecond
		arrivalInterval = 10 * time.Millisecond
		deadline        = 10 * time.Second
		length          = 60 * time.Second
	)
	rng := rand.New(rand.NewPCG(seed, 4))
	var result overloadResult
	var fifo []queuedTicket
	tickets := make(map[uint64]queuedTicket)
	for at := time.Duration(0); at < length; at += arrivalInterval {
		now := testNow.Add(at)
		class := 2 * rng.IntN(2)
		ticket := queuedTicket{Ticket{ID: uint64(at), Priority: priorities[class], Deadline: now.Add(deadline)}, now}
		result.offered[class]++
		switch {
		case q == nil:
			fifo = append(fifo, ticket)
		case q.Offer(now, ticket.Ticket) == nil:
			tickets[ticket.ID] = ticket
		default:
			result.refusals++
		}
		if q != nil {
			for _, r := range q.Expire(now) {
				result.longestWait = max(result.longestWait, now.Sub(tickets[r.ID].arrived))
				result.refusals++
			}
		}
		for len(fifo) > 0 && !now.Before(fifo[0].Deadline) {
			result.longestWait = max(result.longestWait, now.Sub(fifo[0].arrived))
			result.refusals++
			fifo = fifo[1:]
		}
		if at%serveInterval != 0 {
			continue
		}
		if q == nil {
			result.started[classOf(fifo[0].Priority)]++
			fifo = fifo[1:]
			continue
		}
		id, ok := q.Peek()
		if ok {
			q.Start(now, id)
			result.started[classOf(tickets[id].Priority)]++
		}
	}
	return result
}

// Under 2x overload interactive requests are started before batch requests, and
// a request that can't be started is refused long before its deadline.
func TestOverloadFavoursInteractiveRequests(t *testing.T) {
	is := is.New(t)
	baseline := runOverload(nil, 1)
	queued := runOverload(New(Options{}), 1)
	for _, run := range []struct {
		name string
		o    overloadResult
	}{{"first come, first served", baseline}, {"admit", queued}} {
		t.Logf("%-24s interactive %d of %d, batch %d of %d, longest wait of a refused request %v", run.name,
			run.o.started[0], run.o.offered[0], run.o.started[2], run.o.offered[2], run.o.longestWait)
	}
	is.True(queued.started[0] > baseline.started[0])
	is.True(queued.longestWait <= 10*time.Second/maxWaitDivisor)
}
