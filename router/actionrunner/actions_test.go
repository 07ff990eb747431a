package actionrunner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/target"
)

// fleet is some routers before one platform and one service.
type fleet struct {
	tables  *memTables
	service *service
	client  *target.Client
	routers []*Runner
}

func newFleet(t *testing.T, routers int, tables *memTables, svc *service) *fleet {
	f := &fleet{tables: tables, service: svc, client: target.New(target.Options{})}
	for i := range routers {
		f.routers = append(f.routers, New(tables, Options{
			Incarnation:     fmt.Sprint("router-", i),
			PollInterval:    2 * time.Millisecond,
			RetryInterval:   2 * time.Millisecond,
			ResponseTimeout: time.Second,
		}))
	}
	t.Cleanup(func() {
		f.close()
		svc.server.Close()
	})
	return f
}

func (f *fleet) close() {
	for _, r := range f.routers {
		_ = r.Close(context.Background())
	}
}

// request is one attempt of an action with a request id of its own.
func (f *fleet) request(action, id string) Request {
	return Request{
		Workspace: "cluj",
		Key:       action,
		Digest:    []byte(action),
		Send: func(ctx context.Context) (*target.Response, error) {
			return f.client.Action(ctx, target.Call{Target: f.service.target(), RequestID: id, Path: action})
		},
	}
}

// told is what one attempt's caller was told.
type told struct {
	action  string
	request string
	outcome Outcome
	err     error
}

// Callers send each action at several routers at the same time, with a platform
// and a service that fail in every way, callers that give up and a router that
// dies. Executions are counted at the service.
func TestActionsRunAtMostOnceOverRouters(t *testing.T) {
	const (
		actions  = 60
		attempts = 5
		routers  = 3
	)
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(t, routers, newMemTables(seed, 250), newService(seed, serviceWays))
			draw := rand.New(rand.NewPCG(seed, 3))
			var mu sync.Mutex
			var all []told
			var callers sync.WaitGroup
			for a := range actions {
				for n := range attempts {
					patience := time.Duration(draw.IntN(40)) * time.Millisecond
					router := f.routers[draw.IntN(routers)]
					delay := time.Duration(draw.IntN(20)) * time.Millisecond
					callers.Go(func() {
						time.Sleep(delay)
						ctx, cancel := context.WithTimeout(context.Background(), patience)
						defer cancel()
						action := fmt.Sprint("action-", a)
						id := fmt.Sprint(action, "#", n)
						outcome, err := router.Run(ctx, f.request(action, id))
						mu.Lock()
						defer mu.Unlock()
						all = append(all, told{action, id, outcome, err})
					})
				}
			}
			time.AfterFunc(10*time.Millisecond, f.routers[0].end)
			callers.Wait()
			f.close()
			f.tables.landed.Wait()
			checkTold(t, f, all)
		})
	}
}

// checkTold compares what callers were told with what the service saw.
func checkTold(t *testing.T, f *fleet, all []told) {
	counts := make(map[pb.RunState]int)
	for _, c := range all {
		counts[c.outcome.State]++
		runs, own := f.service.runs(c.action), f.service.requestRuns(c.request)
		if runs > 1 {
			t.Errorf("%s ran %d times", c.action, runs)
		}
		switch c.outcome.State {
		case pb.RunState_RUN_STATE_NOT_RUN:
			if own != 0 {
				t.Errorf("%s was told not_run (%v) and ran", c.request, c.err)
			}
		case pb.RunState_RUN_STATE_RAN:
			if runs != 1 || string(c.outcome.Response.Body) != "done /"+c.action {
				t.Errorf("%s was told ran after %d runs, with %q", c.request, runs, c.outcome.Response.Body)
			}
		}
		if c.outcome.State != pb.RunState_RUN_STATE_RAN && target.RunState(c.err) != c.outcome.State {
			t.Errorf("%s: state %v beside error %v", c.request, c.outcome.State, c.err)
		}
	}
	t.Logf("told: %v", counts)
}

// A target that answers after the caller's deadline: the caller is told
// unknown, may ask, and learns the answer; nothing is sent again.
func TestLateAnswerCanBeAskedFor(t *testing.T) {
	is := is.New(t)
	svc := newService(1, serviceLate)
	svc.late = 60 * time.Millisecond
	f := newFleet(t, 2, newMemTables(1, 0), svc)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	outcome, err := f.routers[0].Run(ctx, f.request("a", "a#1"))
	is.Equal(errkind.KindOf(err), errkind.OutcomeUnknown)
	is.Equal(outcome.State, pb.RunState_RUN_STATE_UNKNOWN)
	repeat, err := f.routers[1].Run(context.Background(), f.request("a", "a#2"))
	is.NoErr(err)
	is.True(repeat.Replayed)
	asked, err := f.routers[1].Lookup(context.Background(), "cluj", "a")
	is.NoErr(err)
	is.Equal(string(asked.Response.Body), "done /a")
	is.Equal(svc.runs("a"), 1)
}

// A lost answer stays unknown at every router and is never sent again.
func TestLostAnswerStaysUnknown(t *testing.T) {
	is := is.New(t)
	svc := newService(1, serviceBreaks)
	f := newFleet(t, 2, newMemTables(1, 0), svc)
	_, err := f.routers[0].Run(context.Background(), f.request("a", "a#1"))
	is.Equal(errkind.KindOf(err), errkind.TargetFailed)
	_, err = f.routers[1].Run(context.Background(), f.request("a", "a#2"))
	is.Equal(errkind.KindOf(err), errkind.OutcomeUnknown)
	asked, err := f.routers[1].Lookup(context.Background(), "cluj", "a")
	is.NoErr(err)
	is.Equal(asked.State, pb.RunState_RUN_STATE_UNKNOWN)
	is.Equal(svc.runs("a"), 1)
}

// While the platform is out every action is refused, the later ones without a
// call to it; a repeat is told unknown. Afterwards actions run again.
func TestPlatformOutRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	tables := newMemTables(1, 0)
	f := newFleet(t, 1, tables, newService(1, serviceWell))
	r := f.routers[0]
	r.outage.interval = time.Hour
	tables.setOut(true)
	for range 5 {
		outcome, err := r.Run(context.Background(), f.request("a", "a#1"))
		is.Equal(errkind.KindOf(err), errkind.PlatformDown)
		is.Equal(outcome.State, pb.RunState_RUN_STATE_NOT_RUN)
		is.True(errkind.FromError(err).RetryAfter > 0)
	}
	is.Equal(tables.calls, outageFailures)
	repeat := f.request("a", "a#2")
	repeat.Repeat = true
	outcome, _ := r.Run(context.Background(), repeat)
	is.Equal(outcome.State, pb.RunState_RUN_STATE_UNKNOWN)
	tables.setOut(false)
	r.outage.nextProbe.Store(1)
	_, err := r.Run(context.Background(), f.request("a", "a#3"))
	is.NoErr(err)
}

// A target's word that it didn't start makes the action free for a new attempt.
func TestRefusedActionMayBeSentAgain(t *testing.T) {
	is := is.New(t)
	svc := newService(1, serviceRefuses)
	f := newFleet(t, 2, newMemTables(1, 0), svc)
	_, err := f.routers[0].Run(context.Background(), f.request("a", "a#1"))
	is.Equal(errkind.KindOf(err), errkind.TargetRefused)
	asked, err := f.routers[1].Lookup(context.Background(), "cluj", "a")
	is.NoErr(err)
	is.Equal(asked.State, pb.RunState_RUN_STATE_NOT_RUN)
	svc.mu.Lock()
	svc.way = serviceWell
	svc.mu.Unlock()
	_, err = f.routers[1].Run(context.Background(), f.request("a", "a#2"))
	is.NoErr(err)
	is.Equal(svc.runs("a"), 1)
}

// A claim that took effect although its answer and every later one were lost is
// told as not_run, is voided in the background before Close returns, and leaves
// the action free.
func TestUnreadableClaimIsVoided(t *testing.T) {
	is := is.New(t)
	tables := newMemTables(1, 0)
	tables.script = []int{callAnswerLost, callUnavailable, callUnavailable, callAnswerLost}
	svc := newService(1, serviceWell)
	f := newFleet(t, 2, tables, svc)
	outcome, err := f.routers[0].Run(context.Background(), f.request("a", "a#1"))
	is.Equal(errkind.KindOf(err), errkind.PlatformDown)
	is.Equal(outcome.State, pb.RunState_RUN_STATE_NOT_RUN)
	is.NoErr(f.routers[0].Close(context.Background()))
	asked, err := f.routers[1].Lookup(context.Background(), "cluj", "a")
	is.NoErr(err)
	is.Equal(asked.State, pb.RunState_RUN_STATE_NOT_RUN)
	is.Equal(svc.runs("a"), 0)
	_, err = f.routers[1].Run(context.Background(), f.request("a", "a#2"))
	is.NoErr(err)
	is.Equal(svc.runs("a"), 1)
}
