package allotment

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// servedNearTheEnd plays a balance that ends while demand goes on, from urgent requests of
// 12,380 tokens and twice as many less urgent ones of 2,425. It returns the shares that
// are served in the 20 s after the first refusal.
func servedNearTheEnd(keepForAllSizes bool) (urgent, other float64) {
	const perSecond = 10
	random := rand.New(rand.NewPCG(5, 6))
	now := time.Unix(1000, 0)
	a := &Account{}
	a.SetPrepaid(4_000_000)
	a.SetKeepForAllSizes(keepForAllSizes)
	a.Sync(Rows{}, now)
	version := uint64(0)
	var refusedAt time.Time
	var asked, served [2]float64
	for range 150 * perSecond {
		now = now.Add(time.Second / perSecond)
		tokens, rank := int64(2_425), 1
		if random.IntN(3) == 0 {
			tokens, rank = 12_380, 0
		}
		a.RecordDemand(tokens, rank, now)
		ok := a.Reserve(tokens, rank, now)
		if !ok {
			a.AddWaiting(tokens)
			if tx, needed := a.NextTransaction(now); needed {
				version++
				rows := tx.After
				rows.TotalVersion, rows.HolderVersion = version, version
				a.OnCommitted(rows, tx, now)
			}
			a.AddWaiting(-tokens)
			ok = a.Reserve(tokens, rank, now)
		}
		if ok {
			a.Settle(tokens, tokens*9/10) // the rest comes back
		}
		if !ok && refusedAt.IsZero() {
			refusedAt = now
		}
		if !refusedAt.IsZero() && now.Sub(refusedAt) < 20*time.Second {
			asked[rank]++
			if ok {
				served[rank]++
			}
		}
	}
	return served[0] / asked[0], served[1] / asked[1]
}

// Guards against urgent requests that get less than less urgent ones near the end of a
// balance because their prompts are longer, and against the latter getting nothing.
func TestLastTokensServeUrgentRequestsOfAnySize(t *testing.T) {
	is := is.New(t)
	urgentBefore, otherBefore := servedNearTheEnd(false)
	urgent, other := servedNearTheEnd(true)
	t.Logf("served before: %.2f of the urgent, %.2f of the others; after: %.2f and %.2f", urgentBefore, otherBefore, urgent, other)
	is.True(urgentBefore < otherBefore)
	is.True(urgent >= other)
	is.True(other > 0)
}
