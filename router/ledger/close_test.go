package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A Close without unsettled bills must not block forever while the platform is
// unavailable. The grant that it cannot return stays covered.
func TestCloseDoesNotBlockOnUnavailablePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		f := newFleet(t, "a")
		l := f.ledgers["i-a"]
		_, err := TopUp(ctx, f.tables, "t1", testBudget, 1000)
		is.NoErr(err)
		r, err := l.Reserve(ctx, testBudget, "w", "r1", 100)
		is.NoErr(err)
		r.Release()
		f.tables.setDown(true)
		start := time.Now()
		is.True(l.Close(ctx) != nil)
		is.True(time.Since(start) <= 2*returnTimeout) // simulated time
		f.tables.setDown(false)
		s, err := Status(ctx, f.tables, testBudget)
		is.NoErr(err)
		is.True(s.Budget.Granted >= 100)
	})
}
