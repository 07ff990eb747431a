package budgetsim

import (
	"context"
	"flag"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var (
	seedFlag     = flag.Int64("seed", 1, "seed of the first episode of the long run")
	durationFlag = flag.Duration("duration", 0, "duration of the long run; 0 skips it")
)

// TestLongRun runs episodes for a given time:
//
//	go test ./budget/budgetsim -run LongRun -seed 1 -duration 5m
func TestLongRun(t *testing.T) {
	if *durationFlag == 0 {
		t.Skip("no -duration")
	}
	started := time.Now()
	r := Run(context.Background(), *seedFlag, *durationFlag)
	t.Logf("%d transitions in %d episodes from seed %d, %.0f s", r.Transitions, r.Episodes, *seedFlag, time.Since(started).Seconds())
	if r.Err != nil {
		t.Fatal(r.Err)
	}
}

// Episodes of fixed seeds, short enough for CI, violate no invariant.
func TestFixedSeeds(t *testing.T) {
	is := is.New(t)
	for seed := range int64(6) {
		_, err := RunEpisode(rand.New(rand.NewSource(seed)), BugNone, episodeSteps)
		is.NoErr(err)
	}
}

// The checks detect every injected bug within 200 episodes.
func TestInjectedBugsAreDetected(t *testing.T) {
	for _, bug := range Bugs() {
		t.Run(bug.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range int64(200) {
				_, err := RunEpisode(rand.New(rand.NewSource(seed)), bug, episodeSteps)
				if err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no check detected the bug")
		})
	}
}

// rapidChooser makes choices by the generator of a property test.
type rapidChooser struct{ t *rapid.T }

func (d rapidChooser) Intn(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

// Runs the same transitions as a rapid state machine, so that a failing
// sequence is shrunk.
func TestStateMachine(t *testing.T) {
	if err := flag.Set("rapid.steps", "300"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		w := NewWorld(rapidChooser{t}, BugNone)
		machine := map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if err := w.CheckInvariants(); err != nil {
					t.Fatal(err)
				}
			},
		}
		for _, tr := range transitions {
			machine[tr.name] = func(*rapid.T) { tr.apply(w); w.Steps++ }
		}
		t.Repeat(machine)
		if err := w.QuiesceAndCheck(); err != nil {
			t.Fatal(err)
		}
	})
}
