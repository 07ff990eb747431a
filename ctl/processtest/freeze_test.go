package processtest

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/router/ledger"
)

// frozenFor is longer than every limit of the fleet's settings.
const frozenFor = 4 * time.Second

// A router is paused past every limit with streams open. Meanwhile its grant
// is closed and the rest of the budget is spent at the other router. Woken, it
// spends and bills no token that isn't covered.
func TestFrozenRouterWakes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 31, PrepaidTokens: 20_000, TokensPerSecond: 200})
	frozen, other := f.Routers[0], f.Routers[1]
	before := StartLoad(frozen, "before", 6, 60)
	Eventually(t, "the router serves", func() bool { return before.ServedCount() > 6 })

	frozen.Pause()
	f.closeGrants(frozen)
	rest := StartLoad(other, "rest", 12, 60)
	time.Sleep(frozenFor)
	f.Budget()
	frozen.Resume()
	Eventually(t, "the budget is used up", func() bool {
		return rest.refusals("budget_exhausted")+rest.refusals("budget_unreachable") > 0
	})
	tallies := []*CallResults{before.Stop(), rest.Stop()}
	f.checkBills(tallies...)
	b := f.Budget()
	t.Logf("after the wake: %v, duplicates %d", b, frozen.Vars().Ledger.DuplicateRuns)
	is.Equal(tallies[1].Interrupted, nil)
}

// A frozen router's caller resumes at the other router; the frozen one wakes
// later and the request still has one bill.
func TestFrozenRouterLosesStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 32})
	frozen, other := f.Routers[0], f.Routers[1]
	q := ChatRequest("moved", 60, true)
	var a StreamedResponse
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := frozen.ReadStream(ctx, q, &a, func(a *StreamedResponse) bool {
		if a.Tokens == 20 {
			frozen.Pause()
		}
		return false
	})
	is.True(errors.Is(err, context.DeadlineExceeded)) // the caller gave up
	other.MustReadStream(q, &a)
	is.Equal(a.Tokens, 60)
	frozen.Resume()
	f.WaitConverged()
	Eventually(t, "the woken router has no stream left", func() bool { return frozen.Vars().Streams == 0 })
	Eventually(t, "the woken router has no bill left", func() bool { return frozen.Vars().Ledger.WaitingBills == 0 })
	bills := f.WaitBills(1)
	is.Equal(bills[q.ID()].Tokens, a.Usage)
	is.Equal(f.engineRuns(q.ID()), 1)
}

// closeGrants closes the open grants of a router, as an operator does for one
// that seems dead.
func (f *Fleet) closeGrants(r *Router) {
	f.t.Helper()
	status, err := ledger.Status(context.Background(), f.rows, BudgetName)
	if err != nil {
		f.t.Fatal(err)
	}
	closed := 0
	for _, g := range status.Grants {
		if g.VmName != r.Name || g.Closed {
			continue
		}
		closed++
		if _, err := ledger.CloseGrant(context.Background(), f.rows, BudgetName, g.Id); err != nil {
			f.t.Fatal(err)
		}
	}
	if closed == 0 {
		f.t.Fatalf("%s holds no open grant of %v", r.Name, status.Grants)
	}
}

// checkBills waits until every served request is billed as its caller was
// told, and checks that no other request is billed beyond those of broken
// answers.
func (f *Fleet) checkBills(tallies ...*CallResults) {
	f.t.Helper()
	broken := 0
	for _, y := range tallies {
		broken += len(y.Interrupted)
		for id, usage := range y.UsageByRequest {
			Eventually(f.t, "the bill of "+id, func() bool { return f.Bills()[id] != nil })
			if got := f.Bills()[id].Tokens; got != usage {
				f.t.Errorf("bill of %s: %d tokens, the caller was told %d", id, got, usage)
			}
		}
	}
	f.waitSpent()
	served := 0
	for _, y := range tallies {
		served += len(y.UsageByRequest)
	}
	if bills := len(f.Bills()); bills > served+broken {
		f.t.Errorf("%d bills for %d served and %d broken requests", bills, served, broken)
	}
}
