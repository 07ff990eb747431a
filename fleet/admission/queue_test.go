package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testNow = time.Unix(1000, 0)

// busy is an estimate of targets whose slots are all taken.
func busy(slotFree time.Duration) Estimate {
	return Estimate{Known: true, At: testNow, SlotFree: slotFree, FirstEvent: slotFree + 50*time.Millisecond}
}

func request(id uint64, rank int) *Request {
	return &Request{ID: id, Workspace: "w", Rank: rank, Cost: 100, Bytes: 10, Arrived: testNow, Deadline: testNow.Add(10 * time.Second), Goal: 800 * time.Millisecond}
}

// newBusyQueue returns a queue that has just started a request, so that it makes no trial.
func newBusyQueue(opts Options) *Queue {
	q := NewQueue(opts)
	q.Offer(testNow, request(1000, 9), Estimate{})
	return q
}

// Guards against waits that outlast their bound, an eighth of the latency goal, when
// slots stay taken, and against refusing a request then that can still be served in time.
func TestWaitIsBounded(t *testing.T) {
	is := is.New(t)
	q := newBusyQueue(Options{})
	is.Equal(q.Offer(testNow, request(1, 0), busy(200*time.Millisecond))[0].Verdict, Wait)
	next, waiting := q.NextStep()
	is.True(waiting)
	is.Equal(next, testNow.Add(100*time.Millisecond))
	stillBusy := func(*Request) Estimate { return busy(200 * time.Millisecond) }
	is.Equal(len(q.Step(next.Add(-time.Millisecond), stillBusy)), 0)
	ended := q.Step(next, stillBusy)
	is.Equal(len(ended), 1)
	is.Equal(ended[0].Verdict, Start)
	is.Equal(ended[0].Reason, ReasonWaited)
}

// Guards against requests that start in the order of arrival: priority goes first, then
// what is due first.
func TestOrderOfStarts(t *testing.T) {
	is := is.New(t)
	q := newBusyQueue(Options{})
	late := request(2, 1)
	late.Goal = 2 * time.Second
	for _, r := range []*Request{request(1, 2), late, request(3, 1), request(4, 0)} {
		is.Equal(q.Offer(testNow, r, busy(50*time.Millisecond))[0].Verdict, Wait)
	}
	free := func(*Request) Estimate { return busy(0) }
	for _, id := range []uint64{4, 3, 2, 1} {
		started := q.Step(testNow, free)
		is.Equal(len(started), 1) // one for each free slot until it is placed
		is.Equal(started[0].Request.ID, id)
		q.Placed()
	}
}

// Guards against a busy workspace whose requests go first since they are more and came
// earlier, and against waits that its requests may have as long as others.
func TestWorkspaceOverItsShareGoesLast(t *testing.T) {
	is := is.New(t)
	q := newBusyQueue(Options{})
	for id := range uint64(10) {
		r := request(100+id, 1)
		r.Workspace = "hot"
		q.Offer(testNow, r, Estimate{})
	}
	hot, other := request(1, 1), request(2, 1)
	hot.Workspace, other.Arrived = "hot", testNow.Add(10*time.Millisecond)
	q.Offer(testNow, hot, busy(50*time.Millisecond))
	q.Offer(testNow, other, busy(50*time.Millisecond))
	is.Equal(q.first().Request.ID, uint64(2))
	is.Equal(q.longestSlotWait(testNow, hot, 0), 400*time.Millisecond)
	is.Equal(q.longestSlotWait(testNow, request(3, 1), 0), 800*time.Millisecond)
}

// Guards against long prompts that are refused whenever no slot is free, because reading
// them takes longer than their latency goal.
func TestLongPromptMayWaitForASlot(t *testing.T) {
	is := is.New(t)
	q := newBusyQueue(Options{})
	e := busy(150 * time.Millisecond)
	e.FirstEvent = 3 * time.Second
	is.Equal(q.Offer(testNow, request(1, 1), e)[0].Verdict, Wait)
}

// Guards against less urgent requests, with a later goal, that fill the targets' queues and
// so delay urgent ones.
func TestUrgentGoalsLimitTheQueuesAtTargets(t *testing.T) {
	is := is.New(t)
	q := newBusyQueue(Options{})
	patient := func(id uint64) *Request {
		r := request(id, 2)
		r.Goal = 5 * time.Second
		return r
	}
	is.Equal(q.Offer(testNow, patient(1), busy(time.Second))[0].Verdict, Wait)
	q.Offer(testNow, request(2, 0), busy(time.Second))
	is.Equal(q.Offer(testNow, patient(3), busy(time.Second))[0].Verdict, RefuseSlots)
}

// Guards against a queue that grows beyond its bounds: the last in order loses its place,
// and is sent if that is still in time.
func TestFullQueueDisplacesTheLeastUrgent(t *testing.T) {
	for _, opts := range []Options{{MaxWaiting: 2}, {MaxWaitingBytes: 20}} {
		is := is.New(t)
		q := newBusyQueue(opts)
		q.Offer(testNow, request(1, 2), busy(50*time.Millisecond))
		q.Offer(testNow, request(2, 1), busy(50*time.Millisecond))
		decisions := q.Offer(testNow, request(3, 0), busy(50*time.Millisecond))
		is.Equal(len(decisions), 2)
		is.Equal(decisions[0].Verdict, Wait)
		is.Equal(decisions[1].Request.ID, uint64(1))
		is.Equal(decisions[1].Reason, ReasonQueueFull)
		is.Equal(q.Len(), 2)
	}
}

// Guards against requests of callers that left and still take a place or a slot, and
// against waiting requests that a planned stop interrupts.
func TestLeavingAndStopping(t *testing.T) {
	is := is.New(t)
	q := newBusyQueue(Options{})
	q.Offer(testNow, request(1, 0), busy(50*time.Millisecond))
	q.Offer(testNow, request(2, 0), busy(50*time.Millisecond))
	is.True(q.Leave(1))
	is.True(!q.Leave(1))
	stopped := q.Stop(testNow)
	is.Equal(len(stopped), 1)
	is.Equal(stopped[0].Verdict, Start)
	is.Equal(q.Len(), 0)
}

// Guards against a refusal without its cause: a deadline that passes before the first
// event, or a slot that comes too late.
func TestRefusalsNameTheirCause(t *testing.T) {
	is := is.New(t)
	q := newBusyQueue(Options{})
	is.Equal(q.Offer(testNow, request(1, 0), busy(11*time.Second))[0].Verdict, RefuseDeadline)
	d := q.Offer(testNow, request(2, 0), busy(2*time.Second))[0]
	is.Equal(d.Verdict, RefuseSlots)
	is.Equal(d.SlotIn, 2*time.Second)
}

// Guards against a refusal while a slot is free, whatever is expected of the answer.
func TestFreeSlotIsNeverRefused(t *testing.T) {
	is := is.New(t)
	q := newBusyQueue(Options{})
	slow := busy(0)
	slow.FirstEvent = time.Minute
	is.Equal(q.Offer(testNow, request(1, 0), slow)[0].Verdict, Start)
	is.Equal(q.Offer(testNow, request(2, 0), slow)[0].Verdict, Wait) // until the first is placed
	q.Placed()
	is.Equal(q.Step(testNow, func(*Request) Estimate { return slow })[0].Verdict, Start)
}

// Guards against requests that are sent to targets with free slots where many long prompts
// have to be read first.
func TestPromptsToBeReadFirstCountAsWait(t *testing.T) {
	is := is.New(t)
	q := newBusyQueue(Options{})
	reading := func(queued time.Duration) Estimate {
		return Estimate{Known: true, At: testNow, FirstEvent: queued + 50*time.Millisecond, Queued: queued}
	}
	is.Equal(q.Offer(testNow, request(1, 0), reading(300*time.Millisecond))[0].Reason, ReasonFree)
	q.Placed()
	is.Equal(q.Offer(testNow, request(2, 0), reading(500*time.Millisecond))[0].Verdict, Wait)
	is.Equal(q.Offer(testNow, request(3, 0), reading(2*time.Second))[0].Verdict, RefuseSlots)
}

// Guards against a kind of requests that gets nothing while others are started, and against
// its turns where more urgent requests are refused more often.
func TestTurnsOfLessUrgentRequests(t *testing.T) {
	is := is.New(t)
	var turns turns
	turns.refused(2, testNow)
	for range turnAfter {
		is.True(!turns.due(request(1, 2), testNow))
		turns.started(request(2, 0), testNow, nil)
	}
	is.True(turns.due(request(1, 2), testNow))
	for range 5 {
		turns.refused(0, testNow)
	}
	is.True(!turns.due(request(1, 2), testNow))
	is.True(turns.due(request(1, 2), testNow.Add(2*recentGoal)))
	turns.started(request(1, 2), testNow, nil)
	is.True(!turns.due(request(1, 2), testNow.Add(2*recentGoal)))
}

// Guards against an estimate that refuses everything for good: it is put to the test once
// in a second, and again until it is corrected.
func TestRefusingEverythingIsTried(t *testing.T) {
	is := is.New(t)
	q := newBusyQueue(Options{})
	started := 0
	for i := range 100 {
		now := testNow.Add(time.Duration(i) * 100 * time.Millisecond)
		r, e := request(uint64(i+1), 0), busy(20*time.Second)
		r.Arrived, r.Deadline, e.At = now, now.Add(10*time.Second), now
		if q.Offer(now, r, e)[0].Verdict == Start {
			started++
		}
	}
	is.Equal(started, 9)
}

// Guards against a Retry-After beyond a third of what the caller has left, and against
// less urgent callers that come back before more urgent ones.
func TestRetryAfterIsOrderedAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "wait ms")) * time.Millisecond
		remaining := time.Duration(rapid.IntRange(-100, 60_000).Draw(t, "remaining ms")) * time.Millisecond
		after := func(rank int, label string) time.Duration {
			return RetryAfter(wait, rank, remaining, rapid.Float64Range(0, 0.999).Draw(t, label))
		}
		var before time.Duration
		for rank := range 4 {
			d := after(rank, "random")
			if d < before || d > max(remaining, 0)/3 || remaining >= 6*max(wait, minRetryAfter) && d < wait {
				t.Fatalf("rank %d is told %v after %v, with a wait of %v and %v left", rank, d, before, wait, remaining)
			}
			before = d
		}
	})
}

// Guards against callers that come back at a fixed interval during a long shortage of
// tokens, and against a small request that ends the shortage of a large one.
func TestShortageIsExpectedToLastAsLongAgain(t *testing.T) {
	is := is.New(t)
	s := NewShortages()
	is.Equal(s.Refused("w", 12_000, testNow), time.Duration(0))
	s.Granted("w", 2_400)
	is.Equal(s.Refused("w", 12_000, testNow.Add(3*time.Second)), 3*time.Second)
	s.Granted("w", 12_000)
	is.Equal(s.Refused("w", 12_000, testNow.Add(4*time.Second)), time.Duration(0))
	is.Equal(s.Refused("w", 12_000, testNow.Add(30*time.Second)), time.Duration(0))
}

// BenchmarkFullQueue measures one offer and one step while 256 requests of 50 workspaces
// wait.
func BenchmarkFullQueue(b *testing.B) {
	q := newBusyQueue(Options{})
	stillBusy := func(*Request) Estimate { return busy(50 * time.Millisecond) }
	for i := range b.N {
		r := request(uint64(i+1), i%3)
		r.Workspace = string(rune('a' + i%50))
		q.Offer(testNow, r, busy(50*time.Millisecond))
		q.Step(testNow, stillBusy)
	}
}
