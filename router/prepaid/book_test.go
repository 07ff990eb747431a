package prepaid

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platform"
	"cuminrock.example/router/platform/platformfake"
)

const (
	// long is a patience that no test waits out.
	long = 20 * time.Second
	// workspaceName is the workspace of the tests.
	workspaceName = "w"
)

// clock is a platform clock that shows the local time, or an earlier one.
type clock struct{ behind time.Duration }

func (c clock) Estimate(local time.Time) (int64, bool) {
	return local.Add(-c.behind).UnixMilli(), true
}

func (c clock) Latest(local time.Time) (int64, bool) { return c.Estimate(local) }

func workspace(prepaid int64) *catalog.Workspace {
	return &catalog.Workspace{Name: workspaceName, PrepaidTokens: &prepaid}
}

func newBook(tables platform.Tables, holder string) *Manager {
	return newBookAt(tables, holder, clock{})
}

func newBookAt(tables platform.Tables, holder string, c clock) *Manager {
	return NewManager(Options{Tables: tables, Clock: c, Machine: "m." + holder[:1], Holder: holder, PreviousRunsEndedBy: time.Now(), Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(), Now: time.Now})
}

func totalTaken(t *testing.T, tables platform.Tables) int64 {
	t.Helper()
	is := is.New(t)
	total, holder := rowKeys(workspaceName, "none")
	found, err := tables.Read(context.Background(), total)
	is.NoErr(err)
	rows, err := decodeRows(found, total, holder)
	is.NoErr(err)
	return rows.Total
}

func TestReservesWithinTheBalanceOnly(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	b := newBook(tables, "a1")
	hold, err := b.Reserve(context.Background(), "r", workspace(100), 70, 0, long)
	is.NoErr(err)
	_, err = b.Reserve(context.Background(), "r", workspace(100), 40, 0, long)
	is.Equal(errkind.KindOf(err), errkind.BudgetUnreachable)
	hold.Settle(30)
	hold, err = b.Reserve(context.Background(), "r", workspace(100), 40, 0, long)
	is.NoErr(err)
	hold.Settle(40)
	is.NoErr(b.Close(context.Background()))
	is.Equal(totalTaken(t, tables), int64(70))
}

func TestLargeRequestDoesNotHoldUpSmallOnes(t *testing.T) {
	is := is.New(t)
	b := newBook(&platformfake.Fake{}, "a1")
	hold, err := b.Reserve(context.Background(), "r", workspace(100), 50, 0, long)
	is.NoErr(err)
	large := make(chan error)
	go func() {
		_, err := b.Reserve(context.Background(), "r", workspace(100), 90, 0, long)
		large <- err
	}()
	is.Equal(errkind.KindOf(<-large), errkind.BudgetUnreachable)
	_, err = b.Reserve(context.Background(), "r", workspace(100), 50, 0, long)
	is.NoErr(err)
	hold.Settle(0)
}

func TestTwoRoutersShareOneBalance(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	a, b := newBook(tables, "a1"), newBook(tables, "b1")
	var spent int64
	for i := range 40 {
		book := []*Manager{a, b}[i%2]
		hold, err := book.Reserve(context.Background(), "r", workspace(1000), 30, 0, long)
		if err != nil {
			continue
		}
		spent += 30
		hold.Settle(30)
	}
	is.True(spent <= 1000)
	is.True(spent > 0)
	is.NoErr(a.Close(context.Background()))
	is.NoErr(b.Close(context.Background()))
	is.Equal(totalTaken(t, tables), spent)
}

func TestLostAnswersLoseNoTokens(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	tables.SetFates(platformfake.AnswerLost, platformfake.AnswerLost)
	b := newBook(tables, "a1")
	hold, err := b.Reserve(context.Background(), "r", workspace(100), 60, 0, long)
	is.NoErr(err) // the refused repeat brings the row as it is
	hold.Settle(60)
}

func TestOutageRefusesWithATimeToComeBack(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	tables.SetDown(true)
	b := newBook(tables, "a1")
	_, err := b.Reserve(context.Background(), "r", workspace(100), 60, 0, 30*time.Millisecond)
	is.Equal(errkind.KindOf(err), errkind.BudgetUnreachable)
	is.True(errkind.FromError(err).RetryAfter > 0)
}

func TestRegainedPlatformServesAgain(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	other := newBook(tables, "b1")
	all, err := other.Reserve(context.Background(), "r", workspace(100), 100, 0, long)
	is.NoErr(err)
	b := newBook(tables, "a1")
	_, err = b.Reserve(context.Background(), "r", workspace(100), 60, 0, long)
	is.True(err != nil) // nothing is left
	tables.SetDown(true)
	_, err = b.Reserve(context.Background(), "r", workspace(100), 60, 0, 30*time.Millisecond)
	is.True(err != nil)
	tables.SetDown(false)
	all.Settle(0)
	is.NoErr(other.Close(context.Background()))
	waitFor(t, func() bool {
		_, err = b.Reserve(context.Background(), "r", workspace(100), 60, 0, 10*time.Millisecond)
		return err == nil
	})
}

func TestNextRunOnTheMachineGivesBackTheRest(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	first := newBook(tables, "a1")
	hold, err := first.Reserve(context.Background(), "r", workspace(100000), 10, 0, long)
	is.NoErr(err)
	hold.Settle(10)
	held := totalTaken(t, tables)
	is.True(held > 10)
	waitForNote(t, tables)
	// The first run is left as it is, as by a kill.
	_ = newBook(tables, "a2")
	waitFor(t, func() bool { return totalTaken(t, tables) < held })
	is.True(totalTaken(t, tables) >= 10)
}

func TestNothingIsGivenBackWhereTheClockWentBack(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	first := newBook(tables, "a1")
	hold, err := first.Reserve(context.Background(), "r", workspace(100000), 10, 0, long)
	is.NoErr(err)
	hold.Settle(10)
	held := totalTaken(t, tables)
	waitForNote(t, tables)
	next := newBookAt(tables, "a2", clock{behind: time.Hour})
	hold, err = next.Reserve(context.Background(), "r", workspace(100000), 10, 0, long)
	is.NoErr(err)
	hold.Settle(0)
	is.NoErr(next.Close(context.Background()))
	is.Equal(totalTaken(t, tables), held) // the first run's part stays taken
}

// waitForNote waits for the note of machine a.
func waitForNote(t *testing.T, tables platform.Tables) {
	t.Helper()
	waitFor(t, func() bool {
		found, err := tables.Read(context.Background(), "routers/m.a/note")
		return err == nil && len(found) == 1
	})
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal("the awaited state did not come")
}

func TestWorkspacesWithoutBudgetAreNotHeldUp(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	tables.SetDown(true)
	b := newBook(tables, "a1")
	hold, err := b.Reserve(context.Background(), "r", &catalog.Workspace{Name: "free"}, 1<<40, 0, 0)
	is.NoErr(err)
	hold.Settle(1 << 40)
}
