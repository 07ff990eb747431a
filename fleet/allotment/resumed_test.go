package allotment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against resumed streams that never get tokens, as smaller requests take what is
// returned, and against tokens that are kept for streams that don't come back.
func TestTokensAreKeptForResumedStreams(t *testing.T) {
	is := is.New(t)
	a := &Account{}
	a.SetPrepaid(100)
	a.Sync(Rows{Total: 100, Taken: 100, TotalVersion: 4, HolderVersion: 4}, testStart)
	is.True(a.Reserve(50, 0, testStart))
	is.True(!a.Reserve(60, ResumedRank, testStart))
	a.KeepForResumed(60, testStart)
	is.True(!a.Reserve(10, 0, testStart))
	a.Settle(50, 40)
	is.True(a.Reserve(60, ResumedRank, testStart)) // it came back
	a.Settle(60, 0)
	is.True(a.Reserve(10, 0, testStart))
	a.KeepForResumed(60, testStart)
	is.True(!a.Reserve(10, 0, testStart))
	is.True(a.Reserve(10, 0, testStart.Add(resumedHold))) // it didn't
}

// While tokens are plentiful nothing is kept.
func TestNothingIsKeptOfAPlentifulBalance(t *testing.T) {
	is := is.New(t)
	a := &Account{}
	a.SetPrepaid(1000)
	a.Sync(Rows{Total: 100, Taken: 100, TotalVersion: 4, HolderVersion: 4}, testStart)
	a.KeepForResumed(200, testStart)
	is.True(a.Reserve(90, 9, testStart))
}

// Guards against tokens that are kept from other requests long after the start, whenever a
// single stream is resumed near the end of a balance.
func TestTokensAreKeptForResumedStreamsSoonAfterTheStartOnly(t *testing.T) {
	is := is.New(t)
	var a Account
	a.SetPrepaid(100)
	a.Sync(Rows{Total: 100, Taken: 100, TotalVersion: 4, HolderVersion: 4}, testStart)
	is.True(a.Reserve(50, 0, testStart))
	later := testStart.Add(resumedPeriod + time.Millisecond)
	a.KeepForResumed(60, later)
	is.True(a.Reserve(10, 0, later))
}
