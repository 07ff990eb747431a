package route

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/retry"
)

var (
	simSeconds = flag.Int("sim.seconds", 15, "virtual seconds of each simulated run")
	simAll     = flag.Bool("sim.all", false, "simulate all scenarios, not only those that assert")
	simSeeds   = flag.Int("sim.seeds", 1, "seeds of each simulated run")
)

// scenario describes the load of a run and the faults injected into it.
type scenario struct {
	name string
	// load is the offered load relative to the capacity.
	load float64
	// reportLag is the age of a load report when it arrives.
	reportLag time.Duration
	inject    func(*simulation)
	// mustBeatBaselines asserts that the table serves more responses within the
	// goal than both baselines.
	mustBeatBaselines bool
	// targets and routers default to 12 and 4.
	targets, routers int
}

var scenarios = []scenario{
	{name: "calm", load: 0.6, reportLag: time.Second},
	{name: "slow target", load: 0.6, reportLag: time.Second, inject: func(s *simulation) { s.engines[0].slowFactor = simSlowFactor }},
	{name: "dead target", mustBeatBaselines: true, load: 0.6, reportLag: time.Second, inject: func(s *simulation) { s.engines[0].dead = true }},
	{name: "silent target", mustBeatBaselines: true, load: 0.6, reportLag: time.Second, inject: func(s *simulation) { s.engines[0].silent = true }},
	{name: "2x overload", mustBeatBaselines: true, load: 2, reportLag: time.Second},
	{name: "reports lag 1 s", load: 0.85, reportLag: time.Second},
	{name: "reports lag 5 s", load: 0.85, reportLag: 5 * time.Second},
	{name: "51 routers", load: 0.85, reportLag: time.Second, targets: 86, routers: 51},
	{name: "51 routers 5 s", load: 0.85, reportLag: 5 * time.Second, targets: 86, routers: 51},
}

// policies are the compared policies, each with the constructor of one router's
// picker.
var policies = []struct {
	name string
	make func(n int, seed uint64) simPicker
}{
	{"round robin", func(n int, seed uint64) simPicker { return newBaselinePicker(n, seed, false) }},
	{"least in flight", func(n int, seed uint64) simPicker { return newBaselinePicker(n, seed, true) }},
	{"two choices", func(n int, seed uint64) simPicker { return newTablePicker(n, seed, false) }},
	{"+ affinity", func(n int, seed uint64) simPicker { return newTablePicker(n, seed, true) }},
}

func newTablePicker(n int, seed uint64, affinity bool) simPicker {
	table := New(Options{Seed: seed, MaxInFlight: 64})
	table.Update(newTargets("old", "", n))
	return tablePicker{Table: table, affinity: affinity}
}

func newBaselinePicker(n int, seed uint64, least bool) simPicker {
	table := New(Options{MaxInFlight: 1 << 20})
	table.Update(newTargets("old", "", n))
	g := table.snapshot.Load().groups[groupKey{service: "model-pool", provider: "old"}]
	return &baselinePicker{entries: g.local.entries, table: table, leastInFlight: least, next: int(seed)}
}

// simulate runs one scenario under one policy.
func simulate(sc scenario, make func(int, uint64) simPicker, seed uint64, length time.Duration) *simResult {
	s := &simulation{rand: rand.New(rand.NewPCG(seed, 9))}
	n, routers := max(sc.targets, 12), max(sc.routers, 4)
	for range n {
		s.engines = append(s.engines, &engine{sim: s})
	}
	for i := range routers {
		s.routers = append(s.routers, make(n, seed*100+uint64(i)))
		s.budgets = append(s.budgets, retry.NewBudget(100, 10))
	}
	if sc.inject != nil {
		sc.inject(s)
	}
	s.reportLoads(sc.reportLag, length)
	s.arrivals(sc.load*simCapacity*float64(n), length)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	return &s.result
}

// reportLoads delivers every target's load to every router, with a lag.
func (s *simulation) reportLoads(lag, length time.Duration) {
	for at := time.Duration(0); at < length; at += simReportInterval {
		s.after(at, func() {
			for i, e := range s.engines {
				name := fmt.Sprint("old--", i)
				if e.dead || e.silent {
					s.after(time.Second, func() {
						for _, r := range s.routers {
							r.missing(name)
						}
					})
					continue
				}
				load := e.load()
				s.after(lag, func() {
					for _, r := range s.routers {
						r.report(name, load)
					}
				})
			}
		})
	}
}

// arrivals schedules requests as a Poisson process.
func (s *simulation) arrivals(rate float64, length time.Duration) {
	n := 0
	for at := 0.0; at < length.Seconds(); at += s.rand.ExpFloat64() / rate {
		id := n
		n++
		s.after(time.Duration(at*float64(time.Second)), func() { s.arrive(id) })
	}
}

// TestSimulation prints the table of docs/measurements. It asserts that the
// table serves more responses within the goal than both baselines if a target
// is dead or silent, and under overload.
func TestSimulation(t *testing.T) {
	length := time.Duration(*simSeconds) * time.Second
	for seed := range uint64(*simSeeds) {
		t.Logf("seed %d, %v", seed, length)
		t.Logf("%-16s %-16s %8s %8s %9s %8s %8s %8s %8s %7s", "scenario", "policy", "p50", "p99", "goodput/s", "whole/s", "refused", "failed", "sends", "wasted")
		for _, sc := range scenarios {
			if !sc.mustBeatBaselines && !*simAll {
				continue
			}
			var withinGoal []int
			for _, p := range policies {
				r := simulate(sc, p.make, seed, length)
				withinGoal = append(withinGoal, r.withinGoal)
				t.Logf("%-16s %-16s %8v %8v %9.1f %8.1f %7.1f%% %7.1f%% %7.1f%% %6.1f%%", sc.name, p.name, r.quantile(0.5), r.quantile(0.99),
					float64(r.withinGoal)/length.Seconds(), float64(r.completed)/length.Seconds(), percent(r.refused, r.offered), percent(r.failed, r.offered),
					percent(r.sends, r.offered), percent(r.wastedTokens, r.usedTokens+r.wastedTokens))
			}
			tableResult := withinGoal[len(withinGoal)-1]
			if sc.mustBeatBaselines {
				is.New(t).True(tableResult > withinGoal[0])
				is.New(t).True(tableResult > withinGoal[1])
			}
		}
	}
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
