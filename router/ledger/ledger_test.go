package ledger

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cuminrock.example/fleet/errkind"
)

const testBudget = "registry"

// A fleet that loses every third answer bills each request once, and a
// planned stop leaves nothing granted.
func TestBillsOnceUnderLostAnswers(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(t, "a", "b", "c")
	f.tables.loseAfter = 3
	_, err := TopUp(ctx, f.tables, "t1", testBudget, 10_000)
	is.NoErr(err)
	sum := int64(0)
	for i := range 60 {
		l := f.ledgers[f.members[i%3].Incarnation]
		r, err := l.Reserve(ctx, testBudget, "w", fmt.Sprint("r", i), 100)
		is.NoErr(err)
		is.NoErr(r.Settle(int64(i)))
		sum += int64(i)
	}
	for _, l := range f.ledgers {
		is.NoErr(l.Close(ctx))
	}
	s, err := Status(ctx, f.tables, testBudget)
	is.NoErr(err)
	is.Equal(s.Budget.Spent, sum)
	is.Equal(s.Budget.Granted+s.Budget.InDoubt, int64(0))
	bill, ok, err := ReadBill(ctx, f.tables, "r7")
	is.NoErr(err)
	is.True(ok)
	is.Equal(bill.Tokens, int64(7))
}

func TestRefusesWhatIsNotThere(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	f := newFleet(t, "a", "b")
	l := f.ledgers["i-a"]
	_, err := l.Reserve(ctx, "nobody", "w", "r", 5)
	is.Equal(errkind.Of(err), errkind.UnknownBudget)
	_, err = l.Reserve(ctx, "nobody", "w", "r", -5)
	is.Equal(errkind.Of(err), errkind.BadAmount)
	_, err = TopUp(ctx, f.tables, "t1", testBudget, 50)
	is.NoErr(err)
	_, err = l.Reserve(ctx, testBudget, "w", "r", 51)
	is.Equal(errkind.Of(err), errkind.BudgetExhausted)
	r, err := f.ledgers["i-b"].Reserve(ctx, testBudget, "w", "r", 50)
	is.NoErr(err)
	is.Equal(errkind.Of(r.Settle(60)), errkind.BillOverReservation)
}
