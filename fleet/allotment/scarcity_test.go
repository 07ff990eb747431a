package allotment

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Pattern: a balance ends while demand goes on, from small urgent requests and
// large less urgent ones. The small ones, a twenty-fifth of the tokens asked for,
// are still served for five seconds after the first large one was refused.
func TestLastTokensServeTheSmallUrgentRequests(t *testing.T) {
	is := is.New(t)
	const small, large, perSecond = 500, 12_000, 10
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1000, 0)
	a := &Account{}
	a.SetPrepaid(4_000_000)
	a.Sync(Rows{}, now)
	version := uint64(0)
	var largeRefusedAt time.Time
	smallAsked, smallServed := 0, 0
	for range 100 * perSecond {
		now = now.Add(time.Second / perSecond)
		tokens, rank := int64(small), 0
		if random.IntN(2) == 0 {
			tokens, rank = large, 1
		}
		a.RecordDemand(tokens, rank, now)
		served := a.Reserve(tokens, rank, now)
		if !served {
			a.AddWaiting(tokens)
			if tx, needed := a.NextTransaction(now); needed {
				version++
				rows := tx.After
				rows.TotalVersion, rows.HolderVersion = version, version
				a.OnCommitted(rows, tx, now)
			}
			a.AddWaiting(-tokens)
			served = a.Reserve(tokens, rank, now)
		}
		if served {
			a.Settle(tokens, tokens)
		}
		if rank == 1 && !served && largeRefusedAt.IsZero() {
			largeRefusedAt = now
		}
		if rank == 0 && !largeRefusedAt.IsZero() && now.Sub(largeRefusedAt) < 5*time.Second {
			smallAsked++
			if served {
				smallServed++
			}
		}
	}
	t.Logf("%d of %d small requests served in the 5 s after the first refusal", smallServed, smallAsked)
	is.True(!largeRefusedAt.IsZero())
	is.True(smallServed*10 >= smallAsked*9)
}
