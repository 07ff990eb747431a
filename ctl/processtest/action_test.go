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

// The same action is sent to both routers concurrently, twice to each. It must
// run exactly once, and all successful responses must be identical. A router
// that doesn't see the claim of the other would run the action again.
func TestSameActionAtBothRouters(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 71, ServiceTime: 50 * time.Millisecond})
	const actions, attempts = 20, 4
	responses := make([][attempts]Response, actions)
	var calls conc.WaitGroup
	for n := range actions {
		for i := range attempts {
			calls.Go(func() {
				responses[n][i] = f.Routers[i%2].MustDo(ActionRequest(fmt.Sprintf("same-%d", n)))
			})
		}
	}
	calls.Wait()
	for n := range actions {
		q := ActionRequest(fmt.Sprintf("same-%d", n))
		for _, r := range responses[n] {
			t.Logf("%s: %d %s", q.IdempotencyKey, r.Status, r.Error.Kind)
		}
		is.Equal(f.executions(q.ID()), 1) // as counted by the service
		for _, r := range responses[n] {
			f.checkResponse(q, r)
			if r.OK() {
				is.Equal(r.Body, f.Routers[0].MustDo(q).Body) // the recorded response
			}
		}
	}
	bills := f.WaitBills(actions)
	is.Equal(len(bills), actions)
}

// checkResponse checks a response to an action against the execution count of
// the service.
func (f *Fleet) checkResponse(q Request, response Response) {
	f.t.Helper()
	runs := f.executions(q.ID())
	if runs > 1 {
		f.t.Errorf("%s ran %d times, want at most 1", q.IdempotencyKey, runs)
	}
	if response.OK() && runs != 1 {
		f.t.Errorf("%s succeeded and ran %d times, want 1", q.IdempotencyKey, runs)
	}
}

// A router is killed after it has sent an action to the service. Retries at the
// other router must neither run the action again nor report that it didn't run.
func TestActionRouterKilledAfterDispatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 72, ServiceTime: time.Second})
	killed, other := f.Routers[0], f.Routers[1]
	q := ActionRequest("sent-then-killed")
	done := make(chan error, 1)
	go func() {
		_, err := killed.Do(context.Background(), q)
		done <- err
	}()
	Eventually(t, "the service runs the action", func() bool { return f.executions(q.ID()) == 1 })
	killed.Kill()
	is.True(<-done != nil)
	q.Deadline = 2 * time.Second
	for range 3 {
		response := other.MustDo(q)
		is.True(!response.OK())
		is.Equal(response.Error.RunState, "unknown")
	}
	killed.Start(t)
	f.WaitConverged()
	is.Equal(killed.MustDo(q).Error.RunState, "unknown")
	outcome := other.QueryOutcome(q.IdempotencyKey)
	is.True(outcome.Status == http.StatusOK) // the outcome can be queried
	t.Logf("outcome: %s", outcome.Body)
	is.Equal(f.executions(q.ID()), 1)
	f.Budget()
}

// The response to an action arrives after the caller's deadline. It must be
// recorded, returned to a retry and billed, and the action must not run again.
func TestActionLateResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 73})
	f.Services[0].SetFaults(target.Faults{DelayNext: 1, DelayMs: 2000})
	q := ActionRequest("late")
	q.Deadline = 500 * time.Millisecond
	response := f.Routers[0].MustDo(q)
	is.Equal(response.Error.RunState, "unknown")
	is.Equal(f.executions(q.ID()), 1)
	q.Deadline = 0
	Eventually(t, "the late response is recorded", func() bool { return f.Routers[1].MustDo(q).OK() })
	is.Equal(f.executions(q.ID()), 1)
	Eventually(t, "the late run is billed", func() bool { return f.Bills()[q.ID()].GetTokens() == CallCost })
	f.WaitBills(1)
}

// A router is paused after it has sent an action, and resumes. It must record the
// response, and a retry at the other router must not run the action again.
func TestActionRouterPaused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 74, ServiceTime: time.Second})
	paused, other := f.Routers[0], f.Routers[1]
	q := ActionRequest("frozen")
	done := make(chan Response, 1)
	go func() {
		response, _ := paused.Do(context.Background(), q)
		done <- response
	}()
	Eventually(t, "the service runs the action", func() bool { return f.executions(q.ID()) == 1 })
	paused.Pause()
	retry := q
	retry.Deadline = 2 * time.Second
	is.Equal(other.MustDo(retry).Error.RunState, "unknown")
	paused.Resume()
	first := <-done
	is.True(first.OK())
	Eventually(t, "the response is recorded", func() bool { return other.MustDo(q).OK() })
	is.Equal(other.MustDo(q).Body, first.Body)
	is.Equal(f.executions(q.ID()), 1)
	f.WaitBills(1)
}

// A target refuses an action and reports that it didn't start it. The action may
// then run on a retry.
func TestActionRefusedByTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 75, Centres: []string{"cluj-a"}})
	f.Services[0].SetFaults(target.Faults{Refuse: true})
	q := ActionRequest("refused")
	response := f.Routers[0].MustDo(q)
	is.Equal(response.Error.RunState, "not_run")
	is.Equal(f.executions(q.ID()), 0) // not_run is correct
	f.Services[0].SetFaults(target.Faults{})
	Eventually(t, "the retry runs", func() bool { return f.Routers[0].MustDo(q).OK() })
	is.Equal(f.executions(q.ID()), 1)
}
