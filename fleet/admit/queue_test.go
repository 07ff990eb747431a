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

// held is a ticket that the queue took.
type held struct {
	Ticket
	arrived time.Time
}

// Every ticket ends once; none is held for more than a quarter of its time or
// started after a worse one while it waited; refusals advise when to come back.
func TestQueueKeepsItsPromises(t *testing.T) {
	const tick = 10 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		q := New(Options{MaxQueued: 8})
		now := testNow
		waiting := make(map[uint64]held)
		next := uint64(0)
		expire := func() {
			for _, r := range q.Expire(now) {
				if _, ok := waiting[r.ID]; !ok || r.Err.RetryAfter <= 0 {
					t.Fatalf("ticket %d ended twice or without advice", r.ID)
				}
				delete(waiting, r.ID)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(waiting) != q.Len() {
					t.Fatalf("%d tickets wait, the queue holds %d", len(waiting), q.Len())
				}
			},
			"offer": func(t *rapid.T) {
				next++
				left := time.Duration(rapid.IntRange(-10, 5000).Draw(t, "left ms")) * time.Millisecond
				ticket := Ticket{ID: next, Priority: rapid.SampledFrom(priorities).Draw(t, "priority"), Deadline: now.Add(left)}
				err := q.Offer(now, ticket)
				if err == nil {
					waiting[next] = held{ticket, now}
				} else if err.Kind == errkind.Overloaded && err.RetryAfter <= 0 {
					t.Fatalf("refused without advice")
				}
				expire()
				if q.Len() > 8 {
					t.Fatalf("%d wait", q.Len())
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
						t.Fatalf("a worse ticket started first")
					}
				}
			},
			"tick": func(t *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(t, "ticks") {
					now = now.Add(tick)
					expire()
				}
				for _, w := range waiting {
					if now.Sub(w.arrived) > w.Deadline.Sub(w.arrived)/waitPart {
						t.Fatalf("held for %v", now.Sub(w.arrived))
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

// A full queue takes a better request in place of the newest of the worst.
func TestFullQueueKeepsTheBetter(t *testing.T) {
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

// After an outage in which nothing started, requests wait again.
func TestQueueForgetsAnOutage(t *testing.T) {
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

// overload serves two classes at a fixed rate, in virtual time, and counts what
// was started within its allowance. A nil queue serves first come, first served
// until the deadline.
type overload struct {
	started  [classes]int
	offered  [classes]int
	longest  time.Duration
	refusals int
}

func runOverload(q *Queue, seed uint64) overload {
	const (
		serveEvery  = 20 * time.Millisecond
		arriveEvery = 10 * time.Millisecond
		deadline    = 10 * time.Second
		length      = 60 * time.Second
	)
	draw := rand.New(rand.NewPCG(seed, 4))
	var o overload
	var fifo []held
	tickets := make(map[uint64]held)
	for at := time.Duration(0); at < length; at += arriveEvery {
		now := testNow.Add(at)
		class := 2 * draw.IntN(2)
		ticket := held{Ticket{ID: uint64(at), Priority: priorities[class], Deadline: now.Add(deadline)}, now}
		o.offered[class]++
		switch {
		case q == nil:
			fifo = append(fifo, ticket)
		case q.Offer(now, ticket.Ticket) == nil:
			tickets[ticket.ID] = ticket
		default:
			o.refusals++
		}
		if q != nil {
			for _, r := range q.Expire(now) {
				o.longest = max(o.longest, now.Sub(tickets[r.ID].arrived))
				o.refusals++
			}
		}
		for len(fifo) > 0 && !now.Before(fifo[0].Deadline) {
			o.longest = max(o.longest, now.Sub(fifo[0].arrived))
			o.refusals++
			fifo = fifo[1:]
		}
		if at%serveEvery != 0 {
			continue
		}
		if q == nil {
			o.started[classOf(fifo[0].Priority)]++
			fifo = fifo[1:]
			continue
		}
		id, ok := q.Peek()
		if ok {
			q.Start(now, id)
			o.started[classOf(tickets[id].Priority)]++
		}
	}
	return o
}

// Under 2x overload interactive requests are started before batch ones, and
// what can't be met is refused long before its deadline.
func TestOverloadSparesInteractive(t *testing.T) {
	is := is.New(t)
	plain := runOverload(nil, 1)
	ours := runOverload(New(Options{}), 1)
	for _, run := range []struct {
		name string
		o    overload
	}{{"first come, first served", plain}, {"admit", ours}} {
		t.Logf("%-24s interactive %d of %d, batch %d of %d, longest wait of a refused one %v", run.name,
			run.o.started[0], run.o.offered[0], run.o.started[2], run.o.offered[2], run.o.longest)
	}
	is.True(ours.started[0] > plain.started[0])
	is.True(ours.longest <= 10*time.Second/waitPart)
}
