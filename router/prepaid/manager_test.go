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
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/platformclient/platformfake"
)

const (
	// longWait is a bound that no test reaches.
	longWait      = 20 * time.Second
	workspaceName = "w"
)

// clock is a platform clock that runs behind the local time by a fixed amount.
type clock struct{ behind time.Duration }

func (c clock) LowerBound(local time.Time) (int64, bool) {
	return local.Add(-c.behind).UnixMilli(), true
}

func (c clock) UpperBound(local time.Time) (int64, bool) { return c.LowerBound(local) }

func workspace(prepaid int64) *catalog.Workspace {
	return &catalog.Workspace{Name: workspaceName, PrepaidTokens: &prepaid}
}

func newManager(tables platformclient.TableStore, holder string) *Manager {
	return newManagerAt(tables, holder, clock{})
}

func newManagerAt(tables platformclient.TableStore, holder string, c clock) *Manager {
	return NewManager(Options{Tables: tables, Clock: c, Machine: "m." + holder[:1], Holder: holder, PreviousRunsEndedBy: time.Now(), Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(), Now: time.Now})
}

func totalTaken(t *testing.T, tables platformclient.TableStore) int64 {
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
	m := newManager(tables, "a1")
	reservation, err := m.Reserve(context.Background(), "r", workspace(100), 70, 0, longWait)
	is.NoErr(err)
	_, err = m.Reserve(context.Background(), "r", workspace(100), 40, 0, longWait)
	is.Equal(errkind.KindOf(err), errkind.BudgetUnreachable)
	reservation.Settle(30)
	reservation, err = m.Reserve(context.Background(), "r", workspace(100), 40, 0, longWait)
	is.NoErr(err)
	reservation.Settle(40)
	is.NoErr(m.Close(context.Background()))
	is.Equal(totalTaken(t, tables), int64(70))
}

func TestLargeRequestDoesNotBlockSmallOnes(t *testing.T) {
	is := is.New(t)
	m := newManager(&platformfake.Fake{}, "a1")
	reservation, err := m.Reserve(context.Background(), "r", workspace(100), 50, 0, longWait)
	is.NoErr(err)
	large := make(chan error)
	go func() {
		_, err := m.Reserve(context.Background(), "r", workspace(100), 90, 0, longWait)
		large <- err
	}()
	is.Equal(errkind.KindOf(<-large), errkind.BudgetUnreachable)
	_, err = m.Reserve(context.Background(), "r", workspace(100), 50, 0, longWait)
	is.NoErr(err)
	reservation.Settle(0)
}

func TestTwoRoutersShareOneBalance(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	a, b := newManager(tables, "a1"), newManager(tables, "b1")
	var consumed int64
	for i := range 40 {
		manager := []*Manager{a, b}[i%2]
		reservation, err := manager.Reserve(context.Background(), "r", workspace(1000), 30, 0, longWait)
		if err != nil {
			continue
		}
		consumed += 30
		reservation.Settle(30)
	}
	is.True(consumed <= 1000)
	is.True(consumed > 0)
	is.NoErr(a.Close(context.Background()))
	is.NoErr(b.Close(context.Background()))
	is.Equal(totalTaken(t, tables), consumed)
}

func TestLostResponsesLoseNoTokens(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	tables.SetCommitFaults(platformfake.ResponseLost, platformfake.ResponseLost)
	m := newManager(tables, "a1")
	reservation, err := m.Reserve(context.Background(), "r", workspace(100), 60, 0, longWait)
	is.NoErr(err) // the repeat conflicts, and its response has the current row
	reservation.Settle(60)
}

func TestOutageRefusalHasRetryAfter(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	tables.SetDown(true)
	m := newManager(tables, "a1")
	_, err := m.Reserve(context.Background(), "r", workspace(100), 60, 0, 30*time.Millisecond)
	is.Equal(errkind.KindOf(err), errkind.BudgetUnreachable)
	is.True(errkind.FromError(err).RetryAfter > 0)
}

func TestReservesAgainAfterOutage(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	other := newManager(tables, "b1")
	all, err := other.Reserve(context.Background(), "r", workspace(100), 100, 0, longWait)
	is.NoErr(err)
	m := newManager(tables, "a1")
	_, err = m.Reserve(context.Background(), "r", workspace(100), 60, 0, longWait)
	is.True(err != nil) // nothing is left
	tables.SetDown(true)
	_, err = m.Reserve(context.Background(), "r", workspace(100), 60, 0, 30*time.Millisecond)
	is.True(err != nil)
	tables.SetDown(false)
	all.Settle(0)
	is.NoErr(other.Close(context.Background()))
	waitFor(t, func() bool {
		_, err = m.Reserve(context.Background(), "r", workspace(100), 60, 0, 10*time.Millisecond)
		return err == nil
	})
}

func TestNextRunReturnsUnusedTokens(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	first := newManager(tables, "a1")
	reservation, err := first.Reserve(context.Background(), "r", workspace(100000), 10, 0, longWait)
	is.NoErr(err)
	reservation.Settle(10)
	held := totalTaken(t, tables)
	is.True(held > 10)
	waitForNote(t, tables)
	// The first run is not closed, as after a kill.
	_ = newManager(tables, "a2")
	waitFor(t, func() bool { return totalTaken(t, tables) < held })
	is.True(totalTaken(t, tables) >= 10)
}

func TestNothingIsReturnedWhenPlatformClockWentBack(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	first := newManager(tables, "a1")
	reservation, err := first.Reserve(context.Background(), "r", workspace(100000), 10, 0, longWait)
	is.NoErr(err)
	reservation.Settle(10)
	held := totalTaken(t, tables)
	waitForNote(t, tables)
	next := newManagerAt(tables, "a2", clock{behind: time.Hour})
	reservation, err = next.Reserve(context.Background(), "r", workspace(100000), 10, 0, longWait)
	is.NoErr(err)
	reservation.Settle(0)
	is.NoErr(next.Close(context.Background()))
	is.Equal(totalTaken(t, tables), held) // the first run's tokens stay taken
}

// waitForNote waits for the note of machine a.
func waitForNote(t *testing.T, tables platformclient.TableStore) {
	t.Helper()
	waitFor(t, func() bool {
		found, err := tables.Read(context.Background(), "routers/m.a/note")
		return err == nil && len(found) == 1
	})
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(longWait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal("the condition was not met in time")
}

func TestWorkspaceWithoutBudgetIsNotLimited(t *testing.T) {
	is := is.New(t)
	tables := &platformfake.Fake{}
	tables.SetDown(true)
	m := newManager(tables, "a1")
	reservation, err := m.Reserve(context.Background(), "r", &catalog.Workspace{Name: "free"}, 1<<40, 0, 0)
	is.NoErr(err)
	reservation.Settle(1 << 40)
}
