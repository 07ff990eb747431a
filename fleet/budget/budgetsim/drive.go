package budgetsim

import (
	"context"
	"fmt"
	"math/rand"
	"time"
)

// action is one kind of transition with its weight.
type action struct {
	name   string
	weight int
	do     func(w *World)
}

var actions = []action{
	{"reserve", 300, (*World).Reserve},
	{"finish", 300, (*World).Finish},
	{"write", 220, (*World).CommitBatch},
	{"deliver", 200, (*World).deliver},
	{"deliver slow", 5, (*World).deliverSlow},
	{"borrow", 80, (*World).Borrow},
	{"push", 60, (*World).PushBills},
	{"register", 40, (*World).Register},
	{"fence", 40, (*World).Fence},
	{"return", 8, (*World).Return},
	{"land", 8, (*World).land},
	{"top-up", 5, (*World).TopUp},
	{"hand over", 12, (*World).HandOverRun},
	{"close", 3, (*World).CloseGrant},
	{"release", 15, (*World).Release},
	{"kill", 4, (*World).Kill},
	{"pause", 4, (*World).Pause},
	{"wake", 3, (*World).Resume},
	{"cut", 3, (*World).Partition},
	{"heal", 4, (*World).Heal},
	{"outage", 1, (*World).Outage},
}

func totalWeight() int {
	sum := 0
	for _, a := range actions {
		sum += a.weight
	}
	return sum
}

// Step makes one random transition and checks the world.
func (w *World) Step() error {
	n := w.choose.Intn(totalWeight())
	for _, a := range actions {
		n -= a.weight
		if n < 0 {
			a.do(w)
			break
		}
	}
	w.Steps++
	return w.CheckInvariants()
}

// episodeSteps is the length of one world's life.
const episodeSteps = 8000

// RunEpisode runs one world for a number of steps and its finale.
func RunEpisode(choose Chooser, plant Bug, steps int) (transitions int, err error) {
	w := NewWorld(choose, plant)
	for range steps {
		if err := w.Step(); err != nil {
			return w.Steps, err
		}
	}
	return w.Steps, w.QuiesceAndCheck()
}

// Result is what a long run did.
type Result struct {
	Transitions int
	Episodes    int
	// FailedSeed is the seed of the episode that failed, if Err isn't nil.
	FailedSeed int64
	Err        error
}

// Run makes episodes of consecutive seeds until the duration has passed, the
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
