package quarantine

import (
	"testing"
)

func checkRules(t *testing.T, o outcome) {
	t.Helper()
	o.check(t)
	if o.soundSent < 20 {
		t.Errorf("only %d sound requests were counted", o.soundSent)
	}
}

// Guards against incident inc1 (BUDGET): many gateways see one crash each.
func TestHarmfulPartIsRefusedByTheFleet(t *testing.T) {
	t.Parallel()
	forEachSeed(t, small, checkRules)
	forEachSeed(t, large, checkRules)
}

func TestSeveralHarmfulPartsAtOnce(t *testing.T) {
	t.Parallel()
	for _, sc := range []scenario{small, large} {
		sc.harmful, sc.harmfulRate = 3, 2*sc.harmfulRate
		forEachSeed(t, sc, checkRules)
	}
}

// Harmful requests come before any sound one was answered, and each sound one has
// the same first part.
func TestHarmfulPartFromTheStart(t *testing.T) {
	t.Parallel()
	for _, sc := range []scenario{small, large} {
		sc.harmfulFromMs, sc.firstParts = 0, 1
		forEachSeed(t, sc, checkRules)
	}
}

func TestHarmfulPartThatWasHarmlessBefore(t *testing.T) {
	t.Parallel()
	sc := small
	sc.onceHarmless = true
	forEachSeed(t, sc, checkRules)
}

// Targets crash for other causes all the time, with frequent parts in flight.
func TestCrashesForOtherCausesRefuseNothingForLong(t *testing.T) {
	t.Parallel()
	for _, sc := range []scenario{small, large} {
		sc.harmful, sc.harmfulRate, sc.otherCrashEveryMs = 0, 0, 400
		forEachSeed(t, sc, func(t *testing.T, o outcome) {
			if 50*o.refusedAtAll > o.sentAtAll {
				t.Errorf("%d of %d sound requests were refused", o.refusedAtAll, o.sentAtAll)
			}
		})
	}
}

func TestHarmfulPartAmongCrashesForOtherCauses(t *testing.T) {
	t.Parallel()
	sc := small
	sc.otherCrashEveryMs = 700
	forEachSeed(t, sc, checkRules)
}

// All targets crash together: one moment, whatever the number of targets.
func TestCrashOfAllTargetsRefusesNothing(t *testing.T) {
	t.Parallel()
	for _, sc := range []scenario{small, large} {
		sc.harmful, sc.harmfulRate, sc.allCrashAtMs, sc.endMs = 0, 0, 5_000, 15_000
		forEachSeed(t, sc, func(t *testing.T, o outcome) {
			if 50*o.refusedAtAll > o.sentAtAll {
				t.Errorf("%d of %d sound requests were refused", o.refusedAtAll, o.sentAtAll)
			}
		})
	}
}

func TestGatewayThatStartsLateKnowsTheCrashes(t *testing.T) {
	t.Parallel()
	for _, sc := range []scenario{small, large} {
		sc.lateFromMs = 15_000
		forEachSeed(t, sc, checkRules)
	}
}

// The store is away while the part crashes targets. Later than contactMs after its
// return the rules hold again.
func TestCrashesDuringAnOutageOfTheStore(t *testing.T) {
	t.Parallel()
	for _, sc := range []scenario{small, large} {
		sc.outageFromMs, sc.outageToMs = 4000, 12_000
		forEachSeed(t, sc, checkRules)
	}
}

// The rules are broken by gateways that keep what they see to themselves, and by
// gateways that refuse all prompts with the same first part.
func TestPlantedFaultsBreakTheRules(t *testing.T) {
	t.Parallel()
	for _, sc := range []scenario{small, large} {
		sc.unshared = true
		forEachSeed(t, sc, func(t *testing.T, o outcome) {
			if o.harmfulAfter <= maxHarmfulAfter {
				t.Errorf("unshared reports weren't noticed: %+v", o)
			}
		})
	}
	sc := small
	sc.firstPartOnly, sc.firstParts, sc.harmfulRate = true, 1, 10
	forEachSeed(t, sc, func(t *testing.T, o outcome) {
		if o.harmfulAfter <= maxHarmfulAfter && 2*o.soundSent >= o.soundSent+o.soundRefused {
			t.Errorf("refusing by the first part wasn't noticed: %+v", o)
		}
	})
}
