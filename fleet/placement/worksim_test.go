package placement

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// simKind is a kind of request. Requests with shared tokens share them with those of the
// same prefix.
type simKind struct {
	name           string
	prompt, shared int64
	output         int
	goal           int // time in ms in which the first event is due
	weight         float64
	work           int // time in ms of a request to a plain service; 0 for engines
}

// simLoad is a load on a small model of a deployment.
type simLoad struct {
	kinds             []simKind
	gateways, targets int // targets of each of three data centres
	slots             int
	rate              float64 // requests per second
	busiest           float64 // share of the requests in the first data centre
	prefixes          int
	hottest           float64 // share of the first prefix in the requests with one
	seconds           int
	reportPace        bool
	// change is called every ms and may change the engines, the list of targets, or the mix.
	change func(w *simWorld, ms int)
	// report may replace a target's report.
	report func(w *simWorld, e *simEngine, load Load) Load
}

type simRequest struct {
	kind          *simKind
	prefix        uint64
	lease         *Lease
	source        *simEngine
	arrived       int
	output        int
	unread        int64
	readyAt, ends float64
	first         bool
}

// simEngine runs requests in a batch: each step reads a chunk of a prompt and makes one
// token for each request whose prompt is read. A plain one runs each for a time.
type simEngine struct {
	target           Target
	slots            int
	speed            float64 // time per work, relative to the normal
	clock            float64
	waiting, running []*simRequest
	cached           map[uint64]float64
	gone             bool
}

type simWorld struct {
	simLoad
	rng      *rand.Rand
	engines  []*simEngine
	byID     map[string]*simEngine
	tables   []*Table
	events   map[int][]func(now time.Time)
	now      int
	served   map[string]int
	total    map[string]int
	perDC    map[string]int
	reread   int64
	contacts map[[2]string]bool
	firsts   []float64
	byWork   bool
}

func (w *simWorld) time() time.Time { return testNow.Add(time.Duration(w.now) * time.Millisecond) }

func (w *simWorld) at(ms float64, f func(now time.Time)) {
	tick := max(int(ms)+1, w.now+1)
	w.events[tick] = append(w.events[tick], f)
}

func newSimWorld(load *simLoad, byWork bool, seed uint64) *simWorld {
	w := &simWorld{
		simLoad: *load, byWork: byWork, rng: rand.New(rand.NewPCG(seed, 1)), byID: make(map[string]*simEngine), events: make(map[int][]func(time.Time)),
		served: make(map[string]int), total: make(map[string]int), perDC: make(map[string]int), contacts: make(map[[2]string]bool),
	}
	w.kinds = append([]simKind(nil), load.kinds...)
	for i := range 3 * load.targets {
		w.addEngine(fmt.Sprintf("t%d", i), i)
	}
	for i := range load.gateways {
		t := New(fmt.Sprintf("dc%d", i%3))
		if byWork {
			t.UseExpectedWork(true, uint64(i+1)*77)
		}
		w.tables = append(w.tables, t)
	}
	w.list()
	return w
}

func (w *simWorld) addEngine(id string, i int) *simEngine {
	e := &simEngine{target: Target{ID: id, Service: "s", Address: id, DataCentre: fmt.Sprintf("dc%d", i%3)}, slots: w.slots, speed: 1 + 0.3*float64(i%4)/3, cached: make(map[uint64]float64)}
	e.clock = float64(w.now)
	w.engines = append(w.engines, e)
	w.byID[id] = e
	return e
}

// list tells all gateways the targets that are there.
func (w *simWorld) list() {
	var targets []Target
	for _, e := range w.engines {
		if !e.gone {
			targets = append(targets, e.target)
		}
	}
	for _, t := range w.tables {
		t.Update(targets, w.time())
	}
}

// run runs the load and returns the share of the requests whose first event came within
// the goal, each kind with equal weight.
func (w *simWorld) run() float64 {
	due := 0.0
	for w.now = 0; w.now < w.seconds*1000; w.now++ {
		if w.change != nil {
			w.change(w, w.now)
		}
		for _, f := range w.events[w.now] {
			f(w.time())
		}
		delete(w.events, w.now)
		for due <= float64(w.now) {
			w.arrive()
			due += w.rng.ExpFloat64() * 1000 / w.rate
		}
		for _, e := range w.engines {
			w.runEngine(e)
		}
	}
	var sum float64
	for kind, n := range w.total {
		sum += float64(w.served[kind]) / float64(n)
	}
	return sum / float64(len(w.total))
}

func (w *simWorld) arrive() {
	kind := &w.kinds[0]
	x := w.rng.Float64()
	for i := range w.kinds {
		kind = &w.kinds[i]
		if x < kind.weight {
			break
		}
		x -= kind.weight
	}
	dc := 1 + w.rng.IntN(2)
	if w.rng.Float64() < w.busiest {
		dc = 0
	}
	gateway := (w.rng.IntN((w.gateways+2)/3)*3 + dc) % w.gateways
	q := &simRequest{kind: kind, arrived: w.now, output: max(int(float64(kind.output)*(0.5+w.rng.Float64())), 1)}
	r := &Request{Service: "s", PromptTokens: kind.prompt, MaxOutputTokens: 2 * int64(kind.output), Route: kind.name, Workspace: "w", Now: w.time()}
	if kind.shared > 0 {
		q.prefix = uint64(1 + w.rng.IntN(w.prefixes))
		if w.rng.Float64() < w.hottest {
			q.prefix = 1
		}
		q.prefix = q.prefix*1000 + uint64(kind.prompt)
		r.Affinity, r.SharedTokens = q.prefix, kind.shared
	}
	w.total[kind.name]++
	lease, err := w.tables[gateway].Pick(r)
	if err != nil {
		return
	}
	q.lease = lease
	e := w.byID[lease.Target().ID]
	if source := lease.Source(); source != nil {
		q.source = w.byID[source.ID]
	}
	w.perDC[e.target.DataCentre]++
	w.contacts[[2]string{fmt.Sprint(gateway), e.target.ID}] = true
	w.at(float64(w.now)+w.path(q, e), func(time.Time) {
		if e.gone {
			lease.Done(Unreachable, w.time())
			return
		}
		e.waiting = append(e.waiting, q)
	})
}

// path is the time in ms to another data centre, or within one.
func (w *simWorld) path(q *simRequest, e *simEngine) float64 {
	if q.lease.table.dataCentre != e.target.DataCentre {
		return 8
	}
	return 0.5
}

// runEngine advances an engine to the current time.
func (w *simWorld) runEngine(e *simEngine) {
	if e.gone {
		return
	}
	for e.clock <= float64(w.now) {
		for len(e.waiting) > 0 && len(e.running) < e.slots {
			w.begin(e, e.waiting[0])
			e.waiting = e.waiting[1:]
		}
		if len(e.running) == 0 {
			e.clock = float64(w.now) + 0.001
			return
		}
		w.step(e)
	}
}

// begin gives a request a slot. Cached parts need not be read again, nor those that can
// be copied from the source.
func (w *simWorld) begin(e *simEngine, q *simRequest) {
	e.running = append(e.running, q)
	q.unread, q.readyAt = q.kind.prompt, e.clock
	if q.kind.work > 0 {
		q.ends = e.clock + float64(q.kind.work)*e.speed*(0.5+w.rng.Float64())
		return
	}
	if q.kind.shared == 0 {
		return
	}
	switch {
	case e.has(q.prefix):
		q.unread -= q.kind.shared
	case q.source != nil && q.source.has(q.prefix):
		q.unread -= q.kind.shared
		q.readyAt += 2 + 0.0025*float64(q.kind.shared)
	default:
		w.reread += q.kind.shared
	}
}

func (e *simEngine) has(prefix uint64) bool {
	last, known := e.cached[prefix]
	return known && e.clock-last < 15_000
}

// step runs one step of an engine: a chunk of the first unread prompt, and one token of
// each request whose prompt is read.
func (w *simWorld) step(e *simEngine) {
	var took float64
	var reading *simRequest
	decoding := 0
	for _, q := range e.running {
		switch {
		case q.kind.work > 0:
		case q.unread == 0:
			decoding++
		case reading == nil && q.readyAt <= e.clock:
			reading = q
		}
	}
	if reading != nil {
		chunk := min(reading.unread, 512)
		reading.unread -= chunk
		took += float64(chunk) / 55
	}
	if decoding > 0 {
		took += 5 + 0.1*float64(decoding)
	}
	e.clock += max(took, 0.5) * e.speed
	left := e.running[:0]
	for _, q := range e.running {
		if !w.advance(e, q) {
			left = append(left, q)
		}
	}
	e.running = left
}

// advance reports whether a request has ended with the step.
func (w *simWorld) advance(e *simEngine, q *simRequest) bool {
	if q.kind.work > 0 {
		if e.clock < q.ends {
			return false
		}
		w.answer(e, q, true)
		return true
	}
	if q.unread > 0 {
		return false
	}
	if !q.first {
		q.first = true
		if q.kind.shared > 0 {
			e.cached[q.prefix] = e.clock
		}
		w.answer(e, q, false)
	}
	q.output--
	if q.output > 0 {
		return false
	}
	w.at(e.clock+w.path(q, e), func(now time.Time) {
		q.lease.RecordOutput(int64(q.kind.output))
		q.lease.Done(OK, now)
	})
	return true
}

// answer brings the first event, or a whole answer, to the gateway.
func (w *simWorld) answer(e *simEngine, q *simRequest, done bool) {
	load := Load{Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots}
	if w.reportPace && w.byWork {
		load.PacePercent = int(e.speed * 100)
	}
	if w.report != nil {
		load = w.report(w, e, load)
	}
	w.at(e.clock+w.path(q, e), func(now time.Time) {
		q.lease.ReportLoad(load, now)
		took := float64(w.now - q.arrived)
		w.firsts = append(w.firsts, took)
		if took <= float64(q.kind.goal) {
			w.served[q.kind.name]++
		}
		if done {
			q.lease.Done(OK, now)
			return
		}
		q.lease.RecordProgress(now)
	})
}
