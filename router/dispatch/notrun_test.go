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

// moody answers each request in a way that is drawn, and counts executions.
type moody struct {
	mu   sync.Mutex
	rand *rand.Rand
	runs map[string]int
}

func (m *moody) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Cuminrock-Request-Id")
	m.mu.Lock()
	way := m.rand.IntN(6)
	if way > 1 {
		m.runs[id]++
	}
	m.mu.Unlock()
	w.Header().Set("Cuminrock-Request-Id", id)
	switch way {
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

func (m *moody) runsOf(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[id]
}

// Whatever became of all sends of a request together, not_run is told only if
// no target ran it, and an action is never run twice.
func TestRunStateOfAllSendsIsTrue(t *testing.T) {
	const requests = 150
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			m := &moody{rand: rand.New(rand.NewPCG(seed, 7)), runs: make(map[string]int)}
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
			told := make(map[pb.RunState]int)
			for i := range requests {
				id := fmt.Sprint("request-", i)
				err := sendEither(d, plan(id), i%2 == 0)
				state := target.RunState(err)
				told[state]++
				runs := m.runsOf(id)
				if state == pb.RunState_RUN_STATE_NOT_RUN && runs > 0 {
					t.Errorf("%s was told not_run (%v) and ran", id, err)
				}
				if state == pb.RunState_RUN_STATE_RAN && runs == 0 {
					t.Errorf("%s was told ran and didn't", id)
				}
				if i%2 == 0 && runs > 1 {
					t.Errorf("action %s ran %d times", id, runs)
				}
			}
			t.Logf("told: %v, %d retries", told, d.Stats().Retries.Value())
		})
	}
}

// A send of unknown outcome isn't forgotten when no target is left for a retry.
func TestUnknownSendOutlivesItsTarget(t *testing.T) {
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
	_, err := d.Do(context.Background(), plan("r"))
	is.Equal(target.RunState(err), pb.RunState_RUN_STATE_UNKNOWN)
}

func sendEither(d *Dispatcher, p Request, action bool) error {
	if action {
		_, err := d.Action(context.Background(), p)
		return err
	}
	_, err := d.Do(context.Background(), p)
	return err
}
