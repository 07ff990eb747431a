package callerbuffer

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

// Guards against a slow caller that uses up the memory of a gateway of 112 MB, and against
// limits under which a ready answer of the largest size wouldn't fit.
func TestLimitsOfASmallGateway(t *testing.T) {
	is := is.New(t)
	const memory, largestAnswer, largestEvent = 112 << 20, 8 << 20, 1 << 20
	l := LimitsFor(memory)
	is.True(l.Total >= largestAnswer)
	is.True(l.Total <= memory/4)
	is.True(l.PerStream >= largestEvent)
	is.Equal(LimitsFor(64<<30).PerStream, int64(maxPerStream))
}

func TestStreamIsBoundedOnItsOwnACompleteAnswerByTheTotal(t *testing.T) {
	is := is.New(t)
	b := New[string](Limits{PerStream: 100, Total: 1000, MaxIdle: time.Second})
	is.Equal(len(b.Hold("stream", 100, Stream, start)), 0)
	is.Equal(b.Hold("stream", 1, Stream, start.Add(time.Millisecond)),
		[]Disconnect[string]{{Caller: "stream", Cause: StreamFull, Held: 100, Total: 100, Asked: 1, Idle: time.Millisecond}})
	is.Equal(len(b.Hold("complete", 1000, Complete, start)), 0)
}

// Load: the buffers are full, one caller reads nothing, one takes bytes steadily and holds
// more, a third begins to read slowly. The one that reads nothing is disconnected, and the
// log line has the inputs.
func TestTotalIsKeptByDisconnectingTheCallerThatTakesNothing(t *testing.T) {
	is := is.New(t)
	b := New[string](Limits{PerStream: 600, Total: 1000, MaxIdle: time.Minute})
	b.Hold("dead", 400, Stream, start)
	b.Hold("steady", 600, Stream, start)
	now := start.Add(3 * time.Second)
	b.Taken("steady", 50, now)
	is.Equal(b.Hold("new", 100, Stream, now),
		[]Disconnect[string]{{Caller: "dead", Cause: TotalFull, Held: 400, Total: 1050, Asked: 100, Idle: 3 * time.Second}})
	bytes, callers := b.Held()
	is.Equal(bytes, int64(650))
	is.Equal(callers, 2)
}

func TestIdleCallerIsDisconnectedAndOneThatTakesBytesIsNot(t *testing.T) {
	is := is.New(t)
	b := New[string](Limits{PerStream: 100, Total: 1000, MaxIdle: time.Second})
	b.Hold("dead", 10, Stream, start)
	b.Hold("steady", 10, Stream, start)
	b.Taken("steady", 0, start.Add(900*time.Millisecond)) // acknowledged, nothing released
	now := start.Add(time.Second)
	_, idle := b.CheckIdle("steady", now)
	is.True(!idle)
	d, idle := b.CheckIdle("dead", now)
	is.True(idle)
	is.Equal(d, Disconnect[string]{Caller: "dead", Cause: Idle, Held: 10, Total: 20, Idle: time.Second})
	b.Taken("dead", 10, now) // of a write that ends late
	bytes, _ := b.Held()
	is.Equal(bytes, int64(10))
}

// Guards against callers that keep up and are disconnected because several long answers
// are on their way at once. Load: ready answers that together exceed the total, at one
// moment. They are let through up to the overshoot, and count as slow a second later.
func TestAnswersThatBeganJustNowAreNotDisconnectedForTheTotal(t *testing.T) {
	is := is.New(t)
	b := New[int](Limits{PerStream: 100, Total: 1000, MaxIdle: time.Minute})
	for i := range 5 {
		is.Equal(len(b.Hold(i, 300, Complete, start)), 0) // 1,500 in all
	}
	is.Equal(len(b.Hold(5, 300, Complete, start)), 1)
	is.Equal(len(b.Hold(6, 1, Stream, start.Add(slowAfter))), 2)
	bytes, callers := b.Held()
	is.Equal(bytes, int64(901))
	is.Equal(callers, 4)
}

// Guards against bytes that stay accounted for, or are released twice: whatever callers
// do, the total is the sum of what they hold and stays within the limit.
func TestTotalIsTheSumAndWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{PerStream: 50, Total: 120, MaxIdle: 20 * time.Millisecond}
		b := New[int](limits)
		held := map[int]int64{}
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "ms")) * time.Millisecond)
			caller, bytes := rapid.IntRange(0, 5).Draw(t, "caller"), int64(rapid.IntRange(0, 60).Draw(t, "bytes"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				held[caller] += bytes
				for _, d := range b.Hold(caller, bytes, Kind(rapid.Bool().Draw(t, "kind")), now) {
					delete(held, d.Caller)
				}
			case 1:
				released := min(bytes, held[caller])
				b.Taken(caller, released, now)
				held[caller] -= released
			case 2:
				if _, idle := b.CheckIdle(caller, now); idle {
					delete(held, caller)
				}
			case 3:
				b.Remove(caller)
				delete(held, caller)
			}
			var sum int64
			for _, n := range held {
				sum += n
			}
			if total, _ := b.Held(); total != sum || total > limits.Total*3/2 {
				t.Fatalf("held %d, the sum is %d", total, sum)
			}
		}
	})
}
