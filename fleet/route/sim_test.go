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

// The simulated fleet of engines with continuous batching, modelled as a fixed
// number of slots per engine.
const (
	simSlots             = 16
	simPrefixes          = 1000
	simCachedPrefixes    = 40
	simColdPrefill       = 400 * time.Millisecond
	simWarmPrefill       = 80 * time.Millisecond
	simTokenTime         = 20 * time.Millisecond
	simMeanTokens        = 100
	simFirstByteTimeout  = 6 * time.Second
	simFirstTokenTimeout = 10 * time.Second
	simReportInterval    = time.Second
	simSlowFactor        = 5
	// simFirstTokenGoal is the maximum time to the first token of a response
	// that counts as within the goal.
	simFirstTokenGoal = 1400 * time.Millisecond
	// simResponseTimeout is how long a caller waits for the whole response.
	simResponseTimeout = 20 * time.Second
	// simCapacity is the number of requests per second that one target can
	// serve with about half of the prefixes cached. A request then takes 2.24 s
	// on average: 0.24 s of prefill and 100 tokens of 20 ms.
	simCapacity = simSlots / 2.24
)

// simEvent is a callback at a virtual time.
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

// simulation is one run over virtual time.
type simulation struct {
	queue   simQueue
	seq     int
	now     time.Duration
	rand    *rand.Rand
	engines []*engine
	routers []simPicker
	budgets []*retry.Budget
	result  simResult
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now + d, seq: s.seq, do: do})
}

func (s *simulation) wallTime() time.Time { return testNow.Add(s.now) }

// simResult holds the counts of one run.
type simResult struct {
	offered, completed, withinGoal, refused, failed int
	sends                                           int
	firstToken                                      []time.Duration
	usedTokens, wastedTokens                        int
}

func (r *simResult) quantile(q float64) time.Duration {
	if len(r.firstToken) == 0 {
		return 0
	}
	slices.Sort(r.firstToken)
	return r.firstToken[int(q*float64(len(r.firstToken)-1))].Round(time.Millisecond)
}

// engine is one simulated target.
type engine struct {
	sim        *simulation
	slowFactor int
	dead       bool
	silent     bool
	busy       int
	queue      []*job
	cache      []int
}

// job is one send of a request.
type job struct {
	prefix       int
	tokens       int
	started      bool
	firstAt      time.Duration
	ended        bool
	onFirstToken func()
	onEnd        func()
}

func (e *engine) submit(j *job) {
	if e.silent {
		return
	}
	e.queue = append(e.queue, j)
	e.startQueued()
}

// startQueued starts waiting jobs while slots are free.
func (e *engine) startQueued() {
	for e.busy < simSlots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if !j.ended {
			e.start(j)
		}
	}
}

func (e *engine) start(j *job) {
	e.busy++
	j.started = true
	factor := time.Duration(max(1, e.slowFactor))
	prefill := simColdPrefill
	if e.lookupPrefix(j.prefix) {
		prefill = simWarmPrefill
	}
	e.sim.after(prefill*factor, func() {
		if j.ended {
			return
		}
		j.firstAt = e.sim.now
		j.onFirstToken()
		e.sim.after(time.Duration(j.tokens)*simTokenTime*factor, func() {
			if j.ended {
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
	j.ended = true
	if j.started {
		e.busy--
		e.startQueued()
	}
}

// cancel ends a job early. The tokens that it has generated are wasted.
func (e *engine) cancel(j *job) {
	if j.firstAt > 0 {
		done := int((e.sim.now - j.firstAt) / simTokenTime / time.Duration(max(1, e.slowFactor)))
		e.sim.result.wastedTokens += min(done, j.tokens)
	}
	e.end(j)
}

// lookupPrefix reports whether the prefix was cached, and caches it.
func (e *engine) lookupPrefix(prefix int) bool {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > simCachedPrefixes {
		e.cache = e.cache[1:]
	}
	return i >= 0
}

func (e *engine) load() int { return e.busy + len(e.queue) }

// simPicker is the load-balancing policy of one router.
type simPicker interface {
	pick(r *Request) (Lease, error)
	report(name string, inFlight int)
	missing(name string)
}

// tablePicker is the policy of this package.
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

// baselinePicker is a baseline policy without limits, suspicion or load
// reports.
type baselinePicker struct {
	entries       []*entry
	table         *Table
	leastInFlight bool
	next          int
}

func (p *baselinePicker) pick(*Request) (Lease, error) {
	p.next++
	best := p.entries[p.next%len(p.entries)]
	for i := range p.entries {
		e := p.entries[(p.next+i)%len(p.entries)]
		if p.leastInFlight && e.state.inFlight.Load() < best.state.inFlight.Load() {
			best = e
		}
	}
	best.state.inFlight.Add(1)
	return Lease{entry: best, table: p.table}, nil
}

func (p *baselinePicker) report(string, int) {}

func (p *baselinePicker) missing(string) {}

// simRequest is one request at its router.
type simRequest struct {
	sim      *simulation
	router   int
	id       string
	prefix   int
	tokens   int
	arrival  time.Duration
	attempts int
	exclude  []string
	// settled is set once the caller got the first token, was refused, failed
	// or gave up.
	settled bool
	current *job
	engine  *engine
	lease   Lease
}

func (s *simulation) arrive(n int) {
	s.result.offered++
	r := &simRequest{
		sim:     s,
		router:  s.rand.IntN(len(s.routers)),
		id:      fmt.Sprint("request-", n),
		prefix:  int(simPrefixes * s.rand.Float64() * s.rand.Float64()),
		tokens:  1 + int(s.rand.ExpFloat64()*simMeanTokens),
		arrival: s.now,
	}
	s.after(simFirstTokenTimeout, r.firstTokenTimeout)
	s.after(simResponseTimeout, r.responseTimeout)
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
		Now:             s.wallTime(),
	})
	if err != nil {
		r.settled = true
		s.result.refused++
		return
	}
	r.attempts++
	s.result.sends++
	var number int
	fmt.Sscanf(lease.Target().Name, "old--%d", &number)
	r.engine, r.lease = s.engines[number], lease
	if r.engine.dead {
		r.sendFailed(errkind.TargetUnreachable)
		return
	}
	start := s.now
	j := &job{prefix: r.prefix, tokens: r.tokens}
	r.current = j
	j.onFirstToken = func() {
		if r.settled {
			return
		}
		r.settled = true
		s.result.firstToken = append(s.result.firstToken, s.now-r.arrival)
	}
	j.onEnd = func() {
		s.result.completed++
		if j.firstAt-r.arrival <= simFirstTokenGoal {
			s.result.withinGoal++
		}
		lease.Done(Outcome{Result: OK, FirstByte: j.firstAt - start, Now: s.wallTime()})
	}
	s.after(simFirstByteTimeout, func() {
		if j.firstAt == 0 && !j.ended {
			r.engine.cancel(j)
			r.sendFailed(errkind.TargetSilent)
		}
	})
	r.engine.submit(j)
}

// sendFailed ends a failed send and retries if the policy and the budget allow
// it.
func (r *simRequest) sendFailed(kind errkind.Kind) {
	s := r.sim
	r.lease.Done(Outcome{Result: ResultOf(errkind.New(kind, "failed")), Now: s.wallTime()})
	r.exclude = append(r.exclude, r.lease.Target().Name)
	wait, again := retry.DefaultPolicy().Next(s.budgets[r.router], retry.Failure{
		Attempts:  r.attempts,
		Call:      pb.CallKind_CALL_KIND_MODEL,
		Kind:      kind,
		Remaining: r.arrival + simFirstTokenTimeout - s.now,
		Random:    s.rand.Uint64(),
	})
	if again {
		s.after(wait, r.send)
		return
	}
	r.settled = true
	s.result.failed++
}

// firstTokenTimeout is called when the caller gives up waiting for the first
// token.
func (r *simRequest) firstTokenTimeout() {
	if r.settled {
		return
	}
	r.settled = true
	r.sim.result.failed++
	if r.current != nil && !r.current.ended {
		r.engine.cancel(r.current)
		r.lease.Done(Outcome{Result: Neutral, Now: r.sim.wallTime()})
	}
}

// responseTimeout is called at the deadline of the whole response.
func (r *simRequest) responseTimeout() {
	if r.current == nil || r.current.ended {
		return
	}
	r.sim.result.failed++
	r.engine.cancel(r.current)
	r.lease.Done(Outcome{Result: Neutral, Now: r.sim.wallTime()})
}
