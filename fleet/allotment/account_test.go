package allotment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// taken makes an account of a prepaid amount that took what it asked for.
func taken(t *testing.T, prepaid, wanted int64) *Account {
	t.Helper()
	a := &Account{}
	a.SetPrepaid(prepaid)
	a.Sync(Rows{}, start)
	a.RecordDemand(wanted, 0, start)
	a.AddWaiting(wanted)
	step, ok := a.NextTransaction(start)
	is.New(t).True(ok)
	after := step.After
	after.TotalVersion, after.HolderVersion = 1, 1
	a.OnCommitted(after, step, start)
	a.AddWaiting(-wanted)
	return a
}

func TestTakesWhatWaitsAndSomeAhead(t *testing.T) {
	is := is.New(t)
	a := taken(t, 10000, 100)
	is.True(a.Free() >= 100)
	is.True(a.Free() <= 100+10000/aheadDivisor)
	is.True(a.Reserve(100, 0, start))
	a.Settle(100, 40)
	is.Equal(a.Rows().Taken-a.Free(), int64(40))
}

func TestTakesNothingThatIsNotLeft(t *testing.T) {
	is := is.New(t)
	a := &Account{}
	a.SetPrepaid(100)
	a.Sync(Rows{Total: 60, TotalVersion: 4}, start)
	a.AddWaiting(41)
	_, ok := a.NextTransaction(start)
	is.True(!ok)
}

func TestSurplusGoesBackWhenDemandEnds(t *testing.T) {
	is := is.New(t)
	a := taken(t, 10000, 2000)
	before := a.Free()
	step, ok := a.NextTransaction(start.Add(time.Minute))
	is.True(ok)
	is.True(step.After.Returned > 0)
	is.True(a.Free() < before) // no longer held from here on
	is.Equal(step.After.Total, step.Before.Total-step.After.Returned)
}

func TestLoweredBudgetStopsSpending(t *testing.T) {
	is := is.New(t)
	a := taken(t, 10000, 1000)
	a.SetPrepaid(10)
	is.True(!a.Reserve(1000, 0, start))
}

func TestLoweredBudgetServesOnWithWhatRemains(t *testing.T) {
	is := is.New(t)
	a := taken(t, 10000, 1000)
	is.True(a.Reserve(100, 0, start))
	a.Settle(100, 100)
	a.SetPrepaid(500)
	step, ok := a.NextTransaction(start)
	is.True(ok)
	is.Equal(step.After.Total, int64(100)) // only what is spent stays taken
	a.Sync(step.After, start)
	is.Equal(a.Unallocated(), int64(400))
	a.AddWaiting(200)
	step, ok = a.NextTransaction(start)
	is.True(ok)
	a.Sync(step.After, start)
	is.True(a.Reserve(200, 0, start))
}

func TestScarceTokensAreKeptForUrgentRequests(t *testing.T) {
	is := is.New(t)
	a := taken(t, 4000, 400)
	a.SetPlatformDown(true, start)
	free := a.Free()
	is.True(!a.Reserve(free, 5, start)) // rank 0 asked for 400 just now
	is.True(a.Reserve(free, 0, start))
}

func TestNearItsEndABudgetIsKeptForSmallRequestsOnly(t *testing.T) {
	is := is.New(t)
	a := taken(t, 450, 400) // little is left
	free := a.Free()
	is.True(a.Reserve(free/2, 5, start)) // what is more urgent takes 400 each
	is.True(!a.Reserve(400, 5, start))
}

func TestPromiseBindsUntilTheNext(t *testing.T) {
	is := is.New(t)
	a := taken(t, 100000, 10)
	p := UsageBound{Limit: 5, Rate: 1, Since: start}
	a.AddBound(p)
	is.True(!a.Reserve(10, 0, start))
	is.True(a.BlockedByBound(10, start))
	is.True(a.Reserve(10, 0, start.Add(5*time.Second)))
	a.ConfirmBound(UsageBound{Limit: 1000, Since: start})
	is.True(!a.BlockedByBound(10, start))
}

func TestBoundOfADeadRunCoversItsPromise(t *testing.T) {
	is := is.New(t)
	p := UsageBound{Limit: 100, Rate: 10, Surge: 2, SurgeAfter: time.Second, Since: start}
	for _, elapsed := range []time.Duration{0, time.Second, 7 * time.Second} {
		is.True(p.MaxAfter(elapsed) >= p.At(start.Add(elapsed)))
	}
}

// shares lets accounts take requests of 1,000 tokens for 20 s, as many each half
// second as asks says, and returns the accounts and what is left of the budget.
func shares(t *testing.T, prepaid int64, asks []int) ([]*Account, int64) {
	t.Helper()
	w := &world{prepaid: prepaid, holders: make(map[int]row), runs: make(map[int]*run), now: start}
	for range asks {
		w.start()
	}
	for range 40 {
		w.now = w.now.Add(500 * time.Millisecond)
		for id, n := range asks {
			a := &w.runs[id].account
			a.Sync(w.rowsOf(id), w.now)
			for range n {
				a.RecordDemand(1000, 0, w.now)
				if a.Reserve(1000, 0, w.now) {
					a.Settle(1000, 1000)
					prepaid -= 1000
				}
			}
			for range 3 {
				step, ok := a.NextTransaction(w.now)
				if !ok || !w.commit(id, step) {
					break
				}
				a.OnCommitted(w.rowsOf(id), step, w.now)
			}
		}
	}
	accounts := make([]*Account, 0, len(asks))
	for id := range asks {
		accounts = append(accounts, &w.runs[id].account)
	}
	return accounts, prepaid
}

func TestTheOnlyRouterThatIsAskedHoldsMostOfWhatIsLeft(t *testing.T) {
	is := is.New(t)
	accounts, left := shares(t, 300000, []int{5})
	is.True(accounts[0].Free() > left*8/10)
}

func TestScarceTokensAreHeldByShareOfTheDemand(t *testing.T) {
	is := is.New(t)
	accounts, left := shares(t, 420000, []int{6, 2})
	is.True(accounts[0].Free() > 2*accounts[1].Free())
	is.True(accounts[1].Free() > left/10)
}

func TestAPlannedStopTakesBackNothingThatWasTold(t *testing.T) {
	is := is.New(t)
	a := taken(t, 100000, 1000)
	told := a.Rows()
	is.True(told.Requests > 0)
	a.ReturnAll()
	step, ok := a.NextTransaction(start.Add(time.Second))
	is.True(ok)
	is.True(step.After.Requests >= told.Requests)
	is.True(step.After.RequestedTokens >= told.RequestedTokens)
}
