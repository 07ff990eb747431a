package target

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

const (
	testTimeout = 40 * time.Millisecond
	// longTimeout is for tests that expect a certain kind of error: with a short
	// timeout, other calls would time out on a busy machine.
	longTimeout = 500 * time.Millisecond
	// testSettle lets a late write of a call reach the target.
	testSettle = 5 * time.Millisecond
)

// The paths of a fakeTarget; "gone" is an address without a listener.
var failurePoints = []string{
	"ok", "gone", "crossed", "crossed-body", "no-echo", "refuse", "refuse-crossed",
	"500", "503", "429", "stall", "stall-body", "cut", "cut-body",
	"stream-whole", "stream-cut", "stream-stall", "stream-crossed",
}

// The methods of callWith.
var callMethods = []string{"do", "action", "stream"}

func callWith(c *Client, ctx context.Context, method string, call Call) error {
	switch method {
	case "do":
		_, err := c.Do(ctx, call)
		return err
	case "action":
		_, err := c.Action(ctx, call)
		return err
	}
	s, err := c.Stream(ctx, call)
	if err != nil {
		return err
	}
	defer s.Close()
	for {
		e, err := s.Next(ctx)
		if err != nil || e.End != nil {
			return err
		}
	}
}

// The run state of an error is correct at every point of failure, for every method
// of the client, on new and pooled connections, and when the caller gives up at
// any time. The target counts the executions.
func TestRunStateIsCorrect(t *testing.T) {
	f := newFakeTarget(t)
	gone := closedAddress(t)
	c := New(Options{FirstByteTimeout: testTimeout, TokenGapTimeout: testTimeout})
	defer c.Close()
	var calls atomic.Int64
	seen := make(map[errkind.Kind]int)
	rapid.Check(t, func(t *rapid.T) {
		id := fmt.Sprint("request-", calls.Add(1))
		point := rapid.SampledFrom(failurePoints).Draw(t, "point")
		method := rapid.SampledFrom(callMethods).Draw(t, "method")
		givenUpAfter := time.Duration(rapid.IntRange(0, 1000).Draw(t, "given up after µs")) * time.Microsecond
		givesUp := rapid.Bool().Draw(t, "gives up")
		target := f.target()
		if point == "gone" {
			target.Address = gone
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*testTimeout)
		defer cancel()
		if givesUp {
			time.AfterFunc(givenUpAfter, cancel)
		}
		err := callWith(c, ctx, method, Call{Target: target, RequestID: id, Path: point, Body: []byte("{}")})
		seen[errkind.KindOf(err)]++
		state := RunState(err)
		if state == pb.RunState_RUN_STATE_NOT_RUN {
			time.Sleep(testSettle)
		}
		runs := f.runsOf(id)
		if state == pb.RunState_RUN_STATE_NOT_RUN && runs > 0 {
			t.Fatalf("reported as not_run (%v), but the target ran it %d times", err, runs)
		}
		if state == pb.RunState_RUN_STATE_RAN && runs != 1 {
			t.Fatalf("reported as ran, but the target ran it %d times", runs)
		}
		if runs > 1 {
			t.Fatalf("one call ran %d times", runs)
		}
	})
	for kind, n := range seen {
		t.Logf("%v: %d", kind, n)
	}
}

// A call that is cancelled while its request is about to be written is either
// never written, or not reported as not_run.
func TestAbortedExchangeNeverWrites(t *testing.T) {
	f := newFakeTarget(t)
	c := New(Options{})
	defer c.Close()
	for i := range 400 {
		id := fmt.Sprint("aborted-", i)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Duration(i)*time.Microsecond/2, cancel)
		_, err := c.Action(ctx, Call{Target: f.target(), RequestID: id, Path: "ok"})
		cancel()
		if RunState(err) == pb.RunState_RUN_STATE_NOT_RUN {
			time.Sleep(testSettle / 5)
			is.New(t).Equal(f.runsOf(id), 0)
		}
	}
}

func TestCallAfterDeadlineIsNotSent(t *testing.T) {
	is := is.New(t)
	f := newFakeTarget(t)
	c := New(Options{})
	defer c.Close()
	_, err := c.Action(context.Background(), Call{Target: f.target(), RequestID: "late", Path: "ok", Deadline: time.Unix(1, 0)})
	is.Equal(errkind.KindOf(err), errkind.DeadlinePassed)
	is.Equal(f.runsOf("late"), 0)
}

func TestRefusalHasRetryAfter(t *testing.T) {
	is := is.New(t)
	f := newFakeTarget(t)
	c := New(Options{})
	defer c.Close()
	_, err := c.Do(context.Background(), Call{Target: f.target(), RequestID: "r", Path: "refuse"})
	is.Equal(errkind.KindOf(err), errkind.TargetRefused)
	is.Equal(errkind.FromError(err).RetryAfter, 3*time.Second)
}
