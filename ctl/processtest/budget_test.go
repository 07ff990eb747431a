package processtest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"cuminrock.example/standin/platform"
)

// watchBudget repeatedly checks that the budget's parts add up and that it isn't
// overspent, until the returned function is called.
func (f *Fleet) watchBudget() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var watch conc.WaitGroup
	watch.Go(func() {
		for ctx.Err() == nil {
			f.Budget()
			time.Sleep(pollInterval)
		}
	})
	return func() {
		cancel()
		watch.Wait()
	}
}

// Many callers at both routers exhaust a small budget while the platform loses
// responses after commits and applies some commits late. The budget must not be
// overspent, and each served request must be billed once.
func TestSmallBudgetLostResponses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 41, PrepaidTokens: 20_000, TokensPerSecond: 500})
	f.Platform.SetAllFaults(platform.Faults{DropResponsePermille: 200, LateCommitPermille: 50, LateCommitDelayMs: 300})
	stop := f.watchBudget()
	var loads []*Load
	for _, r := range f.Routers {
		loads = append(loads, StartLoad(r, r.Name, 24, 40))
	}
	for i, l := range loads {
		Eventually(t, f.Routers[i].Name+" refuses requests as the budget is exhausted", func() bool { return l.refusalCount("budget_exhausted") > 0 })
	}
	results := []*CallResults{loads[0].Stop(), loads[1].Stop()}
	f.Platform.SetAllFaults(platform.Faults{})
	f.checkBills(results...)
	stop()
	b := f.Budget()
	counts := f.Platform.Counts()
	t.Logf("%d served; %v; %d responses lost, %d commits late", results[0].ServedCount()+results[1].ServedCount(), b, counts.ResponsesDropped, counts.LateCommits)
	is.True(counts.ResponsesDropped > 0)
	for _, r := range results {
		is.Equal(r.Interrupted, nil)
		is.True(r.ServedCount() > 0)
	}
	is.True(b.Spent <= b.Prepaid)
	is.Equal(b.Spent, results[0].TotalUsage()+results[1].TotalUsage())
	for _, r := range f.Routers {
		is.Equal(r.Vars().Ledger.ConservationBroken, uint64(0))
	}
}

// Each of 20 requests is sent to both routers at the same time. It must be
// billed once, even if both routers run it.
func TestSameRequestAtBothRouters(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 42})
	const requests = 20
	var calls conc.WaitGroup
	for n := range requests {
		for _, r := range f.Routers {
			calls.Go(func() { r.MustDo(ChatRequest(fmt.Sprintf("both-%d", n), 20, false)) })
		}
	}
	calls.Wait()
	f.WaitBills(requests)
	Eventually(t, "no bill is waiting", func() bool {
		return f.Routers[0].Vars().Ledger.WaitingBills+f.Routers[1].Vars().Ledger.WaitingBills == 0
	})
	f.WaitBills(requests)
	b := f.Budget()
	t.Logf("%v, %d rows in doubt", b, len(f.DoubtRows()))
	is.True(b.Spent > 0)
}
