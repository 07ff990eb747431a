package quarantine

import (
	"flag"
	"fmt"
	"testing"
)

// More seeds are run by hand.
var (
	smallSeeds = flag.Uint64("sim.small", 5, "seeds of simulations with few gateways")
	largeSeeds = flag.Uint64("sim.large", 0, "seeds of simulations with hundreds of gateways; 0 runs one of a part of them")
)

// contactMs is the time after which the platform's rules hold gateways to what
// others know.
const contactMs = 3000

// freeCrashes is the number of crashes by a prompt part, and freeRequestCrashes that by
// a request, after which requests with it count.
const (
	freeCrashes        = 5
	freeRequestCrashes = 3
)

// scenario is a simulated deployment with requests that crash targets. Rates are per
// second, times in milliseconds.
type scenario struct {
	seed              uint64
	gateways, targets int
	soundRate         float64
	harmfulRate       float64
	// harmful is the number of harmful parts, or of harmful requests if wholeRequests is
	// set. Their requests come from harmfulFromMs on; each has one of firstParts as its
	// first part, as sound requests do.
	harmful       int
	wholeRequests bool
	harmfulFromMs int64
	// hotRate is the rate of one sound request, which has the same prompt parts as the
	// harmful requests.
	hotRate float64
	// plain means that requests have no prompts.
	plain bool
	// maxAttempts is the number of targets that an attempt of a caller is sent to.
	maxAttempts int
	// misdirectedShare is the share of sends that targets don't run, as another
	// process is expected at their address.
	misdirectedShare float64
	// minWorkMs and maxWorkMs bound the time that an answer takes.
	minWorkMs, maxWorkMs int64
	// onceHarmless means that requests with these parts come from the start on, and
	// crash targets only later.
	onceHarmless bool
	firstParts   int
	endMs        int64
	// otherCrashEveryMs is the time between crashes for other causes; 0 for none.
	otherCrashEveryMs int64
	// allCrashAtMs is when all targets crash for another cause; 0 for never.
	allCrashAtMs int64
	// outageFromMs and outageToMs bound the time in which the store is unavailable.
	outageFromMs, outageToMs int64
	// lateFromMs is when a further gateway starts and gets a harmful request each
	// 100 ms; 0 for none.
	lateFromMs int64

	// byHand leaves a large scenario out unless seeds are asked for, and runs a small
	// one with fewer.
	byHand bool

	// Planted faults: gateways that don't exchange reports, that look at the first part
	// of a prompt alone, that look at no whole requests, and that never learn of answers.
	unshared, firstPartOnly, partsOnly, noAnswers bool
}

// outcome is what callers and targets saw.
type outcome struct {
	// harmfulAfter is the number of requests with one harmful trait that reached
	// targets later than contactMs after the last free crash by it, or after the end
	// of the outage if that is later; the largest of all harmful traits.
	harmfulAfter int
	crashes      int
	// soundSent and soundRefused count the first sends of sound requests from 2 x
	// contactMs after the last of the free crashes by any harmful trait on;
	// refusedAtAll and sentAtAll count those of the whole run.
	soundSent, soundRefused, refusedAtAll, sentAtAll int
	// hotSent and hotRefused count those of the hot request in the whole run;
	// hotRefusedLate counts the refused ones among soundRefused.
	hotSent, hotRefused, hotRefusedLate int
}

// small and large are the sizes of deployments.
var (
	small = scenario{gateways: 7, targets: 12, soundRate: 30, harmfulRate: 3, harmful: 1, harmfulFromMs: 5000, firstParts: 3,
		maxAttempts: 2, minWorkMs: 200, maxWorkMs: 4200, endMs: 40_000}
	large = scenario{gateways: 300, targets: 265, soundRate: 300, harmfulRate: 6, harmful: 1, harmfulFromMs: 5000, firstParts: 3,
		maxAttempts: 2, minWorkMs: 200, maxWorkMs: 4200, endMs: 22_000}
)

// engines returns a deployment with harmful requests that have prompts.
func engines(sc scenario) scenario {
	sc.wholeRequests = true
	sc.misdirectedShare = 0.05
	return sc
}

// plainService returns one with harmful requests to a service without prompts, whose
// few targets answer fast.
func plainService(sc scenario) scenario {
	sc = engines(sc)
	sc.plain = true
	sc.targets = 3 + sc.targets/50
	sc.minWorkMs, sc.maxWorkMs = 5, 40
	return sc
}

// maxHarmfulAfter is the number of requests with a harmful trait that may reach
// targets later than contactMs after the last free crash by it.
const maxHarmfulAfter = 3

func (o outcome) check(t *testing.T) {
	t.Helper()
	if o.harmfulAfter > maxHarmfulAfter {
		t.Errorf("%d harmful requests reached targets; %d are allowed", o.harmfulAfter, maxHarmfulAfter)
	}
	if total := o.soundSent + o.soundRefused; total >= 20 && 2*o.soundSent < total {
		t.Errorf("%d of %d sound requests were refused", o.soundRefused, total)
	}
}

func forEachSeed(t *testing.T, sc scenario, check func(t *testing.T, o outcome)) {
	seeds := *smallSeeds
	switch {
	case sc.gateways <= 100 && sc.byHand && *largeSeeds == 0:
		seeds = min(*smallSeeds, 2)
	case sc.gateways <= 100:
	case sc.byHand:
		seeds = *largeSeeds
	default:
		seeds = max(*largeSeeds, 1)
	}
	for seed := range seeds {
		sc := sc // the subtests run in parallel
		sc.seed = seed
		t.Run(fmt.Sprintf("gateways %d seed %d", sc.gateways, seed), func(t *testing.T) {
			t.Parallel()
			o := run(sc)
			t.Logf("%+v", o)
			check(t, o)
		})
	}
}
