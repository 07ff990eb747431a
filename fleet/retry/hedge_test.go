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

// The simulated plain service.
const (
	hedgeTargets  = 3
	hedgeWorkers  = 8
	hedgeService  = 20 * time.Millisecond
	hedgeStall    = 500 * time.Millisecond
	hedgePatience = 2 * time.Second
	hedgeCapacity = float64(hedgeTargets*hedgeWorkers) / 0.025
)

// event is something that happens at a virtual time.
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

// plainTarget serves lookups by workers. It can't cancel what it has begun.
type plainTarget struct {
	busy   int
	slow   int
	silent bool
	queue  []func()
	// inFlight is what the router counts.
	inFlight int
}

// hedgeSim is one run.
type hedgeSim struct {
	queue   events
	now     time.Duration
	rand    *rand.Rand
	targets []*plainTarget
	hedge   *Hedge
	budget  *Budget
	// mode is 0 without hedging, 1 without and 2 with a budget.
	mode           int
	offered, sends int
	answered       []time.Duration
}

func (s *hedgeSim) after(d time.Duration, do func()) {
	heap.Push(&s.queue, event{s.now + d, do})
}

// send gives a lookup to a target; done is called with its answer.
func (s *hedgeSim) send(p *plainTarget, done func()) {
	s.sends++
	p.inFlight++
	if p.silent {
		s.after(hedgePatience, func() { p.inFlight-- })
		return
	}
	p.queue = append(p.queue, done)
	s.serve(p)
}

func (s *hedgeSim) serve(p *plainTarget) {
	for p.busy < hedgeWorkers && len(p.queue) > 0 {
		done := p.queue[0]
		p.queue = p.queue[1:]
		p.busy++
		took := time.Duration(s.rand.ExpFloat64() * float64(hedgeService))
		if s.rand.IntN(100) == 0 {
			took += hedgeStall
		}
		s.after(took*time.Duration(max(1, p.slow)), func() {
			p.busy--
			p.inFlight--
			done()
			s.serve(p)
		})
	}
}

// choose takes the less loaded of two.
func (s *hedgeSim) choose(except *plainTarget) *plainTarget {
	var best *plainTarget
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
		if answered || s.now-arrived > hedgePatience {
			return
		}
		answered = true
		s.answered = append(s.answered, s.now-arrived)
		s.hedge.Observe(s.now - arrived)
	}
	first := s.choose(nil)
	s.send(first, done)
	if s.mode == 0 {
		return
	}
	s.after(s.hedge.Delay(), func() {
		if answered || s.mode == 2 && !s.budget.Withdraw() {
			return
		}
		s.send(s.choose(first), done)
	})
}

func (s *hedgeSim) quantile(q float64) time.Duration {
	slices.Sort(s.answered)
	return s.answered[int(q*float64(len(s.answered)-1))].Round(time.Millisecond)
}

func runHedge(mode int, load float64, slow int, silent bool, seed uint64) *hedgeSim {
	length := time.Duration(*hedgeSeconds) * time.Second
	s := &hedgeSim{mode: mode, rand: rand.New(rand.NewPCG(seed, 5)), hedge: NewHedge(), budget: NewBudget(100, 10)}
	for range hedgeTargets {
		s.targets = append(s.targets, &plainTarget{})
	}
	s.targets[0].slow, s.targets[0].silent = slow, silent
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

// TestHedgingPays prints the table of docs/measurements. It asserts that a
// budgeted hedge stays within its budget, shortens the tail at moderate load, and
// gets more answers where a target is silent (the tail of those that were
// answered says nothing there).
func TestHedgingPays(t *testing.T) {
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
