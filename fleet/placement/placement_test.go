package placement

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1000, 0)

func targets(n int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{ID: "t" + strconv.Itoa(i), Service: "s", Address: strconv.Itoa(i), DataCentre: "dc" + strconv.Itoa(i%3)}
	}
	return list
}

func table(dataCentre string, n int) *Table {
	t := New(dataCentre)
	t.Update(targets(n), now)
	return t
}

func TestRoutersOfADataCentreAgreeOnTheTargetOfAPrompt(t *testing.T) {
	is := is.New(t)
	a, b := table("dc0", 12), table("dc0", 12)
	used := make(map[string]bool)
	for affinity := range uint64(200) {
		r := &Request{Service: "s", Affinity: affinity + 1, Now: now}
		x, err := a.Pick(r)
		is.NoErr(err)
		y, err := b.Pick(r)
		is.NoErr(err)
		is.Equal(x.Target().ID, y.Target().ID)
		is.Equal(x.Target().DataCentre, "dc0")
		used[x.Target().ID] = true
		x.Done(OK, now)
		y.Done(OK, now)
	}
	is.Equal(len(used), 4)
}

func TestOnePromptDoesNotOverloadItsTarget(t *testing.T) {
	is := is.New(t)
	tb := table("dc0", 4)
	counts := make(map[string]int)
	const requests = 100
	for range requests {
		lease, err := tb.Pick(&Request{Service: "s", Affinity: 7, SharedTokens: 500, PromptTokens: 3000, Now: now})
		is.NoErr(err)
		counts[lease.Target().ID]++
	}
	is.Equal(len(counts), 4)
	for _, n := range counts {
		is.True(n <= requests/2)
	}
}

func TestReadPromptsDoNotKeepARequestAway(t *testing.T) {
	is := is.New(t)
	tb := table("dc0", 4)
	r := &Request{Service: "s", Affinity: 7, SharedTokens: 5000, PromptTokens: 12000, Now: now}
	first, err := tb.Pick(r)
	is.NoErr(err)
	first.RecordProgress(now)
	for range 5 {
		next, err := tb.Pick(r)
		is.NoErr(err)
		is.Equal(next.Target().ID, first.Target().ID)
		next.RecordProgress(now)
		next.Done(OK, now)
	}
}

func TestLeavingAndTriedTargetsGetNothing(t *testing.T) {
	is := is.New(t)
	list := targets(3)
	list[0].Leaving = true
	tb := New("dc0")
	tb.Update(list, now)
	for range 10 {
		lease, err := tb.Pick(&Request{Service: "s", Exclude: []string{"t1"}, Now: now})
		is.NoErr(err)
		is.Equal(lease.Target().ID, "t2")
	}
	_, err := tb.Pick(&Request{Service: "s", Exclude: []string{"t1", "t2"}, Now: now})
	is.True(err != nil)
	_, err = tb.Pick(&Request{Service: "other", Now: now})
	is.True(err != nil)
}

func TestUnreachableTargetIsLeftAloneForAWhile(t *testing.T) {
	is := is.New(t)
	tb := table("dc0", 2)
	lease, err := tb.Pick(&Request{Service: "s", Now: now})
	is.NoErr(err)
	bad := lease.Target().ID
	lease.Done(Unreachable, now)
	for range 5 {
		next, err := tb.Pick(&Request{Service: "s", Now: now.Add(suspectMin / 2)})
		is.NoErr(err)
		is.True(next.Target().ID != bad)
	}
}

func TestSuspectTargetsServeWhenThereAreNoOthers(t *testing.T) {
	is := is.New(t)
	tb := table("dc0", 1)
	lease, err := tb.Pick(&Request{Service: "s", Now: now})
	is.NoErr(err)
	lease.Done(Unreachable, now)
	_, err = tb.Pick(&Request{Service: "s", Now: now})
	is.NoErr(err)
}

func TestNewRunUnderAnOldNameStartsFresh(t *testing.T) {
	is := is.New(t)
	tb := table("dc0", 2)
	lease, err := tb.Pick(&Request{Service: "s", Now: now})
	is.NoErr(err)
	bad := lease.Target().ID
	lease.Done(Unreachable, now)
	list := targets(2)
	for i := range list {
		list[i].StartTimeMs = 5
	}
	tb.Update(list, now)
	again := false
	for range 2 {
		next, err := tb.Pick(&Request{Service: "s", Now: now})
		is.NoErr(err)
		again = again || next.Target().ID == bad
	}
	is.True(again)
}

func TestToldLoadCounts(t *testing.T) {
	is := is.New(t)
	tb := table("dc9", 2)
	lease, err := tb.Pick(&Request{Service: "s", Now: now})
	is.NoErr(err)
	busy := lease.Target().ID
	lease.ReportLoad(Load{Running: 50}, now)
	for range 10 {
		next, err := tb.Pick(&Request{Service: "s", Now: now})
		is.NoErr(err)
		is.True(next.Target().ID != busy)
	}
}

func TestDataCentreOutOfReachGetsNothing(t *testing.T) {
	is := is.New(t)
	tb := table("dc0", 9) // t1, t4, t7 are in dc1
	for _, id := range []string{"t1", "t4"} {
		is.Equal(tb.byID[id].target.DataCentre, "dc1")
		lease := &Lease{table: tb, state: tb.byID[id]}
		tb.byID[id].own++
		lease.Done(Unreachable, now)
	}
	for affinity := range uint64(100) {
		lease, err := tb.Pick(&Request{Service: "s", Affinity: affinity + 1, Now: now})
		is.NoErr(err)
		is.True(lease.Target().DataCentre != "dc1")
	}
}

func TestOneProbeAtATimeEndsTheSuspicion(t *testing.T) {
	is := is.New(t)
	h := newHealth()
	h.fail(now)
	is.True(!h.open(now))
	later := now.Add(suspectMin)
	is.True(h.open(later))
	is.True(h.sent())
	is.True(!h.open(later))
	h.clear()
	is.True(h.open(later))
}

func TestSuspicionGrowsWithFailures(t *testing.T) {
	is := is.New(t)
	h := newHealth()
	h.fail(now)
	first := h.until
	h.fail(now)
	is.True(h.until.After(first))
	for range 20 {
		h.fail(now)
	}
	is.Equal(h.until, now.Add(suspectMax))
}

func TestSharedPartsAreCopiedFromWhereTheyWereSentLast(t *testing.T) {
	is := is.New(t)
	tb := table("dc0", 12)
	r := &Request{Service: "s", Affinity: 7, SharedTokens: 5000, PromptTokens: 12000, Now: now}
	last, err := tb.Pick(r)
	is.NoErr(err)
	is.True(last.Source() != nil) // nothing known yet: another data centre's home
	is.True(last.Source().DataCentre != "dc0")
	open := []*Lease{last}
	moved := false
	for range 10 {
		next, err := tb.Pick(r)
		is.NoErr(err)
		open = append(open, next)
		if next.Target().ID == last.Target().ID {
			is.True(next.Source() == nil) // they are there
			continue
		}
		is.Equal(next.Source().ID, last.Target().ID)
		last, moved = next, true
	}
	is.True(moved)
	for _, lease := range open {
		lease.Done(OK, now)
	}
	r.Now = now.Add(placedFor + time.Second)
	next, err := tb.Pick(r)
	is.NoErr(err)
	is.True(next.Source() != nil && next.Source().DataCentre != next.Target().DataCentre) // they may be gone
	plain, err := tb.Pick(&Request{Service: "s", PromptTokens: 12000, Now: now})
	is.NoErr(err)
	is.True(plain.Source() == nil)
}

func TestANewHomeCopiesFromTheOneThatLeaves(t *testing.T) {
	is := is.New(t)
	tb := table("dc0", 12)
	r := &Request{Service: "s", Affinity: 7, SharedTokens: 5000, PromptTokens: 12000, Now: now}
	before, err := tb.Pick(r)
	is.NoErr(err)
	before.Done(OK, now)
	list := targets(12)
	for i := range list {
		list[i].Leaving = list[i].ID == before.Target().ID
	}
	tb.Update(list, now)
	after, err := tb.Pick(r)
	is.NoErr(err)
	is.True(after.Target().ID != before.Target().ID)
	is.Equal(after.Source().ID, before.Target().ID)
	after.Done(OK, now)
}

func TestNothingIsCopiedFromATargetThatHasJustStarted(t *testing.T) {
	is := is.New(t)
	tb := table("dc0", 1)
	tb.Update(append(targets(1), Target{ID: "new", Service: "s", DataCentre: "dc1"}), now)
	r := &Request{Service: "s", Affinity: 7, SharedTokens: 5000, PromptTokens: 12000, Now: now.Add(time.Second)}
	lease, err := tb.Pick(r)
	is.NoErr(err)
	is.Equal(lease.Target().ID, "t0")
	is.True(lease.Source() == nil)
}

func TestADataCentreThatFallsSilentGetsNothingNew(t *testing.T) {
	is := is.New(t)
	tb := table("dc1", 9)
	var open []*Lease
	for affinity := range uint64(quietRequests) {
		lease, err := tb.Pick(&Request{Service: "s", Affinity: affinity + 1, SharedTokens: 5000, PromptTokens: 6000, Now: now})
		is.NoErr(err)
		is.Equal(lease.Target().DataCentre, "dc1")
		lease.RecordProgress(now)
		open = append(open, lease)
	}
	picks := func(at time.Time) (there int) {
		for affinity := range uint64(30) {
			lease, err := tb.Pick(&Request{Service: "s", Affinity: affinity + 1, SharedTokens: 5000, PromptTokens: 6000, Now: at})
			is.NoErr(err)
			if lease.Target().DataCentre == "dc1" {
				there++
			}
			lease.Done(Neutral, at)
		}
		return there
	}
	later := now.Add(quietAfter + time.Millisecond)
	is.True(picks(now) > 0)
	is.Equal(picks(later), 0)
	open[0].RecordProgress(later)
	is.True(picks(later) > 0)
}

// What a lease names stays as it was while the table is updated; the race
// detector tells.
func TestLeasesAreReadWhileTheTableIsUpdated(t *testing.T) {
	is := is.New(t)
	tb := table("dc0", 12)
	r := &Request{Service: "s", Affinity: 7, SharedTokens: 5000, PromptTokens: 12000, Now: now}
	lease, err := tb.Pick(r)
	is.NoErr(err)
	updated := make(chan bool)
	go func() {
		defer close(updated)
		for range 100 {
			tb.Update(targets(12), now)
		}
	}()
	for range 100 {
		is.True(lease.Target().ID != lease.Source().ID)
	}
	<-updated
	lease.Done(OK, now)
}
