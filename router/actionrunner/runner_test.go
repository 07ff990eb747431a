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

// fleet is a set of routers with one platform and one service.
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

// request returns one attempt of an action with the given request id.
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

// report is the outcome that the caller of one attempt received.
type report struct {
	action  string
	request string
	outcome Outcome
	err     error
}

// Callers send each action to several routers at the same time, while the
// platform and the service fail in every way, callers give up and one router
// dies. No action may run twice; executions are counted at the service.
func TestActionsRunAtMostOnceOverRouters(t *testing.T) {
	const (
		actions  = 60
		attempts = 5
		routers  = 3
	)
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(t, routers, newMemTables(seed, 250), newService(seed, serviceModes))
			draw := rand.New(rand.NewPCG(seed, 3))
			var mu sync.Mutex
			var all []report
			var callers sync.WaitGroup
			for a := range actions {
				for n := range attempts {
					timeout := time.Duration(draw.IntN(40)) * time.Millisecond
					router := f.routers[draw.IntN(routers)]
					delay := time.Duration(draw.IntN(20)) * time.Millisecond
					callers.Go(func() {
						time.Sleep(delay)
						ctx, cancel := context.WithTimeout(context.Background(), timeout)
						defer cancel()
						action := fmt.Sprint("action-", a)
						id := fmt.Sprint(action, "#", n)
						outcome, err := router.Run(ctx, f.request(action, id))
						mu.Lock()
						defer mu.Unlock()
						all = append(all, report{action, id, outcome, err})
					})
				}
			}
			time.AfterFunc(10*time.Millisecond, f.routers[0].cancel)
			callers.Wait()
			f.close()
			f.tables.lateWrites.Wait()
			checkReports(t, f, all)
		})
	}
}

// checkReports compares the outcomes that callers received with the executions
// at the service.
func checkReports(t *testing.T, f *fleet, reports []report) {
	counts := make(map[pb.RunState]int)
	for _, c := range reports {
		counts[c.outcome.State]++
		runs, requestRuns := f.service.runs(c.action), f.service.requestRuns(c.request)
		if runs > 1 {
			t.Errorf("%s ran %d times", c.action, runs)
		}
		switch c.outcome.State {
		case pb.RunState_RUN_STATE_NOT_RUN:
			if requestRuns != 0 {
				t.Errorf("%s was reported as not_run (%v) and ran", c.request, c.err)
			}
		case pb.RunState_RUN_STATE_RAN:
			if runs != 1 || string(c.outcome.Response.Body) != "done /"+c.action {
				t.Errorf("%s was reported as ran after %d runs, with %q", c.request, runs, c.outcome.Response.Body)
			}
		}
		if c.outcome.State != pb.RunState_RUN_STATE_RAN && target.RunState(c.err) != c.outcome.State {
			t.Errorf("%s: state %v does not match error %v", c.request, c.outcome.State, c.err)
		}
	}
	t.Logf("reported outcomes: %v", counts)
}

// If a target responds after the caller's deadline, the caller gets the outcome
// unknown and can look the response up later. The action is not sent again.
func TestLateResponseCanBeLookedUp(t *testing.T) {
	is := is.New(t)
	svc := newService(1, serviceLate)
	svc.delay = 60 * time.Millisecond
	f := newFleet(t, 2, newMemTables(1, 0), svc)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	outcome, err := f.routers[0].Run(ctx, f.request("a", "a#1"))
	is.Equal(errkind.KindOf(err), errkind.OutcomeUnknown)
	is.Equal(outcome.State, pb.RunState_RUN_STATE_UNKNOWN)
	repeat, err := f.routers[1].Run(context.Background(), f.request("a", "a#2"))
	is.NoErr(err)
	is.True(repeat.Replayed)
	recorded, err := f.routers[1].Lookup(context.Background(), "cluj", "a")
	is.NoErr(err)
	is.Equal(string(recorded.Response.Body), "done /a")
	is.Equal(svc.runs("a"), 1)
}

// If a response is lost, the outcome stays unknown at every router, and the
// action is never sent again.
func TestLostResponseStaysUnknown(t *testing.T) {
	is := is.New(t)
	svc := newService(1, serviceDropsConnection)
	f := newFleet(t, 2, newMemTables(1, 0), svc)
	_, err := f.routers[0].Run(context.Background(), f.request("a", "a#1"))
	is.Equal(errkind.KindOf(err), errkind.TargetFailed)
	_, err = f.routers[1].Run(context.Background(), f.request("a", "a#2"))
	is.Equal(errkind.KindOf(err), errkind.OutcomeUnknown)
	recorded, err := f.routers[1].Lookup(context.Background(), "cluj", "a")
	is.NoErr(err)
	is.Equal(recorded.State, pb.RunState_RUN_STATE_UNKNOWN)
	is.Equal(svc.runs("a"), 1)
}

// While the platform is unavailable, every action is refused, the later ones
// without a call to the platform. The outcome of a repeat is unknown. After the
// outage actions run again.
func TestUnavailablePlatformRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	tables := newMemTables(1, 0)
	f := newFleet(t, 1, tables, newService(1, serviceOK))
	r := f.routers[0]
	r.breaker.interval = time.Hour
	tables.setDown(true)
	for range 5 {
		outcome, err := r.Run(context.Background(), f.request("a", "a#1"))
		is.Equal(errkind.KindOf(err), errkind.PlatformDown)
		is.Equal(outcome.State, pb.RunState_RUN_STATE_NOT_RUN)
		is.True(errkind.FromError(err).RetryAfter > 0)
	}
	is.Equal(tables.calls, failureThreshold)
	repeat := f.request("a", "a#2")
	repeat.Repeat = true
	outcome, _ := r.Run(context.Background(), repeat)
	is.Equal(outcome.State, pb.RunState_RUN_STATE_UNKNOWN)
	tables.setDown(false)
	r.breaker.nextProbe.Store(1)
	_, err := r.Run(context.Background(), f.request("a", "a#3"))
	is.NoErr(err)
}

// If a target states that it did not start an action, a new attempt may send it.
func TestRefusedActionMayBeSentAgain(t *testing.T) {
	is := is.New(t)
	svc := newService(1, serviceRefuses)
	f := newFleet(t, 2, newMemTables(1, 0), svc)
	_, err := f.routers[0].Run(context.Background(), f.request("a", "a#1"))
	is.Equal(errkind.KindOf(err), errkind.TargetRefused)
	recorded, err := f.routers[1].Lookup(context.Background(), "cluj", "a")
	is.NoErr(err)
	is.Equal(recorded.State, pb.RunState_RUN_STATE_NOT_RUN)
	svc.mu.Lock()
	svc.mode = serviceOK
	svc.mu.Unlock()
	_, err = f.routers[1].Run(context.Background(), f.request("a", "a#2"))
	is.NoErr(err)
	is.Equal(svc.runs("a"), 1)
}

// A claim takes effect, but its response is lost and the platform is unavailable
// afterwards. The attempt must report not_run and void the claim in the
// background before Close returns, so that a new attempt can run the action.
func TestClaimWithLostResponseIsVoided(t *testing.T) {
	is := is.New(t)
	tables := newMemTables(1, 0)
	tables.script = []int{callResponseLost, callUnavailable, callUnavailable, callResponseLost}
	svc := newService(1, serviceOK)
	f := newFleet(t, 2, tables, svc)
	outcome, err := f.routers[0].Run(context.Background(), f.request("a", "a#1"))
	is.Equal(errkind.KindOf(err), errkind.PlatformDown)
	is.Equal(outcome.State, pb.RunState_RUN_STATE_NOT_RUN)
	is.NoErr(f.routers[0].Close(context.Background()))
	recorded, err := f.routers[1].Lookup(context.Background(), "cluj", "a")
	is.NoErr(err)
	is.Equal(recorded.State, pb.RunState_RUN_STATE_NOT_RUN)
	is.Equal(svc.runs("a"), 0)
	_, err = f.routers[1].Run(context.Background(), f.request("a", "a#2"))
	is.NoErr(err)
	is.Equal(svc.runs("a"), 1)
}
