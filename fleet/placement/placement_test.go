package placement

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testNow = time.Unix(1000, 0)

func newTargets(n int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{ID: "t" + strconv.Itoa(i), Service: "s", Address: strconv.Itoa(i), DataCentre: "dc" + strconv.Itoa(i%3)}
	}
	return list
}

func newTable(dataCentre string, n int) *Table {
	t := New(dataCentre)
	t.Update(newTargets(n), testNow)
	return t
}

func TestRoutersOfADataCentrePickTheSameTargetForAPrompt(t *testing.T) {
	is := is.New(t)
	a, b := newTable("dc0", 12), newTable("dc0", 12)
	used := make(map[string]bool)
	for affinity := range uint64(200) {
		r := &Request{Service: "s", Affinity: affinity + 1, Now: testNow}
		x, err := a.Pick(r)
		is.NoErr(err)
		y, err := b.Pick(r)
		is.NoErr(err)
		is.Equal(x.Target().ID, y.Target().ID)
		is.Equal(x.Target().DataCentre, "dc0")
		used[x.Target().ID] = true
		x.Done(OK, testNow)
		y.Done(OK, testNow)
	}
	is.Equal(len(used), 4)
}

func TestOnePromptDoesNotOverloadItsTarget(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 4)
	counts := make(map[string]int)
	const requests = 100
	for range requests {
		lease, err := tb.Pick(&Request{Service: "s", Affinity: 7, SharedTokens: 500, PromptTokens: 3000, Now: testNow})
		is.NoErr(err)
		counts[lease.Target().ID]++
	}
	is.Equal(len(counts), 4)
	for _, n := range counts {
		is.True(n <= requests/2)
	}
}

func TestProcessedPromptsDoNotCountAsLoad(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 4)
	r := &Request{Service: "s", Affinity: 7, SharedTokens: 5000, PromptTokens: 12000, Now: testNow}
	first, err := tb.Pick(r)
	is.NoErr(err)
	first.RecordProgress(testNow)
	for range 5 {
		next, err := tb.Pick(r)
		is.NoErr(err)
		is.Equal(next.Target().ID, first.Target().ID)
		next.RecordProgress(testNow)
		next.Done(OK, testNow)
	}
}

func TestLeavingAndExcludedTargetsAreNotPicked(t *testing.T) {
	is := is.New(t)
	list := newTargets(3)
	list[0].Leaving = true
	tb := New("dc0")
	tb.Update(list, testNow)
	for range 10 {
		lease, err := tb.Pick(&Request{Service: "s", Exclude: []string{"t1"}, Now: testNow})
		is.NoErr(err)
		is.Equal(lease.Target().ID, "t2")
	}
	_, err := tb.Pick(&Request{Service: "s", Exclude: []string{"t1", "t2"}, Now: testNow})
	is.True(err != nil)
	_, err = tb.Pick(&Request{Service: "other", Now: testNow})
	is.True(err != nil)
}

func TestUnreachableTargetIsNotPickedWhileSuspect(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 2)
	lease, err := tb.Pick(&Request{Service: "s", Now: testNow})
	is.NoErr(err)
	unreachable := lease.Target().ID
	lease.Done(Unreachable, testNow)
	for range 5 {
		next, err := tb.Pick(&Request{Service: "s", Now: testNow.Add(minSuspectTime / 2)})
		is.NoErr(err)
		is.True(next.Target().ID != unreachable)
	}
}

func TestSuspectTargetIsPickedWhenThereIsNoOther(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 1)
	lease, err := tb.Pick(&Request{Service: "s", Now: testNow})
	is.NoErr(err)
	lease.Done(Unreachable, testNow)
	_, err = tb.Pick(&Request{Service: "s", Now: testNow})
	is.NoErr(err)
}

func TestRestartedTargetStartsWithFreshState(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 2)
	lease, err := tb.Pick(&Request{Service: "s", Now: testNow})
	is.NoErr(err)
	restarted := lease.Target().ID
	lease.Done(Unreachable, testNow)
	list := newTargets(2)
	for i := range list {
		list[i].StartTimeMs = 5
	}
	tb.Update(list, testNow)
	picked := false
	for range 2 {
		next, err := tb.Pick(&Request{Service: "s", Now: testNow})
		is.NoErr(err)
		picked = picked || next.Target().ID == restarted
	}
	is.True(picked)
}

func TestReportedLoadCounts(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc9", 2)
	lease, err := tb.Pick(&Request{Service: "s", Now: testNow})
	is.NoErr(err)
	busy := lease.Target().ID
	lease.ReportLoad(Load{Running: 50}, testNow)
	for range 10 {
		next, err := tb.Pick(&Request{Service: "s", Now: testNow})
		is.NoErr(err)
		is.True(next.Target().ID != busy)
	}
}

func TestUnreachableDataCentreIsNotPicked(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 9) // t1, t4, t7 are in dc1
	for _, id := range []string{"t1", "t4"} {
		is.Equal(tb.byID[id].target.DataCentre, "dc1")
		lease := &Lease{table: tb, state: tb.byID[id]}
		tb.byID[id].inFlight++
		lease.Done(Unreachable, testNow)
	}
	for affinity := range uint64(100) {
		lease, err := tb.Pick(&Request{Service: "s", Affinity: affinity + 1, Now: testNow})
		is.NoErr(err)
		is.True(lease.Target().DataCentre != "dc1")
	}
}

func TestCopySourceIsTheLastTargetOfThePrompt(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 12)
	r := &Request{Service: "s", Affinity: 7, SharedTokens: 5000, PromptTokens: 12000, Now: testNow}
	last, err := tb.Pick(r)
	is.NoErr(err)
	is.True(last.Source() != nil) // nothing is recorded yet: the rendezvous target of another data centre
	is.True(last.Source().DataCentre != "dc0")
	leases := []*Lease{last}
	moved := false
	for range 10 {
		next, err := tb.Pick(r)
		is.NoErr(err)
		leases = append(leases, next)
		if next.Target().ID == last.Target().ID {
			is.True(next.Source() == nil) // the target has the shared parts
			continue
		}
		is.Equal(next.Source().ID, last.Target().ID)
		last, moved = next, true
	}
	is.True(moved)
	for _, lease := range leases {
		lease.Done(OK, testNow)
	}
	r.Now = testNow.Add(cacheRetention + time.Second)
	next, err := tb.Pick(r)
	is.NoErr(err)
	is.True(next.Source() != nil && next.Source().DataCentre != next.Target().DataCentre) // the last target may have dropped the shared parts
	unshared, err := tb.Pick(&Request{Service: "s", PromptTokens: 12000, Now: testNow})
	is.NoErr(err)
	is.True(unshared.Source() == nil)
}

func TestNewTargetCopiesFromLeavingTarget(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 12)
	r := &Request{Service: "s", Affinity: 7, SharedTokens: 5000, PromptTokens: 12000, Now: testNow}
	before, err := tb.Pick(r)
	is.NoErr(err)
	before.Done(OK, testNow)
	list := newTargets(12)
	for i := range list {
		list[i].Leaving = list[i].ID == before.Target().ID
	}
	tb.Update(list, testNow)
	after, err := tb.Pick(r)
	is.NoErr(err)
	is.True(after.Target().ID != before.Target().ID)
	is.Equal(after.Source().ID, before.Target().ID)
	after.Done(OK, testNow)
}

func TestNoCopyFromATargetThatHasJustStarted(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 1)
	tb.Update(append(newTargets(1), Target{ID: "new", Service: "s", DataCentre: "dc1"}), testNow)
	r := &Request{Service: "s", Affinity: 7, SharedTokens: 5000, PromptTokens: 12000, Now: testNow.Add(time.Second)}
	lease, err := tb.Pick(r)
	is.NoErr(err)
	is.Equal(lease.Target().ID, "t0")
	is.True(lease.Source() == nil)
}

func TestSilentDataCentreIsNotPicked(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc1", 9)
	var leases []*Lease
	for affinity := range uint64(silenceMinRequests) {
		lease, err := tb.Pick(&Request{Service: "s", Affinity: affinity + 1, SharedTokens: 5000, PromptTokens: 6000, Now: testNow})
		is.NoErr(err)
		is.Equal(lease.Target().DataCentre, "dc1")
		lease.RecordProgress(testNow)
		leases = append(leases, lease)
	}
	countPicks := func(at time.Time) (count int) {
		for affinity := range uint64(30) {
			lease, err := tb.Pick(&Request{Service: "s", Affinity: affinity + 1, SharedTokens: 5000, PromptTokens: 6000, Now: at})
			is.NoErr(err)
			if lease.Target().DataCentre == "dc1" {
				count++
			}
			lease.Done(Neutral, at)
		}
		return count
	}
	later := testNow.Add(silenceLimit + time.Millisecond)
	is.True(countPicks(testNow) > 0)
	is.Equal(countPicks(later), 0)
	leases[0].RecordProgress(later)
	is.True(countPicks(later) > 0)
}

// A lease's targets must not change while the table is updated. A violation is
// a data race, which only the race detector reports.
func TestLeasesAreReadWhileTheTableIsUpdated(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 12)
	r := &Request{Service: "s", Affinity: 7, SharedTokens: 5000, PromptTokens: 12000, Now: testNow}
	lease, err := tb.Pick(r)
	is.NoErr(err)
	updated := make(chan bool)
	go func() {
		defer close(updated)
		for range 100 {
			tb.Update(newTargets(12), testNow)
		}
	}()
	for range 100 {
		is.True(lease.Target().ID != lease.Source().ID)
	}
	<-updated
	lease.Done(OK, testNow)
}
