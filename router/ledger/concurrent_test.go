package ledger

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/router/wait"
)

// Many requests at three routers, with lost responses and outages of the
// platform: exactly the reported usage is billed, and Close returns the rest.
func TestConcurrentRequestsAreBilledExactly(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(t, "a", "b", "c")
	for b := range 4 {
		_, err := TopUp(ctx, f.tables, fmt.Sprint("t", b), fmt.Sprint("b", b), 20_000)
		is.NoErr(err)
	}
	f.tables.loseEvery(7)
	var used, inDoubt atomic.Int64
	var wg sync.WaitGroup
	for worker := range 6 {
		wg.Go(func() {
			random := rand.New(rand.NewSource(int64(worker)))
			for i := range 150 {
				l := f.ledgers[f.members[random.Intn(3)].Incarnation]
				id := fmt.Sprint(worker, "-", i)
				r, err := l.Reserve(ctx, fmt.Sprint("b", random.Intn(4)), "w", id, 50)
				if err != nil {
					continue
				}
				endReservation(r, random, &used, &inDoubt)
			}
		})
	}
	for range 5 {
		f.tables.setDown(true)
		wait.For(ctx, 5*time.Millisecond)
		f.tables.setDown(false)
		wait.For(ctx, 20*time.Millisecond)
	}
	wg.Wait()
	for _, l := range f.ledgers {
		is.NoErr(l.Close(ctx))
		is.Equal(l.Stats().ConservationBroken, uint64(0))
	}
	var spent, doubt, granted int64
	for b := range 4 {
		s, err := Status(ctx, f.tables, fmt.Sprint("b", b))
		is.NoErr(err)
		spent += s.Budget.Spent
		doubt += s.Budget.InDoubt
		granted += s.Budget.Granted
	}
	is.True(spent > 0)
	is.Equal([]int64{spent, doubt, granted}, []int64{used.Load(), inDoubt.Load(), 0})
}

func endReservation(r *Reservation, random *rand.Rand, used, inDoubt *atomic.Int64) {
	tokens := random.Int63n(51)
	switch random.Intn(10) {
	case 0:
		r.Release()
	case 1:
		r.SettleUnknown()
		inDoubt.Add(50)
	default:
		_ = r.Settle(tokens)
		used.Add(tokens)
	}
	// Calls after the first have no effect.
	r.Release()
	r.SettleUnknown()
}
