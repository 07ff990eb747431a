package budgetsim

import (
	"context"
	"fmt"
	"math/rand"
	"time"
)

// transition is one kind of step with its weight.
type transition struct {
	name   string
	weight int
	apply  func(w *World)
}

var transitions = []transition{
	{"reserve", 300, (*World).Reserve},
	{"finish", 300, (*World).Finish},
	{"commit batch", 220, (*World).CommitBatch},
	{"deliver", 200, (*World).deliver},
	{"deliver delayed", 5, (*World).deliverDelayed},
	{"borrow", 80, (*World).Borrow},
	{"push bills", 60, (*World).PushBills},
	{"register", 40, (*World).Register},
	{"fence", 40, (*World).Fence},
	{"return", 8, (*World).Return},
	{"apply late commit", 8, (*World).applyLateCommit},
	{"top-up", 5, (*World).TopUp},
	{"hand over run", 12, (*World).HandOverRun},
	{"close", 3, (*World).CloseGrant},
	{"release", 15, (*World).Release},
	{"kill", 4, (*World).Kill},
	{"pause", 4, (*World).Pause},
	{"resume", 3, (*World).Resume},
	{"partition", 3, (*World).Partition},
	{"heal", 4, (*World).Heal},
	{"outage", 1, (*World).Outage},
}

func totalWeight() int {
	sum := 0
	for _, tr := range transitions {
		sum += tr.weight
	}
	return sum
}

// Step makes one random transition and checks the invariants.
func (w *World) Step() error {
	n := w.chooser.Intn(totalWeight())
	for _, tr := range transitions {
		n -= tr.weight
		if n < 0 {
			tr.apply(w)
			break
		}
	}
	w.Steps++
	return w.CheckInvariants()
}

// episodeSteps is the number of transitions of one episode.
const episodeSteps = 8000

// RunEpisode runs one world for a number of steps, and then QuiesceAndCheck. It
// returns the number of transitions made.
func RunEpisode(chooser Chooser, bug Bug, steps int) (transitions int, err error) {
	w := NewWorld(chooser, bug)
	for range steps {
		if err := w.Step(); err != nil {
			return w.Steps, err
		}
	}
	return w.Steps, w.QuiesceAndCheck()
}

// Result is the outcome of a long run.
type Result struct {
	Transitions int
	Episodes    int
	// FailedSeed is the seed of the failed episode, if Err is not nil.
	FailedSeed int64
	Err        error
}

// Run runs episodes of consecutive seeds until the duration has passed, the
// context ends or a check fails.
func Run(ctx context.Context, seed int64, duration time.Duration) Result {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var r Result
	for ctx.Err() == nil {
		n, err := RunEpisode(rand.New(rand.NewSource(seed)), BugNone, episodeSteps)
		r.Transitions += n
		r.Episodes++
		if err != nil {
			r.FailedSeed = seed
			r.Err = fmt.Errorf("seed %d: %w", seed, err)
			return r
		}
		seed++
	}
	return r
}
