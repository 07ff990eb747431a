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

// Routers are killed and restarted while the platform loses responses. Callers
// resume at the other router. Every complete response must be billed with the
// usage that it reported or still be covered by granted or in-doubt tokens. The
// budget must not be overspent, and no action may run twice.
func TestKillsAndLostResponses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const seed, callers, calls, kills = 101, 12, 8, 3
	f := Start(t, Options{Binaries: binaries, Seed: seed, PrepaidTokens: 200_000, TokensPerSecond: 200})
	f.Platform.SetAllFaults(platform.Faults{DropResponsePermille: 200})
	stop := f.watchBudget()
	results := newCallResults()
	var work conc.WaitGroup
	for c := range callers {
		work.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			for n := range calls {
				readWithRetries(f, results, ChatRequest(fmt.Sprintf("chat-%d-%d", c, n), 40, true), rng)
				f.tryAction(ActionRequest(fmt.Sprintf("act-%d-%d", c, n)), rng)
			}
		})
	}
	for i := range kills {
		time.Sleep(time.Second)
		killed := f.Routers[i%2]
		killed.Kill()
		killed.Start(t)
		killed.WaitReady()
	}
	work.Wait()
	f.Platform.SetAllFaults(platform.Faults{})
	f.WaitConverged()
	for _, r := range f.Routers {
		Eventually(t, "no bill is waiting", func() bool { return r.Vars().Ledger.WaitingBills == 0 })
	}
	stop()
	f.waitBillsMatchSpent()
	b := f.Budget()
	unbilled := f.unbilledRequests(results)
	t.Logf("%d served, %d unbilled but covered, %d interrupted, refused %v; %v", results.ServedCount(), len(unbilled), len(results.Interrupted), results.RefusalsByKind, b)
	is.True(results.ServedCount() > 0)
	is.True(results.TotalUsage() <= b.Spent+b.Granted+b.InDoubt) // what ran is billed or covered
	for _, g := range f.Services {
		is.Equal(g.ServiceCounts().Repeated, 0) // no action ran twice
	}
}

// readWithRetries reads a response to its end and resumes it at a randomly chosen
// router whenever the stream is interrupted.
func readWithRetries(f *Fleet, results *CallResults, q Request, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	var response StreamedResponse
	for ctx.Err() == nil {
		err := f.Routers[rng.IntN(len(f.Routers))].ReadStream(ctx, q, &response, nil)
		if err == nil {
			results.recordServed(q.ID(), response.Usage)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	results.recordFailure(fmt.Errorf("%s: response incomplete: received %d tokens within %v", q.IdempotencyKey, response.Tokens, WaitTimeout))
}

// tryAction sends an action to every router, one after the other, and checks
// each response.
func (f *Fleet) tryAction(q Request, rng *rand.Rand) {
	q.Deadline = 5 * time.Second
	first := rng.IntN(len(f.Routers))
	for i := range f.Routers {
		response, err := f.Routers[(first+i)%len(f.Routers)].Do(context.Background(), q)
		if err == nil {
			f.checkResponse(q, response)
		}
	}
}

// unbilledRequests returns the served requests without a bill. It fails the test
// if a bill differs from the usage that the response reported.
func (f *Fleet) unbilledRequests(results *CallResults) []string {
	f.t.Helper()
	bills := f.Bills()
	var missing []string
	for id, usage := range results.UsageByRequest {
		if bills[id] == nil {
			missing = append(missing, id)
			continue
		}
		if bills[id].Tokens != usage {
			f.t.Errorf("bill of %s: %d tokens, but the response reported %d", id, bills[id].Tokens, usage)
		}
	}
	return missing
}

// A router is paused while its data centre is partitioned and the platform loses
// responses in the other data centre; then all three faults end at once. The
// budget must not be overspent, every served request must be billed once, and no
// stream of the connected router may be interrupted.
func TestPausePartitionAndLostResponses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 102, PrepaidTokens: 40_000, TokensPerSecond: 500})
	connected, isolated := f.Routers[0], f.Routers[1]
	stop := f.watchBudget()
	f.Platform.SetFaults(connected.Centre, platform.Faults{DropResponsePermille: 200})
	loads := []*Load{StartLoad(connected, "near", 12, 40), StartLoad(isolated, "far", 12, 40)}
	Eventually(t, "both routers serve requests", func() bool { return loads[0].ServedCount() > 24 && loads[1].ServedCount() > 24 })
	f.partition(isolated.Centre)
	isolated.Pause()
	f.closeGrants(isolated)
	time.Sleep(pauseDuration)
	isolated.Resume()
	f.healPartition(isolated.Centre)
	f.Platform.SetFaults(connected.Centre, platform.Faults{})
	f.WaitConverged()
	results := []*CallResults{loads[0].Stop(), loads[1].Stop()}
	f.checkBills(results...)
	stop()
	is.Equal(results[0].Interrupted, nil)
	t.Logf("%d and %d served; %v", results[0].ServedCount(), results[1].ServedCount(), f.Budget())
}
