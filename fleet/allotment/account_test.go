package allotment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var testStart = time.Unix(1000, 0)

// newAccountWithTokens returns an account with a prepaid amount, after one
// committed transaction for wanted tokens.
func newAccountWithTokens(t *testing.T, prepaid, wanted int64) *Account {
	t.Helper()
	a := &Account{}
	a.SetPrepaid(prepaid)
	a.Sync(Rows{}, testStart)
	a.RecordDemand(wanted, 0, testStart)
	a.AddWaiting(wanted)
	tx, ok := a.NextTransaction(testStart)
	is.New(t).True(ok)
	after := tx.After
	after.TotalVersion, after.HolderVersion = 1, 1
	a.OnCommitted(after, tx, testStart)
	a.AddWaiting(-wanted)
	return a
}

func TestTransactionTakesWaitingTokensAndPrefetch(t *testing.T) {
	is := is.New(t)
	a := newAccountWithTokens(t, 10000, 100)
	is.True(a.Free() >= 100)
	is.True(a.Free() <= 100+10000/prefetchDivisor)
	is.True(a.Reserve(100, 0, testStart))
	a.Settle(100, 40)
	is.Equal(a.Rows().Taken-a.Free(), int64(40))
}

func TestTakesNothingWhenUnallocatedTokensAreTooFew(t *testing.T) {
	is := is.New(t)
	a := &Account{}
	a.SetPrepaid(100)
	a.Sync(Rows{Total: 60, TotalVersion: 4}, testStart)
	a.AddWaiting(41)
	_, ok := a.NextTransaction(testStart)
	is.True(!ok)
}

func TestSurplusIsReturnedWhenDemandEnds(t *testing.T) {
	is := is.New(t)
	a := newAccountWithTokens(t, 10000, 2000)
	before := a.Free()
	tx, ok := a.NextTransaction(testStart.Add(time.Minute))
	is.True(ok)
	is.True(tx.After.Returned > 0)
	is.True(a.Free() < before) // not held any more, before the transaction commits
	is.Equal(tx.After.Total, tx.Before.Total-tx.After.Returned)
}

func TestLoweredPrepaidAmountStopsReservations(t *testing.T) {
	is := is.New(t)
	a := newAccountWithTokens(t, 10000, 1000)
	a.SetPrepaid(10)
	is.True(!a.Reserve(1000, 0, testStart))
}

func TestLoweredPrepaidAmountServesFromWhatRemains(t *testing.T) {
	is := is.New(t)
	a := newAccountWithTokens(t, 10000, 1000)
	is.True(a.Reserve(100, 0, testStart))
	a.Settle(100, 100)
	a.SetPrepaid(500)
	tx, ok := a.NextTransaction(testStart)
	is.True(ok)
	is.Equal(tx.After.Total, int64(100)) // only the spent tokens stay taken
	a.Sync(tx.After, testStart)
	is.Equal(a.Unallocated(), int64(400))
	a.AddWaiting(200)
	tx, ok = a.NextTransaction(testStart)
	is.True(ok)
	a.Sync(tx.After, testStart)
	is.True(a.Reserve(200, 0, testStart))
}

func TestScarceTokensAreReservedForUrgentRequests(t *testing.T) {
	is := is.New(t)
	a := newAccountWithTokens(t, 4000, 400)
	a.SetPlatformDown(true, testStart)
	free := a.Free()
	is.True(!a.Reserve(free, 5, testStart)) // rank 0 has just requested 400
	is.True(a.Reserve(free, 0, testStart))
}

func TestNearlySpentBudgetIsReservedForSmallUrgentRequests(t *testing.T) {
	is := is.New(t)
	a := newAccountWithTokens(t, 450, 400) // few tokens are left unallocated
	free := a.Free()
	is.True(a.Reserve(free/2, 5, testStart)) // the more urgent requests use 400 each
	is.True(!a.Reserve(400, 5, testStart))
}

func TestUsageBoundHoldsUntilReplaced(t *testing.T) {
	is := is.New(t)
	a := newAccountWithTokens(t, 100000, 10)
	b := UsageBound{Limit: 5, Rate: 1, Since: testStart}
	a.AddBound(b)
	is.True(!a.Reserve(10, 0, testStart))
	is.True(a.BlockedByBound(10, testStart))
	is.True(a.Reserve(10, 0, testStart.Add(5*time.Second)))
	a.ConfirmBound(UsageBound{Limit: 1000, Since: testStart})
	is.True(!a.BlockedByBound(10, testStart))
}

func TestRecoveryBoundCoversUsageBound(t *testing.T) {
	is := is.New(t)
	b := UsageBound{Limit: 100, Rate: 10, Surge: 2, SurgeAfter: time.Second, Since: testStart}
	for _, elapsed := range []time.Duration{0, time.Second, 7 * time.Second} {
		is.True(b.MaxAfter(elapsed) >= b.At(testStart.Add(elapsed)))
	}
}

// simulateShares runs accounts for 20 s of virtual time, in which each serves
// requestsPerRound requests of 1,000 tokens every half second. It returns the
// accounts and the unspent part of the prepaid amount.
func simulateShares(t *testing.T, prepaid int64, requestsPerRound []int) ([]*Account, int64) {
	t.Helper()
	m := &storeModel{prepaid: prepaid, holders: make(map[int]row), processes: make(map[int]*routerProcess), now: testStart}
	for range requestsPerRound {
		m.startProcess()
	}
	for range 40 {
		m.now = m.now.Add(500 * time.Millisecond)
		for id, n := range requestsPerRound {
			a := &m.processes[id].account
			a.Sync(m.rowsFor(id), m.now)
			for range n {
				a.RecordDemand(1000, 0, m.now)
				if a.Reserve(1000, 0, m.now) {
					a.Settle(1000, 1000)
					prepaid -= 1000
				}
			}
			for range 3 {
				tx, ok := a.NextTransaction(m.now)
				if !ok || !m.commit(id, tx) {
					break
				}
				a.OnCommitted(m.rowsFor(id), tx, m.now)
			}
		}
	}
	accounts := make([]*Account, 0, len(requestsPerRound))
	for id := range requestsPerRound {
		accounts = append(accounts, &m.processes[id].account)
	}
	return accounts, prepaid
}

func TestOnlyRouterWithDemandHoldsMostUnallocatedTokens(t *testing.T) {
	is := is.New(t)
	accounts, unspent := simulateShares(t, 300000, []int{5})
	is.True(accounts[0].Free() > unspent*8/10)
}

func TestScarceTokensAreHeldInProportionToDemand(t *testing.T) {
	is := is.New(t)
	accounts, unspent := simulateShares(t, 420000, []int{6, 2})
	is.True(accounts[0].Free() > 2*accounts[1].Free())
	is.True(accounts[1].Free() > unspent/10)
}

func TestReturnAllKeepsPublishedDemand(t *testing.T) {
	is := is.New(t)
	a := newAccountWithTokens(t, 100000, 1000)
	published := a.Rows()
	is.True(published.Requests > 0)
	a.ReturnAll()
	tx, ok := a.NextTransaction(testStart.Add(time.Second))
	is.True(ok)
	is.True(tx.After.Requests >= published.Requests)
	is.True(tx.After.RequestedTokens >= published.RequestedTokens)
}
