package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/errkind"
)

// pickedIDs returns the ids of the targets that get requests, by picking until
// all are excluded.
func pickedIDs(tb *Table, now time.Time) []string {
	var ids []string
	for {
		lease, err := tb.Pick(&Request{Service: "s", Exclude: ids, Now: now})
		if err != nil {
			return ids
		}
		lease.Done(OK, now)
		ids = append(ids, lease.Target().ID)
	}
}

func pickTarget(t *testing.T, tb *Table, id string, now time.Time) *Lease {
	t.Helper()
	var exclude []string
	for {
		lease, err := tb.Pick(&Request{Service: "s", Exclude: exclude, Now: now})
		is.New(t).NoErr(err)
		if lease.Target().ID == id {
			return lease
		}
		lease.Done(OK, now)
		exclude = append(exclude, lease.Target().ID)
	}
}

func listed(ids ...string) []Target {
	var targets []Target
	for _, id := range ids {
		targets = append(targets, Target{ID: id, StartTimeMs: 1, Service: "s", Address: id + ":1", DataCentre: "dc1"})
	}
	return targets
}

// A target that announced its leaving gets nothing from the next pick on, while
// the list still says ready, after its entry was away, and when a list says ready
// again. Its next process does get requests.
func TestAnnouncedLeavingHoldsUntilTheProcessIsReplaced(t *testing.T) {
	is := is.New(t)
	tb := New("dc1")
	tb.Update(listed("a", "b"), testNow)
	lease := pickTarget(t, tb, "a", testNow)
	lease.Announce(Announcement{Leaving: true}, testNow)
	is.Equal(pickedIDs(tb, testNow), []string{"b"})
	lease.Done(OK, testNow)
	tb.Update(listed("a", "b"), testNow)
	is.Equal(pickedIDs(tb, testNow), []string{"b"})
	tb.Update(listed("b"), testNow)
	tb.Update(listed("a", "b"), testNow.Add(time.Minute))
	is.Equal(pickedIDs(tb, testNow.Add(time.Minute)), []string{"b"})
	restarted := listed("a", "b")
	restarted[0].StartTimeMs = 2
	tb.Update(restarted, testNow.Add(time.Minute))
	is.Equal(len(pickedIDs(tb, testNow.Add(time.Minute))), 2)
}

func TestListedAsLeavingHoldsWhenALaterListSaysReady(t *testing.T) {
	is := is.New(t)
	tb := New("dc1")
	leaving := listed("a", "b")
	leaving[0].Leaving = true
	tb.Update(leaving, testNow)
	tb.Update(listed("a", "b"), testNow)
	is.Equal(pickedIDs(tb, testNow), []string{"b"})
}

// No request, not even for want of another target, goes to a target that asked for
// quiet. The longest time counts, and a new process ends it.
func TestQuietIsKeptEvenWithoutAnotherTarget(t *testing.T) {
	is := is.New(t)
	tb := New("dc1")
	tb.Update(listed("a"), testNow)
	lease := pickTarget(t, tb, "a", testNow)
	lease.Announce(Announcement{Quiet: 4 * time.Second}, testNow)
	lease.Announce(Announcement{Quiet: time.Second}, testNow)
	lease.Done(Refused, testNow)
	_, err := tb.Pick(&Request{Service: "s", Now: testNow.Add(time.Second)})
	is.Equal(errkind.KindOf(err), errkind.NoTarget)
	is.Equal(errkind.FromError(err).RetryAfter, 3*time.Second) // until the first is open again
	_, err = tb.Pick(&Request{Service: "s", Now: testNow.Add(3900 * time.Millisecond)})
	is.Equal(errkind.FromError(err).RetryAfter, 100*time.Millisecond)
	is.Equal(pickedIDs(tb, testNow.Add(4*time.Second-1)), nil)
	is.Equal(pickedIDs(tb, testNow.Add(4*time.Second)), []string{"a"})
	lease = pickTarget(t, tb, "a", testNow.Add(5*time.Second))
	lease.Announce(Announcement{Quiet: 1 << 62}, testNow.Add(5*time.Second))
	is.Equal(pickedIDs(tb, testNow.Add(5*time.Second+maxQuietTime)), []string{"a"}) // bounded
	restarted := listed("a")
	restarted[0].StartTimeMs = 2
	tb.Update(restarted, testNow.Add(6*time.Second))
	is.Equal(pickedIDs(tb, testNow.Add(6*time.Second)), []string{"a"})
}

// A target that takes no more within its limit isn't picked until it does, even if
// there is no other, and the caller is told when.
func TestDeferredTargetIsNotPicked(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := New("z")
	table.Update([]Target{{ID: "a", Service: "s", DataCentre: "z"}}, now)
	lease, err := table.Pick(&Request{Service: "s", Affinity: 7, SharedTokens: 1000, PromptTokens: 1100, Now: now})
	is.NoErr(err)
	lease.Defer(2*time.Second, now)
	is.Equal(table.byID["a"].inFlight, 0)
	is.Equal(table.byID["a"].pendingPromptTokens, int64(0))
	is.Equal(len(table.lastPlacement), 0)
	_, err = table.Pick(&Request{Service: "s", Now: now.Add(500 * time.Millisecond)})
	is.Equal(errkind.FromError(err).RetryAfter, 1500*time.Millisecond)
	_, err = table.Pick(&Request{Service: "s", Now: now.Add(2 * time.Second)})
	is.NoErr(err)
}
