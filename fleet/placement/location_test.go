package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/location"
)

// pickAll returns the data centres of n picks whose requests stay in progress.
func pickAll(is *is.I, tb *Table, r Request, n int) map[string]int {
	counts := make(map[string]int)
	for range n {
		lease, err := tb.Pick(&r)
		is.NoErr(err)
		counts[lease.Target().DataCentre]++
	}
	return counts
}

// Also where the targets of all other data centres have failed, and after a retry.
func TestEvacuatedDataCentreIsNotPicked(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 6)
	tb.SetEvacuated(location.NewDataCentres("dc0", "dc1"), testNow)
	for range 4 {
		lease, err := tb.Pick(&Request{Service: "s", Now: testNow})
		is.NoErr(err)
		is.Equal(lease.Target().DataCentre, "dc2")
		lease.Done(Unreachable, testNow)
	}
	counts := pickAll(is, tb, Request{Service: "s", Exclude: []string{"t2"}, Affinity: 3, SharedTokens: 1000, PromptTokens: 1000, Now: testNow}, 20)
	is.Equal(counts, map[string]int{"dc2": 20})
	_, ok := tb.Take(Process{ID: "t0"}, 0, testNow)
	is.True(!ok)
	_, ok = tb.Take(Process{ID: "t2"}, 0, testNow)
	is.True(ok)
	tb.SetEvacuated(nil, testNow)
	is.Equal(pickAll(is, tb, Request{Service: "s", Now: testNow.Add(time.Minute)}, 1), map[string]int{"dc0": 1})
}

// A caller must not be told the time at which a target of an evacuated data centre, which
// asked for quiet, takes requests again.
func TestRefusalWhileAllAreEvacuated(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 3)
	r := &Request{Service: "s", Now: testNow}
	is.True(tb.RefusedByLocation(r) == nil)
	lease, err := tb.Pick(r)
	is.NoErr(err)
	lease.Announce(Announcement{Quiet: 30 * time.Second}, testNow)
	tb.SetEvacuated(location.NewDataCentres("dc0", "dc1"), testNow)
	is.True(tb.RefusedByLocation(r) == nil)
	tb.SetEvacuated(location.NewDataCentres("dc0", "dc1", "dc2"), testNow)
	refusal := tb.RefusedByLocation(r)
	is.Equal(refusal.Kind, errkind.NoTarget)
	is.Equal(refusal.RetryAfter, locationRetryAfter)
	_, err = tb.Pick(r)
	is.Equal(errkind.FromError(err).RetryAfter, noTargetRetryAfter)
	is.True(tb.RefusedByLocation(&Request{Service: "other", Now: testNow}) == nil) // for want of targets, as before
}

// Neither the load that a target reported before its evacuation nor the prompt parts that
// it had are known after the withdrawal.
func TestStateFromBeforeAnEvacuationIsForgotten(t *testing.T) {
	is := is.New(t)
	tb := New("dc0")
	tb.Update([]Target{{ID: "a", Service: "s", DataCentre: "dc0"}, {ID: "b", Service: "s", DataCentre: "dc1"}}, testNow)
	r := &Request{Service: "s", Affinity: 9, SharedTokens: 1000, PromptTokens: 1000, Now: testNow}
	lease, err := tb.Pick(r)
	is.NoErr(err)
	is.Equal(lease.Target().ID, "a")
	lease.ReportLoad(Load{Running: 50, Waiting: 50}, testNow)
	lease.Done(OK, testNow)
	tb.SetEvacuated(location.NewDataCentres("dc0"), testNow)
	moved, err := tb.Pick(r)
	is.NoErr(err)
	is.Equal(moved.Target().ID, "b")
	is.True(moved.Source() == nil) // nothing is copied from there
	moved.Done(OK, testNow)
	tb.SetEvacuated(nil, testNow)
	back, err := tb.Pick(r)
	is.NoErr(err)
	is.Equal(back.Target().ID, "a") // it isn't thought to be full
	is.Equal(back.Source().ID, "b")
}

// With neither evacuations nor home regions the order of picks is that of a table that was
// never told of any.
func TestPicksWithoutLocationsAreAsBefore(t *testing.T) {
	is := is.New(t)
	a, b := newTable("dc0", 12), newTable("dc0", 12)
	b.SetEvacuated(location.NewDataCentres(), testNow)
	for i := range 500 {
		now := testNow.Add(time.Duration(i) * 20 * time.Millisecond)
		r := &Request{Service: "s", Affinity: uint64(i % 7), SharedTokens: 800, PromptTokens: 1500, Now: now}
		x, err := a.Pick(r)
		is.NoErr(err)
		y, err := b.Pick(r)
		is.NoErr(err)
		is.Equal(x.Target().ID, y.Target().ID)
		is.Equal(x.Source(), y.Source())
		if i%3 == 0 {
			x.ReportLoad(Load{Running: i % 5, Waiting: i % 2}, now)
			y.ReportLoad(Load{Running: i % 5, Waiting: i % 2}, now)
			x.Done(Result(i%6), now)
			y.Done(Result(i%6), now)
		}
	}
}

// Prompt parts of a request with home regions aren't copied from another region, neither
// from where they were last sent nor from their home in another data centre.
func TestCopiesStayInTheHomeRegions(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 3)
	tb.SetRegions(location.Regions{"dc0": "eu", "dc1": "us", "dc2": "eu"})
	r := Request{Service: "s", Affinity: 9, SharedTokens: 1000, PromptTokens: 1000, Now: testNow}
	r.Homes = location.NewHomes("us")
	first, err := tb.Pick(&r)
	is.NoErr(err)
	is.Equal(first.Target().DataCentre, "dc1")
	first.Done(OK, testNow)
	r.Homes = location.NewHomes("eu")
	second, err := tb.Pick(&r)
	is.NoErr(err)
	is.Equal(second.Target().DataCentre, "dc0")
	is.Equal(second.Source().DataCentre, "dc2")
	second.Done(OK, testNow)
	r.Now, r.Homes = testNow.Add(time.Minute), location.NewHomes("us")
	third, err := tb.Pick(&r)
	is.NoErr(err)
	is.Equal(third.Target().DataCentre, "dc1")
	is.True(third.Source() == nil)
}

// A request is refused at once if a home region has only targets that are leaving, and
// told the time of those that asked for quiet.
func TestRefusalForWantOfAHomeRegion(t *testing.T) {
	is := is.New(t)
	tb := newTable("dc0", 3)
	tb.SetRegions(location.Regions{"dc0": "eu", "dc1": "us"})
	r := &Request{Service: "s", Homes: location.NewHomes("asia"), Now: testNow}
	is.Equal(tb.RefusedByLocation(r).Kind, errkind.NoTarget)
	_, err := tb.Pick(r)
	is.Equal(errkind.KindOf(err), errkind.NoTarget)
	r.Homes = location.NewHomes("us")
	is.True(tb.RefusedByLocation(r) == nil)
	lease, err := tb.Pick(r)
	is.NoErr(err)
	lease.Announce(Announcement{Quiet: 3 * time.Second}, testNow)
	_, err = tb.Pick(r)
	is.Equal(errkind.FromError(err).RetryAfter, 3*time.Second)
	lease.Announce(Announcement{Leaving: true}, testNow)
	is.Equal(tb.RefusedByLocation(r).RetryAfter, locationRetryAfter)
}
