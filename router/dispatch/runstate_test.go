package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/retry"
	"cuminrock.example/fleet/route"
	"cuminrock.example/router/target"
)

// randomTarget responds to each request with a random behaviour and counts the
// executions of each request ID.
type randomTarget struct {
	mu   sync.Mutex
	rand *rand.Rand
	runs map[string]int
}

func (rt *randomTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Cuminrock-Request-Id")
	rt.mu.Lock()
	behaviour := rt.rand.IntN(6)
	if behaviour > 1 {
		rt.runs[id]++
	}
	rt.mu.Unlock()
	w.Header().Set("Cuminrock-Request-Id", id)
	switch behaviour {
	case 0, 1:
		w.Header().Set("Cuminrock-Run-State", "not_run")
		w.WriteHeader(http.StatusServiceUnavailable)
	case 2:
		panic(http.ErrAbortHandler)
	case 3:
		w.WriteHeader(http.StatusInternalServerError)
	case 4:
		w.Header().Set("Cuminrock-Request-Id", "another")
	}
}

func (rt *randomTarget) runsOf(id string) int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.runs[id]
}

// Whatever the outcomes of a request's attempts, not_run is reported only if no
// target ran the request, and an action never runs twice.
func TestRunStateHoldsForAllAttempts(t *testing.T) {
	const requests = 150
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := &randomTarget{rand: rand.New(rand.NewPCG(seed, 7)), runs: make(map[string]int)}
			table := route.New(route.Options{Seed: seed, SuspectMin: time.Millisecond, SuspectMax: time.Millisecond})
			var targets []*pb.Target
			for i := range 3 {
				server := httptest.NewServer(m)
				defer server.Close()
				targets = append(targets, &pb.Target{Name: fmt.Sprint("t", i), Service: "registry-app", Provider: "old", Address: server.Listener.Addr().String()})
			}
			targets = append(targets, &pb.Target{Name: "gone", Service: "registry-app", Provider: "old", Address: "127.0.0.1:1"})
			table.Update(targets)
			client := target.New(target.Options{})
			defer client.Close()
			d := New(table, client, retry.NewBudget(500, 100), retry.DefaultPolicy())
			defer d.Close()
			reported := make(map[pb.RunState]int)
			for i := range requests {
				id := fmt.Sprint("request-", i)
				err := sendActionOrLookup(d, testRequest(id), i%2 == 0)
				state := target.RunState(err)
				reported[state]++
				runs := m.runsOf(id)
				if state == pb.RunState_RUN_STATE_NOT_RUN && runs > 0 {
					t.Errorf("%s was reported as not_run (%v) but ran", id, err)
				}
				if state == pb.RunState_RUN_STATE_RAN && runs == 0 {
					t.Errorf("%s was reported as ran but didn't run", id)
				}
				if i%2 == 0 && runs > 1 {
					t.Errorf("action %s ran %d times", id, runs)
				}
			}
			t.Logf("reported: %v, %d retries", reported, d.Stats().Retries.Value())
		})
	}
}

// The unknown outcome of an attempt is reported even if no target is left for a
// retry.
func TestUnknownOutcomeIsReportedWithoutFurtherTargets(t *testing.T) {
	is := is.New(t)
	table := route.New(route.Options{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		table.Report("t0", 0, true)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	table.Update([]*pb.Target{{Name: "t0", Service: "registry-app", Provider: "old", Address: server.Listener.Addr().String()}})
	client := target.New(target.Options{})
	defer client.Close()
	d := New(table, client, retry.NewBudget(0, 5), retry.DefaultPolicy())
	defer d.Close()
	_, err := d.Do(context.Background(), testRequest("r"))
	is.Equal(target.RunState(err), pb.RunState_RUN_STATE_UNKNOWN)
}

func sendActionOrLookup(d *Dispatcher, p Request, action bool) error {
	if action {
		_, err := d.Action(context.Background(), p)
		return err
	}
	_, err := d.Do(context.Background(), p)
	return err
}
