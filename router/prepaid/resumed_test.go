package prepaid

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/allotment"
	"cuminrock.example/router/platformclient/platformfake"
)

// resumedShares lets a balance run out under small new requests of rank 5, and asks for the
// tokens of large resumed streams at a rank meanwhile. It returns the shares of both that
// got theirs.
func resumedShares(t *testing.T, rank int) (resumed, fresh float64) {
	const smallTokens, largeTokens, prepaid = 3000, 12_380, 500_000
	synctest.Test(t, func(t *testing.T) {
		m := newManager(&platformfake.Fake{}, "a1")
		var running sync.WaitGroup
		var got, asked [2]atomic.Int64
		ask := func(kind int, tokens int64, rank int) {
			running.Go(func() {
				asked[kind].Add(1)
				reservation, err := m.Reserve(context.Background(), "r", workspace(prepaid), tokens, rank, 500*time.Millisecond)
				if err != nil {
					return
				}
				got[kind].Add(1)
				time.Sleep(2 * time.Second)
				reservation.Settle(tokens / 2)
			})
		}
		for i := range 400 {
			time.Sleep(25 * time.Millisecond)
			if i < 160 {
				ask(1, smallTokens, 5)
				continue
			}
			if i == 160 {
				got[1].Store(0)
				asked[1].Store(0)
			}
			ask(1, smallTokens, 5)
			if i < 320 {
				ask(0, largeTokens, rank)
			}
		}
		running.Wait()
		t.Logf("rank %d: resumed %d of %d, new %d of %d", rank, got[0].Load(), asked[0].Load(), got[1].Load(), asked[1].Load())
		resumed = float64(got[0].Load()) / float64(asked[0].Load())
		fresh = float64(got[1].Load()) / float64(asked[1].Load())
		_ = m.Close(context.Background())
	})
	return resumed, fresh
}

// Guards against resumed streams that get no tokens while small new requests take those that
// are returned.
func TestResumedStreamsGetTheLastTokens(t *testing.T) {
	is := is.New(t)
	resumed, fresh := resumedShares(t, allotment.ResumedRank)
	is.True(2*resumed >= fresh)
	resumed, fresh = resumedShares(t, 0) // a rank of routes isn't enough
	is.True(2*resumed < fresh)
}
