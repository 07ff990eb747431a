package processtest

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/router/ledger"
)

// pauseDuration is longer than every timeout that Fleet.routerSettings sets, of
// which the longest is ParkGrace.
const pauseDuration = 4 * time.Second

// A router with open streams is paused for pauseDuration. Meanwhile its grant is
// closed, and the other router spends the rest of the budget. After it resumes,
// the paused router must neither spend nor bill tokens that aren't covered.
func TestPausedRouterResumes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 31, PrepaidTokens: 20_000, TokensPerSecond: 200})
	paused, other := f.Routers[0], f.Routers[1]
	pausedLoad := StartLoad(paused, "before", 6, 60)
	Eventually(t, "the router serves requests", func() bool { return pausedLoad.ServedCount() > 6 })

	paused.Pause()
	f.closeGrants(paused)
	otherLoad := StartLoad(other, "rest", 12, 60)
	time.Sleep(pauseDuration)
	f.Budget()
	paused.Resume()
	Eventually(t, "the budget is exhausted", func() bool {
		return otherLoad.refusalCount("budget_exhausted")+otherLoad.refusalCount("budget_unreachable") > 0
	})
	results := []*CallResults{pausedLoad.Stop(), otherLoad.Stop()}
	f.checkBills(results...)
	b := f.Budget()
	t.Logf("after the resume: %v, duplicates %d", b, paused.Vars().Ledger.DuplicateRuns)
	is.Equal(results[1].Interrupted, nil)
}

// The caller of a paused router resumes its stream at the other router; the
// paused router resumes later. The request must have one run and one bill.
func TestPausedRouterLosesStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 32})
	paused, other := f.Routers[0], f.Routers[1]
	q := ChatRequest("moved", 60, true)
	var stream StreamedResponse
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := paused.ReadStream(ctx, q, &stream, func(stream *StreamedResponse) bool {
		if stream.Tokens == 20 {
			paused.Pause()
		}
		return false
	})
	is.True(errors.Is(err, context.DeadlineExceeded)) // the caller timed out
	other.MustReadStream(q, &stream)
	is.Equal(stream.Tokens, 60)
	paused.Resume()
	f.WaitConverged()
	Eventually(t, "the resumed router has no stream left", func() bool { return paused.Vars().Streams == 0 })
	Eventually(t, "the resumed router has no bill left", func() bool { return paused.Vars().Ledger.WaitingBills == 0 })
	bills := f.WaitBills(1)
	is.Equal(bills[q.ID()].Tokens, stream.Usage)
	is.Equal(f.engineRuns(q.ID()), 1)
}

// closeGrants closes the open grants of a router, as an operator does for a
// router that appears to have failed.
func (f *Fleet) closeGrants(r *Router) {
	f.t.Helper()
	status, err := ledger.Status(context.Background(), f.client, BudgetName)
	if err != nil {
		f.t.Fatal(err)
	}
	closed := 0
	for _, g := range status.Grants {
		if g.VmName != r.Name || g.Closed {
			continue
		}
		closed++
		if _, err := ledger.CloseGrant(context.Background(), f.client, BudgetName, g.Id); err != nil {
			f.t.Fatal(err)
		}
	}
	if closed == 0 {
		f.t.Fatalf("%s holds no open grant; all grants of the budget: %v", r.Name, status.Grants)
	}
}

// checkBills waits until every served request is billed and checks that the bill
// equals the reported usage. Besides those, only interrupted requests may have a
// bill.
func (f *Fleet) checkBills(results ...*CallResults) {
	f.t.Helper()
	interrupted := 0
	for _, r := range results {
		interrupted += len(r.Interrupted)
		for id, usage := range r.UsageByRequest {
			Eventually(f.t, "the bill of "+id, func() bool { return f.Bills()[id] != nil })
			if got := f.Bills()[id].Tokens; got != usage {
				f.t.Errorf("bill of %s: %d tokens, but the response reported %d", id, got, usage)
			}
		}
	}
	f.waitBillsMatchSpent()
	served := 0
	for _, r := range results {
		served += len(r.UsageByRequest)
	}
	if bills := len(f.Bills()); bills > served+interrupted {
		f.t.Errorf("%d bills for %d served and %d interrupted requests", bills, served, interrupted)
	}
}
