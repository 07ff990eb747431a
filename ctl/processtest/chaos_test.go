package processtest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"cuminrock.example/standin/platform"
	"cuminrock.example/standin/target"
)

// firstChaosSeed is the seed of the first random run; the next runs count up.
const firstChaosSeed = 201

// chaosSeeds is the number of random runs; longer trials set it higher.
var chaosSeeds = flag.Int("chaos-seeds", 2, "number of random runs")

// Random faults of many kinds are injected, also several at once and the same one
// repeatedly, while callers stream and send actions. The budget invariants must
// hold throughout, and no action may run twice. After recovery the fleet must serve
// requests and settle all bills.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for i := range *chaosSeeds {
		seed := firstChaosSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			testRandomFaults(t, seed)
		})
	}
}

const (
	chaosRounds  = 8
	chaosCallers = 6
	// chaosPause is the mean interval between two faults.
	chaosPause = 400 * time.Millisecond
)

func testRandomFaults(t *testing.T, seed uint64) {
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: seed, PrepaidTokens: 500_000, TokensPerSecond: 200,
		Centres: []string{"cluj-a", "cluj-b", "dej-c"}, Settings: shortTimeouts})
	stop := f.watchBudget()
	results := newCallResults()
	var work conc.WaitGroup
	finished := make(chan struct{})
	for c := range chaosCallers {
		work.Go(func() { callUntilFinished(f, results, c, rand.New(rand.NewPCG(seed, uint64(c))), finished) })
	}
	injector := faultInjector{f: f, t: t, rng: rand.New(rand.NewPCG(seed, 1000))}
	for range chaosRounds {
		injector.injectRandom()
	}
	injector.heal()
	close(finished)
	work.Wait()
	f.WaitConverged()
	for _, r := range f.Routers {
		Eventually(t, "no bill is waiting at "+r.Name, func() bool { return r.Vars().Ledger.WaitingBills == 0 })
		is.Equal(r.Vars().Ledger.ConservationBroken, uint64(0))
		Eventually(t, r.Name+" serves", func() bool { return r.MustDo(ChatRequest("", 5, false)).OK() })
	}
	f.waitBillsMatchSpent()
	stop()
	b := f.Budget()
	t.Logf("%d served, %d unbilled but covered, interrupted %v, refused %v, faults %v; %v",
		results.ServedCount(), len(f.unbilledRequests(results)), results.Interrupted, results.RefusalsByKind, injector.injected, b)
	is.True(results.ServedCount() > 0)
	is.True(results.TotalUsage() <= b.Spent+b.Granted+b.InDoubt)
	is.Equal(f.Services[0].ServiceCounts().Repeated, 0) // no action ran twice
}

// callUntilFinished makes calls one after the other until finished is closed.
func callUntilFinished(f *Fleet, results *CallResults, caller int, rng *rand.Rand, finished <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-finished:
			return
		default:
		}
		readWithRetries(f, results, ChatRequest(fmt.Sprintf("chat-%d-%d", caller, n), 30, true), rng)
		f.tryAction(ActionRequest(fmt.Sprintf("act-%d-%d", caller, n)), rng)
	}
}

// faultInjector injects faults into a fleet and removes them.
type faultInjector struct {
	f        *Fleet
	t        *testing.T
	rng      *rand.Rand
	injected []string
	// paused lists the routers to be resumed, and partitioned is the data centre
	// to be reconnected.
	paused      []*Router
	partitioned string
}

// injectRandom waits for a random interval and injects one random fault, in
// addition to those still in effect.
func (c *faultInjector) injectRandom() {
	time.Sleep(time.Duration(c.rng.Int64N(int64(2 * chaosPause))))
	r := c.f.Routers[c.rng.IntN(len(c.f.Routers))]
	faults := []func(r *Router) string{c.kill, c.pause, c.resumeAll, c.loseResponses, c.outage, c.partition, c.silenceEngine}
	c.injected = append(c.injected, faults[c.rng.IntN(len(faults))](r))
}

func (c *faultInjector) kill(r *Router) string {
	r.Kill()
	r.Start(c.t)
	return "kill " + r.Name
}

func (c *faultInjector) pause(r *Router) string {
	r.Pause()
	c.paused = append(c.paused, r)
	return "pause " + r.Name
}

func (c *faultInjector) resumeAll(*Router) string {
	for _, r := range c.paused {
		r.Resume()
	}
	c.paused = nil
	return "resume"
}

func (c *faultInjector) loseResponses(r *Router) string {
	c.f.Platform.SetFaults(r.Centre, platform.Faults{DropResponsePermille: 300, LateCommitPermille: 100, LateCommitDelayMs: 500})
	return "lose responses " + r.Centre
}

func (c *faultInjector) outage(r *Router) string {
	c.f.Platform.SetFaults(r.Centre, platform.Faults{Outage: platform.OutageUnavailable})
	return "outage " + r.Centre
}

func (c *faultInjector) partition(r *Router) string {
	if c.partitioned != "" {
		c.f.healPartition(c.partitioned)
	}
	c.f.partition(r.Centre)
	c.partitioned = r.Centre
	return "partition " + r.Centre
}

func (c *faultInjector) silenceEngine(*Router) string {
	g := c.f.Engines[c.rng.IntN(len(c.f.Engines))]
	g.SetFaults(target.Faults{Silence: target.SilenceBoth})
	return "silence " + g.Name
}

func (c *faultInjector) heal() {
	c.resumeAll(nil)
	if c.partitioned != "" {
		c.f.healPartition(c.partitioned)
	}
	c.f.Platform.SetAllFaults(platform.Faults{})
}
