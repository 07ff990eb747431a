package retry

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	hedgeSeeds   = flag.Int("hedge.seeds", 1, "seeds of the hedging simulation")
	hedgeSeconds = flag.Int("hedge.seconds", 10, "virtual seconds of each run")
)

// The simulated service, whose calls are lookups, not model calls. One lookup in
// 100 stalls, so the mean service time is 25 ms, from which hedgeCapacity, in
// lookups per second, is computed.
const (
	hedgeTargets     = 3
	hedgeWorkers     = 8
	hedgeServiceTime = 20 * time.Millisecond
	hedgeStall       = 500 * time.Millisecond
	hedgeTimeout     = 2 * time.Second
	hedgeCapacity    = float64(hedgeTargets*hedgeWorkers) / 0.025
)

// event is a callback at a virtual time.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at < q[j].at }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simTarget serves lookups with a fixed number of workers. It can't cancel a
// lookup that it has started.
type simTarget struct {
	busy       int
	slowFactor int
	silent     bool
	queue      []func()
	// inFlight is the number of requests in flight that the router counts.
	inFlight int
}

// hedgeSim is one run of the simulation.
type hedgeSim struct {
	queue   events
	now     time.Duration
	rand    *rand.Rand
	targets []*simTarget
	hedge   *Hedge
	budget  *Budget
	// mode is 0 without hedging, 1 for hedging without a budget and 2 with one.
	mode           int
	offered, sends int
	answered       []time.Duration
}

func (s *hedgeSim) after(d time.Duration, do func()) {
	heap.Push(&s.queue, event{s.now + d, do})
}

// send sends a lookup to a target; done is called when it answers.
func (s *hedgeSim) send(p *simTarget, done func()) {
	s.sends++
	p.inFlight++
	if p.silent {
		s.after(hedgeTimeout, func() { p.inFlight-- })
		return
	}
	p.queue = append(p.queue, done)
	s.startQueued(p)
}

func (s *hedgeSim) startQueued(p *simTarget) {
	for p.busy < hedgeWorkers && len(p.queue) > 0 {
		done := p.queue[0]
		p.queue = p.queue[1:]
		p.busy++
		took := time.Duration(s.rand.ExpFloat64() * float64(hedgeServiceTime))
		if s.rand.IntN(100) == 0 {
			took += hedgeStall
		}
		s.after(took*time.Duration(max(1, p.slowFactor)), func() {
			p.busy--
			p.inFlight--
			done()
			s.startQueued(p)
		})
	}
}

// pickTarget returns the less loaded of two random targets.
func (s *hedgeSim) pickTarget(except *simTarget) *simTarget {
	var best *simTarget
	for range 2 {
		p := s.targets[s.rand.IntN(len(s.targets))]
		for p == except {
			p = s.targets[s.rand.IntN(len(s.targets))]
		}
		if best == nil || p.inFlight < best.inFlight {
			best = p
		}
	}
	return best
}

func (s *hedgeSim) lookup() {
	s.offered++
	s.budget.Deposit()
	arrived, answered := s.now, false
	done := func() {
		if answered || s.now-arrived > hedgeTimeout {
			return
		}
		answered = true
		s.answered = append(s.answered, s.now-arrived)
		s.hedge.Observe(s.now - arrived)
	}
	first := s.pickTarget(nil)
	s.send(first, done)
	if s.mode == 0 {
		return
	}
	s.after(s.hedge.Delay(), func() {
		if answered || s.mode == 2 && !s.budget.Withdraw() {
			return
		}
		s.send(s.pickTarget(first), done)
	})
}

func (s *hedgeSim) quantile(q float64) time.Duration {
	slices.Sort(s.answered)
	return s.answered[int(q*float64(len(s.answered)-1))].Round(time.Millisecond)
}

func runHedge(mode int, load float64, slowFactor int, silent bool, seed uint64) *hedgeSim {
	length := time.Duration(*hedgeSeconds) * time.Second
	s := &hedgeSim{mode: mode, rand: rand.New(rand.NewPCG(seed, 5)), hedge: NewHedge(), budget: NewBudget(100, 10)}
	for range hedgeTargets {
		s.targets = append(s.targets, &simTarget{})
	}
	s.targets[0].slowFactor, s.targets[0].silent = slowFactor, silent
	arrivals := rand.New(rand.NewPCG(seed, 6))
	for at := 0.0; at < length.Seconds(); at += arrivals.ExpFloat64() / (load * hedgeCapacity) {
		s.after(time.Duration(at*float64(time.Second)), s.lookup)
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	return s
}

// TestBudgetedHedgingShortensTail prints the table of docs/measurements. It
// asserts that budgeted hedging stays within its budget, shortens the tail
// latency at moderate load, and gets more responses if a target is silent. In
// that case the tail latency says nothing, since it covers only answered
// lookups.
func TestBudgetedHedgingShortensTail(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(*hedgeSeeds) {
		t.Logf("seed %d", seed)
		t.Logf("%-22s %-18s %8s %8s %9s %8s", "scenario", "hedging", "p50", "p99", "answered", "sends")
		for _, sc := range []struct {
			name   string
			load   float64
			slow   int
			silent bool
		}{{"load 0.4", 0.4, 0, false}, {"load 0.8", 0.8, 0, false}, {"slow target, 0.4", 0.4, 5, false}, {"silent target, 0.4", 0.4, 0, true}, {"2x overload", 2, 0, false}} {
			var runs []*hedgeSim
			for mode, name := range []string{"none", "without budget", "budget of 10%"} {
				s := runHedge(mode, sc.load, sc.slow, sc.silent, seed)
				runs = append(runs, s)
				t.Logf("%-22s %-18s %8v %8v %8.1f%% %7.1f%%", sc.name, name, s.quantile(0.5), s.quantile(0.99),
					100*float64(len(s.answered))/float64(s.offered), 100*float64(s.sends)/float64(s.offered))
			}
			budgeted := runs[2]
			is.True(budgeted.sends <= budgeted.offered+budgeted.offered/10+10)
			switch {
			case sc.silent:
				is.True(len(budgeted.answered) > len(runs[0].answered))
			case sc.load < 0.5:
				is.True(budgeted.quantile(0.99) < runs[0].quantile(0.99))
			}
		}
	}
}
