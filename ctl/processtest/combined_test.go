package processtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"cuminrock.example/standin/platform"
)

// Routers are killed and started again while the platform loses answers.
// Callers resume at the other router. Every answer that came whole is billed
// as told or still covered; nothing is overspent and no action runs twice.
func TestKillsAndLostAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const seed, callers, calls, kills = 101, 12, 8, 3
	f := Start(t, Options{Binaries: binaries, Seed: seed, PrepaidTokens: 200_000, TokensPerSecond: 200})
	f.Platform.SetAllFaults(platform.Faults{DropResponsePermille: 200})
	stop := f.watchBudget()
	tally := newTally()
	var work conc.WaitGroup
	for c := range callers {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			for n := range calls {
				persist(f, tally, ChatRequest(fmt.Sprintf("chat-%d-%d", c, n), 40, true), rng)
				f.tryAction(ActionRequest(fmt.Sprintf("act-%d-%d", c, n)), rng)
			}
		})
	}
	for i := range kills {
		time.Sleep(time.Second)
		doomed := f.Routers[i%2]
		doomed.Kill()
		doomed.Start(t)
		doomed.WaitReady()
	}
	work.Wait()
	f.Platform.SetAllFaults(platform.Faults{})
	f.WaitConverged()
	for _, r := range f.Routers {
		Eventually(t, "no bill waits", func() bool { return r.Vars().Ledger.WaitingBills == 0 })
	}
	stop()
	f.waitSpent()
	b := f.Budget()
	unbilled := f.unbilled(tally)
	t.Logf("%d served, %d unbilled but covered, %d broken, refused %v; %v", tally.ServedCount(), len(unbilled), len(tally.Interrupted), tally.RefusalsByKind, b)
	is.True(tally.ServedCount() > 0)
	is.True(tally.TotalUsage() <= b.Spent+b.Granted+b.InDoubt) // what ran stays covered
	for _, g := range f.Services {
		is.Equal(g.ServiceCounts().Repeated, 0) // no action ran twice
	}
}

// persist reads an answer to its end, resuming at a router picked at random
// whenever the stream breaks.
func persist(f *Fleet, tally *CallResults, q Request, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	var a StreamedResponse
	for ctx.Err() == nil {
		err := f.Routers[rng.IntN(len(f.Routers))].ReadStream(ctx, q, &a, nil)
		if err == nil {
			tally.serve(q.ID(), a.Usage)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	tally.fail(fmt.Errorf("%s: %d tokens came in %v", q.IdempotencyKey, a.Tokens, WaitTimeout))
}

// tryAction sends an action to both routers and checks what is told.
func (f *Fleet) tryAction(q Request, rng *rand.Rand) {
	q.Deadline = 5 * time.Second
	first := rng.IntN(len(f.Routers))
	for i := range f.Routers {
		reply, err := f.Routers[(first+i)%len(f.Routers)].Do(context.Background(), q)
		if err == nil {
			f.checkTold(q, reply)
		}
	}
}

// unbilled returns the served requests without a bill, and fails the test on
// bills that differ from what callers were told.
func (f *Fleet) unbilled(tally *CallResults) []string {
	f.t.Helper()
	bills := f.Bills()
	var missing []string
	for id, usage := range tally.UsageByRequest {
		if bills[id] == nil {
			missing = append(missing, id)
			continue
		}
		if bills[id].Tokens != usage {
			f.t.Errorf("bill of %s: %d tokens, the caller was told %d", id, bills[id].Tokens, usage)
		}
	}
	return missing
}

// A router is frozen while its data centre is cut off and the platform loses
// answers at the other side. All comes back at once.
func TestFreezeCutAndLostAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 102, PrepaidTokens: 40_000, TokensPerSecond: 500})
	near, far := f.Routers[0], f.Routers[1]
	stop := f.watchBudget()
	f.Platform.SetFaults(near.Centre, platform.Faults{DropResponsePermille: 200})
	loads := []*Load{StartLoad(near, "near", 12, 40), StartLoad(far, "far", 12, 40)}
	Eventually(t, "both serve", func() bool { return loads[0].ServedCount() > 24 && loads[1].ServedCount() > 24 })
	f.cutOff(far.Centre)
	far.Pause()
	f.closeGrants(far)
	time.Sleep(frozenFor)
	far.Resume()
	f.heal(far.Centre)
	f.Platform.SetFaults(near.Centre, platform.Faults{})
	f.WaitConverged()
	tallies := []*CallResults{loads[0].Stop(), loads[1].Stop()}
	f.checkBills(tallies...)
	stop()
	is.Equal(tallies[0].Interrupted, nil)
	t.Logf("%d and %d served; %v", tallies[0].ServedCount(), tallies[1].ServedCount(), f.Budget())
}
