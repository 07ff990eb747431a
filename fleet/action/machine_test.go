package action

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// Attempts at several routers race, pause (they aren't advanced), die, are
// cancelled, and meet lost, late and unavailable commits, stale reads and
// every failure of the target. The action runs once at most, and what each
// caller is told stays true.
func TestActionRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t}
		pick := func(t *rapid.T) *attempt {
			alive := w.alive()
			if len(alive) == 0 {
				t.Skip("nobody is alive")
			}
			return rapid.SampledFrom(alive).Draw(t, "attempt")
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { w.check() },
			"start": func(t *rapid.T) {
				digest := rapid.SampledFrom([]string{"same", "same", "same", "other"}).Draw(t, "digest")
				w.start(digest, rapid.Bool().Draw(t, "repeat"))
			},
			"advance": func(t *rapid.T) {
				a := pick(t)
				w.advance(a, fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")))
			},
			"advance well": func(t *rapid.T) { w.advance(pick(t), good) },
			"land": func(t *rapid.T) {
				if len(w.late) == 0 {
					t.Skip("no late write")
				}
				l := rapid.SampledFrom(w.late).Draw(t, "late")
				w.apply(l.condition, l.value)
			},
			"cancel": func(t *rapid.T) {
				a := pick(t)
				w.take(a, a.machine.Cancel())
			},
			"die": func(t *rapid.T) { pick(t).dead = true },
		})
		settle(t, w)
	})
}

// settle lets all late writes land and the platform work: every attempt tells
// an outcome and finishes, but for those that wait for a dead claimant.
func settle(t *rapid.T, w *world) {
	const rounds = 64
	for _, l := range w.late {
		w.apply(l.condition, l.value)
	}
	for range rounds {
		for _, a := range w.alive() {
			w.advance(a, good)
		}
		w.check()
	}
	for _, a := range w.alive() {
		if a.machine.phase != polling {
			t.Fatalf("an attempt hangs in phase %d", a.machine.phase)
		}
		w.take(a, a.machine.Cancel())
	}
	for _, a := range w.attempts {
		if a.told == nil && !a.dead {
			t.Fatalf("an attempt told nothing")
		}
	}
}

func TestRepeatGetsTheRecordedAnswer(t *testing.T) {
	is := is.New(t)
	w := &world{}
	w.start("same", false)
	first := w.attempts[0]
	for first.step.Effect != Finished {
		w.advance(first, good)
	}
	w.start("same", true)
	second := w.attempts[1]
	w.advance(second, good)
	is.Equal(second.told.State, pb.RunState_RUN_STATE_RAN)
	is.True(second.told.Replayed)
	is.Equal(w.runs, 1)
	w.start("other", false)
	third := w.attempts[2]
	w.advance(third, good)
	is.Equal(third.told.Err.Kind, errkind.KeyReused)
}

// A claim whose answer was lost is found by its nonce and sent once.
func TestLostClaimAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	w := &world{}
	w.start("same", false)
	a := w.attempts[0]
	w.advance(a, answerLost)
	w.advance(a, good)
	is.Equal(a.step.Effect, Send)
}

// A claimant that gave up and wakes as its claim lands voids it unsent.
func TestLateClaimIsVoided(t *testing.T) {
	is := is.New(t)
	w := &world{}
	w.start("same", false)
	a := w.attempts[0]
	w.advance(a, lateLanding)
	w.advance(a, down)
	is.Equal(a.told.Err.Kind, errkind.PlatformDown)
	is.True(w.apply(w.late[0].condition, w.late[0].value))
	for a.step.Effect != Finished {
		w.advance(a, good)
	}
	is.Equal(w.row.Value.State, pb.ActionState_ACTION_STATE_VOID)
	is.Equal(w.runs, 0)
}

func TestRowKeysOfDifferentActionsDiffer(t *testing.T) {
	is := is.New(t)
	is.True(RowKey("a/b", "c") != RowKey("a", "b/c"))
}
