package processtest

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"cuminrock.example/standin/target"
)

// The same action comes to both routers at once, twice each. It runs at most
// once, and all who are told its answer are told the same.
func TestSameActionAtBothRouters(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 71, ServiceTime: 50 * time.Millisecond})
	const actions, attempts = 20, 4
	replies := make([][attempts]Response, actions)
	var calls conc.WaitGroup
	for n := range actions {
		for i := range attempts {
			calls.Go(func() {
				replies[n][i] = f.Routers[i%2].MustDo(ActionRequest(fmt.Sprintf("same-%d", n)))
			})
		}
	}
	calls.Wait()
	for n := range actions {
		q := ActionRequest(fmt.Sprintf("same-%d", n))
		for _, r := range replies[n] {
			t.Logf("%s: %d %s", q.IdempotencyKey, r.Status, r.Error.Kind)
		}
		is.Equal(f.executions(q.ID()), 1) // counted at the service
		for _, r := range replies[n] {
			f.checkTold(q, r)
			if r.OK() {
				is.Equal(r.Body, f.Routers[0].MustDo(q).Body) // the recorded answer
			}
		}
	}
	bills := f.WaitBills(actions)
	is.Equal(len(bills), actions)
}

// checkTold compares what a caller was told with what the service counted.
func (f *Fleet) checkTold(q Request, r Response) {
	f.t.Helper()
	runs := f.executions(q.ID())
	if runs > 1 {
		f.t.Errorf("%s ran %d times", q.IdempotencyKey, runs)
	}
	if r.OK() && runs != 1 {
		f.t.Errorf("%s was answered and ran %d times", q.IdempotencyKey, runs)
	}
}

// A router is killed after it sent an action. The caller's retries at the
// other router never run it again and never claim that it didn't run.
func TestActionRouterKilledAfterDispatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 72, ServiceTime: time.Second})
	doomed, other := f.Routers[0], f.Routers[1]
	q := ActionRequest("sent-then-killed")
	done := make(chan error, 1)
	go func() {
		_, err := doomed.Do(context.Background(), q)
		done <- err
	}()
	Eventually(t, "the service runs the action", func() bool { return f.executions(q.ID()) == 1 })
	doomed.Kill()
	is.True(<-done != nil)
	q.Deadline = 2 * time.Second
	for range 3 {
		reply := other.MustDo(q)
		is.True(!reply.OK())
		is.Equal(reply.Error.RunState, "unknown")
	}
	doomed.Start(t)
	f.WaitConverged()
	is.Equal(doomed.MustDo(q).Error.RunState, "unknown")
	outcome := other.QueryOutcome(q.IdempotencyKey)
	is.True(outcome.Status == http.StatusOK) // the outcome can be asked for
	t.Logf("outcome: %s", outcome.Body)
	is.Equal(f.executions(q.ID()), 1)
	f.Budget()
}

// The answer of an action comes after its caller gave up. It is recorded, and
// a repeat gets it.
func TestActionLateAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 73})
	f.Services[0].SetFaults(target.Faults{DelayNext: 1, DelayMs: 2000})
	q := ActionRequest("late")
	q.Deadline = 500 * time.Millisecond
	reply := f.Routers[0].MustDo(q)
	is.Equal(reply.Error.RunState, "unknown")
	is.Equal(f.executions(q.ID()), 1)
	q.Deadline = 0
	Eventually(t, "the late answer is recorded", func() bool { return f.Routers[1].MustDo(q).OK() })
	is.Equal(f.executions(q.ID()), 1)
	Eventually(t, "the late run is billed", func() bool { return f.Bills()[q.ID()].GetTokens() == CallCost })
	f.WaitBills(1)
}

// A router is frozen with an action sent, wakes, and records the answer. No
// attempt elsewhere runs it again.
func TestActionRouterFrozen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 74, ServiceTime: time.Second})
	frozen, other := f.Routers[0], f.Routers[1]
	q := ActionRequest("frozen")
	done := make(chan Response, 1)
	go func() {
		reply, _ := frozen.Do(context.Background(), q)
		done <- reply
	}()
	Eventually(t, "the service runs the action", func() bool { return f.executions(q.ID()) == 1 })
	frozen.Pause()
	retry := q
	retry.Deadline = 2 * time.Second
	is.Equal(other.MustDo(retry).Error.RunState, "unknown")
	frozen.Resume()
	first := <-done
	is.True(first.OK())
	Eventually(t, "the answer is recorded", func() bool { return other.MustDo(q).OK() })
	is.Equal(other.MustDo(q).Body, first.Body)
	is.Equal(f.executions(q.ID()), 1)
	f.WaitBills(1)
}

// A target that says that it did not start an action leaves it free to run.
func TestActionRefusedByTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 75, Centres: []string{"cluj-a"}})
	f.Services[0].SetFaults(target.Faults{Refuse: true})
	q := ActionRequest("refused")
	reply := f.Routers[0].MustDo(q)
	is.Equal(reply.Error.RunState, "not_run")
	is.Equal(f.executions(q.ID()), 0) // not_run is true
	f.Services[0].SetFaults(target.Faults{})
	Eventually(t, "the repeat runs", func() bool { return f.Routers[0].MustDo(q).OK() })
	is.Equal(f.executions(q.ID()), 1)
}
