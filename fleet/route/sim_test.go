package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/retry"
)

// The simulated fleet: engines with continuous batching, reduced to slots.
const (
	simSlots        = 16
	simPrefixes     = 1000
	simCachePerNode = 40
	simColdPrefill  = 400 * time.Millisecond
	simWarmPrefill  = 80 * time.Millisecond
	simTokenTime    = 20 * time.Millisecond
	simMeanTokens   = 100
	simFirstByte    = 6 * time.Second
	simPatience     = 10 * time.Second
	simReportEvery  = time.Second
	simSlowFactor   = 5
	// simGoal is the first-token time of good answers.
	simGoal = 1400 * time.Millisecond
	// simWhole is how long a caller waits for the whole answer.
	simWhole = 20 * time.Second
	// simCapacity is the rate of requests a second that one target can serve
	// with about half of the prefixes cached.
	simCapacity = simSlots / 2.24
)

// simEvent is something that happens at a virtual time.
type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// sim is one run over virtual time.
type sim struct {
	queue   simQueue
	seq     int
	now     time.Duration
	rand    *rand.Rand
	engines []*engine
	routers []simPicker
	budgets []*retry.Budget
	result  simResult
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + d, seq: s.seq, do: do})
}

func (s *sim) clock() time.Time { return testNow.Add(s.now) }

// simResult is what a run showed.
type simResult struct {
	offered, whole, good, refused, failed int
	sends                                 int
	firstToken                            []time.Duration
	usedTokens, wastedTokens              int
}

func (r *simResult) quantile(q float64) time.Duration {
	if len(r.firstToken) == 0 {
		return 0
	}
	slices.Sort(r.firstToken)
	return r.firstToken[int(q*float64(len(r.firstToken)-1))].Round(time.Millisecond)
}

// engine is one target.
type engine struct {
	sim    *sim
	slow   int
	dead   bool
	silent bool
	busy   int
	queue  []*job
	cache  []int
}

// job is one send of a request.
type job struct {
	prefix  int
	tokens  int
	started bool
	first   time.Duration
	over    bool
	onFirst func()
	onEnd   func()
}

func (e *engine) submit(j *job) {
	if e.silent {
		return
	}
	e.queue = append(e.queue, j)
	e.next()
}

// next starts waiting jobs while slots are free.
func (e *engine) next() {
	for e.busy < simSlots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if !j.over {
			e.start(j)
		}
	}
}

func (e *engine) start(j *job) {
	e.busy++
	j.started = true
	factor := time.Duration(max(1, e.slow))
	prefill := simColdPrefill
	if e.cached(j.prefix) {
		prefill = simWarmPrefill
	}
	e.sim.after(prefill*factor, func() {
		if j.over {
			return
		}
		j.first = e.sim.now
		j.onFirst()
		e.sim.after(time.Duration(j.tokens)*simTokenTime*factor, func() {
			if j.over {
				return
			}
			e.end(j)
			e.sim.result.usedTokens += j.tokens
			j.onEnd()
		})
	})
}

// end frees the job's slot.
func (e *engine) end(j *job) {
	j.over = true
	if j.started {
		e.busy--
		e.next()
	}
}

// cancel ends a job early. What it generated is wasted.
func (e *engine) cancel(j *job) {
	if j.first > 0 {
		done := int((e.sim.now - j.first) / simTokenTime / time.Duration(max(1, e.slow)))
		e.sim.result.wastedTokens += min(done, j.tokens)
	}
	e.end(j)
}

// cached tells whether the prefix was cached, and caches it.
func (e *engine) cached(prefix int) bool {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > simCachePerNode {
		e.cache = e.cache[1:]
	}
	return i >= 0
}

func (e *engine) load() int { return e.busy + len(e.queue) }

// simPicker is one router's policy.
type simPicker interface {
	pick(r *Request) (Lease, error)
	report(name string, inFlight int)
	missing(name string)
}

// tablePicker is the package's own policy.
type tablePicker struct {
	*Table
	affinity bool
}

func (p tablePicker) pick(r *Request) (Lease, error) {
	if !p.affinity {
		r.PrefixHash = 0
	}
	return p.Pick(r)
}

func (p tablePicker) report(name string, inFlight int) { p.Report(name, inFlight, false) }

func (p tablePicker) missing(name string) { p.ReportMissing(name) }

// plainPicker is a baseline without limits, suspicion or reports.
type plainPicker struct {
	entries []*entry
	table   *Table
	least   bool
	turn    int
}

func (p *plainPicker) pick(*Request) (Lease, error) {
	p.turn++
	best := p.entries[p.turn%len(p.entries)]
	for i := range p.entries {
		e := p.entries[(p.turn+i)%len(p.entries)]
		if p.least && e.state.own.Load() < best.state.own.Load() {
			best = e
		}
	}
	best.state.own.Add(1)
	return Lease{entry: best, table: p.table}, nil
}

func (p *plainPicker) report(string, int) {}

func (p *plainPicker) missing(string) {}

// simRequest is one request at its router.
type simRequest struct {
	sim     *sim
	router  int
	id      string
	prefix  int
	tokens  int
	arrival time.Duration
	tries   int
	exclude []string
	// settled says that the caller was answered, refused or gave up.
	settled bool
	current *job
	engine  *engine
	lease   Lease
}

func (s *sim) arrive(n int) {
	s.result.offered++
	r := &simRequest{
		sim:     s,
		router:  s.rand.IntN(len(s.routers)),
		id:      fmt.Sprint("request-", n),
		prefix:  int(simPrefixes * s.rand.Float64() * s.rand.Float64()),
		tokens:  1 + int(s.rand.ExpFloat64()*simMeanTokens),
		arrival: s.now,
	}
	s.after(simPatience, r.giveUp)
	s.after(simWhole, r.cutOff)
	r.send()
}

func (r *simRequest) send() {
	s := r.sim
	if r.settled {
		return
	}
	lease, err := s.routers[r.router].pick(&Request{
		Service:         "model-pool",
		RequestID:       r.id,
		DefaultProvider: "old",
		PrefixHash:      uint64(r.prefix) + 1,
		Exclude:         r.exclude,
		Now:             s.clock(),
	})
	if err != nil {
		r.settled = true
		s.result.refused++
		return
	}
	r.tries++
	s.result.sends++
	var number int
	fmt.Sscanf(lease.Target().Name, "old--%d", &number)
	r.engine, r.lease = s.engines[number], lease
	if r.engine.dead {
		r.failed(errkind.TargetUnreachable)
		return
	}
	start := s.now
	j := &job{prefix: r.prefix, tokens: r.tokens}
	r.current = j
	j.onFirst = func() {
		if r.settled {
			return
		}
		r.settled = true
		s.result.firstToken = append(s.result.firstToken, s.now-r.arrival)
	}
	j.onEnd = func() {
		s.result.whole++
		if j.first-r.arrival <= simGoal {
			s.result.good++
		}
		lease.Done(Outcome{Result: OK, FirstByte: j.first - start, Now: s.clock()})
	}
	s.after(simFirstByte, func() {
		if j.first == 0 && !j.over {
			r.engine.cancel(j)
			r.failed(errkind.TargetSilent)
		}
	})
	r.engine.submit(j)
}

// failed ends one send and tries again where the budget allows.
func (r *simRequest) failed(kind errkind.Kind) {
	s := r.sim
	r.lease.Done(Outcome{Result: ResultOf(errkind.New(kind, "failed")), Now: s.clock()})
	r.exclude = append(r.exclude, r.lease.Target().Name)
	wait, again := retry.DefaultPolicy().Next(s.budgets[r.router], retry.Failure{
		Attempts:  r.tries,
		Call:      pb.CallKind_CALL_KIND_MODEL,
		Kind:      kind,
		Remaining: r.arrival + simPatience - s.now,
		Random:    s.rand.Uint64(),
	})
	if again {
		s.after(wait, r.send)
		return
	}
	r.settled = true
	s.result.failed++
}

// giveUp is the caller's patience: without a first token it goes away.
func (r *simRequest) giveUp() {
	if r.settled {
		return
	}
	r.settled = true
	r.sim.result.failed++
	if r.current != nil && !r.current.over {
		r.engine.cancel(r.current)
		r.lease.Done(Outcome{Result: Neutral, Now: r.sim.clock()})
	}
}

// cutOff is the deadline of the whole answer.
func (r *simRequest) cutOff() {
	if r.current == nil || r.current.over {
		return
	}
	r.sim.result.failed++
	r.engine.cancel(r.current)
	r.lease.Done(Outcome{Result: Neutral, Now: r.sim.clock()})
}
