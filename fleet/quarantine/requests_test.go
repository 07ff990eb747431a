package quarantine

import "testing"

// requestScenarios are the deployments with harmful requests, small and large, with
// prompts and without. Each also has a sound request that is at most targets whenever
// one ends, and that has the path and the prompt parts of the harmful ones.
func requestScenarios() []scenario {
	var all []scenario
	for _, sc := range []scenario{small, large} {
		sc.hotRate = sc.soundRate / 2
		all = append(all, engines(sc), plainService(sc))
	}
	return all
}

// largeByHand are the same, of which the large ones run only by hand.
func largeByHand() []scenario {
	all := requestScenarios()
	for i := range all {
		all[i].byHand = true
	}
	return all
}

// checkRequestRules checks the rule for harmful requests, and that sound ones are
// hardly ever refused.
func checkRequestRules(t *testing.T, o outcome) {
	t.Helper()
	o.check(t)
	checkSoundIsServed(t, o)
}

func checkSoundIsServed(t *testing.T, o outcome) {
	t.Helper()
	if o.sentAtAll < 100 || o.hotSent < 20 {
		t.Errorf("only %d sound requests were sent, %d of them the same", o.sentAtAll, o.hotSent)
	}
	if 50*o.refusedAtAll > o.sentAtAll {
		t.Errorf("%d of %d sound requests were refused", o.refusedAtAll, o.sentAtAll)
	}
	if 10*o.hotRefused > o.hotSent || o.hotRefusedLate > 0 {
		t.Errorf("a sound request was refused %d times, %d of them late, and sent %d times", o.hotRefused, o.hotRefusedLate, o.hotSent)
	}
}

// Guards against incident inc1 of issue 28 (BUDGET): a request that crashes each target
// that runs it comes again at any gateway.
func TestHarmfulRequestIsRefusedByTheFleet(t *testing.T) {
	t.Parallel()
	for _, sc := range requestScenarios() {
		forEachSeed(t, sc, checkRequestRules)
	}
}

func TestSeveralHarmfulRequestsAtOnce(t *testing.T) {
	t.Parallel()
	for _, sc := range largeByHand() {
		sc.harmful, sc.harmfulRate = 3, 2*sc.harmfulRate
		forEachSeed(t, sc, checkRequestRules)
	}
}

// The harmful request comes before anything was answered.
func TestHarmfulRequestFromTheStart(t *testing.T) {
	t.Parallel()
	for _, sc := range largeByHand() {
		sc.harmfulFromMs, sc.firstParts = 0, 1
		forEachSeed(t, sc, checkRequestRules)
	}
}

// The harmful request comes now and then, so that few crashes are close together.
func TestSeldomHarmfulRequest(t *testing.T) {
	t.Parallel()
	for _, sc := range largeByHand() {
		sc.harmfulRate = 0.4
		forEachSeed(t, sc, checkRequestRules)
	}
}

// The harmful request comes many times at once.
func TestFrequentHarmfulRequest(t *testing.T) {
	t.Parallel()
	for _, sc := range largeByHand() {
		sc.harmfulRate *= 5
		forEachSeed(t, sc, checkRequestRules)
	}
}

func TestHarmfulRequestAmongCrashesForOtherCauses(t *testing.T) {
	t.Parallel()
	for _, sc := range largeByHand() {
		sc.otherCrashEveryMs = 2000
		forEachSeed(t, sc, checkRequestRules)
	}
}

// A sound request is at targets that crash for other causes all the time.
func TestCrashesForOtherCausesRefuseNoRequest(t *testing.T) {
	t.Parallel()
	for _, sc := range largeByHand() {
		sc.harmful, sc.harmfulRate, sc.otherCrashEveryMs = 0, 0, 400
		forEachSeed(t, sc, checkSoundIsServed)
	}
}

func TestCrashOfAllTargetsRefusesNoRequest(t *testing.T) {
	t.Parallel()
	for _, sc := range largeByHand() {
		sc.harmful, sc.harmfulRate, sc.allCrashAtMs, sc.endMs = 0, 0, 5_000, 15_000
		forEachSeed(t, sc, checkSoundIsServed)
	}
}

func TestLateGatewayKnowsTheHarmfulRequest(t *testing.T) {
	t.Parallel()
	for _, sc := range largeByHand() {
		sc.lateFromMs = 15_000
		forEachSeed(t, sc, checkRequestRules)
	}
}

// Later than contactMs after the store's return the rules hold again.
func TestHarmfulRequestDuringAnOutageOfTheStore(t *testing.T) {
	t.Parallel()
	for _, sc := range largeByHand() {
		sc.outageFromMs, sc.outageToMs = 4000, 12_000
		forEachSeed(t, sc, func(t *testing.T, o outcome) { o.check(t) })
	}
}

// The rules are broken by gateways that keep what they see to themselves, and by
// gateways that know of prompt parts only: harmful requests go on, or sound ones are
// refused.
func TestPlantedFaultsBreakTheRuleForRequests(t *testing.T) {
	t.Parallel()
	for _, sc := range requestScenarios() {
		unshared, partsOnly := sc, sc
		unshared.unshared, partsOnly.partsOnly = true, true
		for _, planted := range []scenario{unshared, partsOnly} {
			forEachSeed(t, planted, func(t *testing.T, o outcome) {
				if o.harmfulAfter <= maxHarmfulAfter && 50*o.refusedAtAll <= o.sentAtAll {
					t.Errorf("the fault wasn't noticed: %+v", o)
				}
			})
		}
	}
}

// A sound request is refused by gateways that hold crashes against it although it was
// answered since.
func TestPlantedFaultRefusesSoundRequest(t *testing.T) {
	t.Parallel()
	for _, sc := range largeByHand() {
		sc.harmful, sc.harmfulRate, sc.otherCrashEveryMs, sc.noAnswers = 0, 0, 200, true
		forEachSeed(t, sc, func(t *testing.T, o outcome) {
			if o.hotRefused == 0 {
				t.Errorf("the fault wasn't noticed: %+v", o)
			}
		})
	}
}
