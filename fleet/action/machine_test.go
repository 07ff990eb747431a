package action

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// Attempts at several routers race, pause (they are not advanced), crash, are
// cancelled, and get lost, late and unavailable commits, stale reads and every
// failure of the target. The action runs at most once, and each reported
// outcome stays true.
func TestActionRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t}
		pick := func(t *rapid.T) *attempt {
			active := w.active()
			if len(active) == 0 {
				t.Skip("no attempt is active")
			}
			return rapid.SampledFrom(active).Draw(t, "attempt")
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { w.check() },
			"start": func(t *rapid.T) {
				digest := rapid.SampledFrom([]string{"same", "same", "same", "other"}).Draw(t, "digest")
				w.start(digest, rapid.Bool().Draw(t, "repeat"))
			},
			"advance": func(t *rapid.T) {
				a := pick(t)
				w.advance(a, fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")))
			},
			"advance without fault": func(t *rapid.T) { w.advance(pick(t), noFault) },
			"apply late write": func(t *rapid.T) {
				if len(w.lateWrites) == 0 {
					t.Skip("no late write")
				}
				l := rapid.SampledFrom(w.lateWrites).Draw(t, "late write")
				w.apply(l.condition, l.value)
			},
			"cancel": func(t *rapid.T) {
				a := pick(t)
				w.recordStep(a, a.machine.Cancel())
			},
			"crash": func(t *rapid.T) { pick(t).crashed = true },
		})
		drain(t, w)
	})
}

// drain applies all late writes and then injects no more faults. Every attempt
// must report an outcome and finish, except those that wait for a crashed
// claimant; these must report one when they are cancelled.
func drain(t *rapid.T, w *world) {
	const rounds = 64
	for _, l := range w.lateWrites {
		w.apply(l.condition, l.value)
	}
	for range rounds {
		for _, a := range w.active() {
			w.advance(a, noFault)
		}
		w.check()
	}
	for _, a := range w.active() {
		if a.machine.phase != polling {
			t.Fatalf("an attempt is stuck in phase %d", a.machine.phase)
		}
		w.recordStep(a, a.machine.Cancel())
	}
	for _, a := range w.attempts {
		if a.outcome == nil && !a.crashed {
			t.Fatalf("an attempt reported no outcome")
		}
	}
}

// A repeat gets the recorded response without a second run. Another request with
// the same key is refused.
func TestRepeatGetsRecordedResponse(t *testing.T) {
	is := is.New(t)
	w := &world{}
	w.start("same", false)
	first := w.attempts[0]
	for first.step.Effect != Finished {
		w.advance(first, noFault)
	}
	w.start("same", true)
	second := w.attempts[1]
	w.advance(second, noFault)
	is.Equal(second.outcome.State, pb.RunState_RUN_STATE_RAN)
	is.True(second.outcome.Replayed)
	is.Equal(w.runs, 1)
	w.start("other", false)
	third := w.attempts[2]
	w.advance(third, noFault)
	is.Equal(third.outcome.Err.Kind, errkind.KeyReused)
}

// A claim that took effect although its response was lost is recognised by its
// nonce in the conflict, and the action is sent.
func TestClaimWithLostResponseIsSent(t *testing.T) {
	is := is.New(t)
	w := &world{}
	w.start("same", false)
	a := w.attempts[0]
	w.advance(a, responseLost)
	w.advance(a, noFault)
	is.Equal(a.step.Effect, Send)
}

// A claim that takes effect after the attempt has failed must be voided, and the
// action must not be sent.
func TestLateClaimIsVoidedUnsent(t *testing.T) {
	is := is.New(t)
	w := &world{}
	w.start("same", false)
	a := w.attempts[0]
	w.advance(a, appliedLate)
	w.advance(a, unavailable)
	is.Equal(a.outcome.Err.Kind, errkind.PlatformDown)
	is.True(w.apply(w.lateWrites[0].condition, w.lateWrites[0].value))
	for a.step.Effect != Finished {
		w.advance(a, noFault)
	}
	is.Equal(w.row.Value.State, pb.ActionState_ACTION_STATE_VOID)
	is.Equal(w.runs, 0)
}

// Slashes in a workspace or key must not make the row keys of two actions equal.
func TestRowKeysOfDifferentActionsDiffer(t *testing.T) {
	is := is.New(t)
	is.True(RowKey("a/b", "c") != RowKey("a", "b/c"))
}
