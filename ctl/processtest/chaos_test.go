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

// firstChaosSeed is the first of the random runs' seeds.
const firstChaosSeed = 201

// chaosSeeds is how many random runs are made; longer trials make more.
var chaosSeeds = flag.Int("chaos-seeds", 2, "number of random runs")

// Faults of many kinds come at random, also together and twice, while callers
// stream and send actions. The invariants hold throughout, and once all is
// healed the fleet serves and settles.
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
	// chaosPause is the mean time between two faults.
	chaosPause = 400 * time.Millisecond
)

func testRandomFaults(t *testing.T, seed uint64) {
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: seed, PrepaidTokens: 500_000, TokensPerSecond: 200,
		Centres: []string{"cluj-a", "cluj-b", "dej-c"}, Settings: shortSilence})
	stop := f.watchBudget()
	tally := newTally()
	var work conc.WaitGroup
	over := make(chan struct{})
	for c := range chaosCallers {
		work.Go(func() { callUntil(f, tally, c, rand.New(rand.NewPCG(seed, uint64(c))), over) })
	}
	faults := chaos{f: f, t: t, rng: rand.New(rand.NewPCG(seed, 1000))}
	for range chaosRounds {
		faults.strike()
	}
	faults.heal()
	close(over)
	work.Wait()
	f.WaitConverged()
	for _, r := range f.Routers {
		Eventually(t, "no bill waits at "+r.Name, func() bool { return r.Vars().Ledger.WaitingBills == 0 })
		is.Equal(r.Vars().Ledger.ConservationBroken, uint64(0))
		Eventually(t, r.Name+" serves", func() bool { return r.MustDo(ChatRequest("", 5, false)).OK() })
	}
	f.waitSpent()
	stop()
	b := f.Budget()
	t.Logf("%d served, %d unbilled but covered, broken %v, refused %v, faults %v; %v",
		tally.ServedCount(), len(f.unbilled(tally)), tally.Interrupted, tally.RefusalsByKind, faults.done, b)
	is.True(tally.ServedCount() > 0)
	is.True(tally.TotalUsage() <= b.Spent+b.Granted+b.InDoubt)
	is.Equal(f.Services[0].ServiceCounts().Repeated, 0) // no action ran twice
}

// callUntil makes calls one after the other until over is closed.
func callUntil(f *Fleet, tally *CallResults, caller int, rng *rand.Rand, over <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		default:
		}
		persist(f, tally, ChatRequest(fmt.Sprintf("chat-%d-%d", caller, n), 30, true), rng)
		f.tryAction(ActionRequest(fmt.Sprintf("act-%d-%d", caller, n)), rng)
	}
}

// chaos breaks and heals a fleet.
type chaos struct {
	f    *Fleet
	t    *testing.T
	rng  *rand.Rand
	done []string
	// frozen and cut are what has to be healed.
	frozen []*Router
	cut    string
}

// strike lets one more fault happen, on top of those that last.
func (c *chaos) strike() {
	time.Sleep(time.Duration(c.rng.Int64N(int64(2 * chaosPause))))
	r := c.f.Routers[c.rng.IntN(len(c.f.Routers))]
	kinds := []func(r *Router) string{c.kill, c.freeze, c.thaw, c.loseAnswers, c.outage, c.cutOff, c.silence}
	c.done = append(c.done, kinds[c.rng.IntN(len(kinds))](r))
}

func (c *chaos) kill(r *Router) string {
	r.Kill()
	r.Start(c.t)
	return "kill " + r.Name
}

func (c *chaos) freeze(r *Router) string {
	r.Pause()
	c.frozen = append(c.frozen, r)
	return "freeze " + r.Name
}

func (c *chaos) thaw(*Router) string {
	for _, r := range c.frozen {
		r.Resume()
	}
	c.frozen = nil
	return "thaw"
}

func (c *chaos) loseAnswers(r *Router) string {
	c.f.Platform.SetFaults(r.Centre, platform.Faults{DropResponsePermille: 300, LateCommitPermille: 100, LateCommitDelayMs: 500})
	return "lose answers " + r.Centre
}

func (c *chaos) outage(r *Router) string {
	c.f.Platform.SetFaults(r.Centre, platform.Faults{Outage: platform.OutageUnavailable})
	return "outage " + r.Centre
}

func (c *chaos) cutOff(r *Router) string {
	if c.cut != "" {
		c.f.heal(c.cut)
	}
	c.f.cutOff(r.Centre)
	c.cut = r.Centre
	return "cut " + r.Centre
}

func (c *chaos) silence(*Router) string {
	g := c.f.Engines[c.rng.IntN(len(c.f.Engines))]
	g.SetFaults(target.Faults{Silence: target.SilenceBoth})
	return "silence " + g.Name
}

func (c *chaos) heal() {
	c.thaw(nil)
	if c.cut != "" {
		c.f.heal(c.cut)
	}
	c.f.Platform.SetAllFaults(platform.Faults{})
}
