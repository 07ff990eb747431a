package admission

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// The model has targets with slots and a queue each, gateways that see the targets as of
// their last report, and callers that come back when they are refused. It runs in virtual
// time.

const (
	modelTargets     = 8
	modelSlots       = 16
	modelReportEvery = 100 * time.Millisecond
	// modelTargetQueue is how many requests wait at a target before it turns others away.
	modelTargetQueue = 2 * modelSlots
	modelRun         = 30 * time.Second
	// minModelRetry is the shortest time after which a caller tries again.
	minModelRetry = 10 * time.Millisecond
)

// kind is a kind of requests of the model.
type kind struct {
	name          string
	rank          int
	prompt        int64
	output        int
	goal, timeout time.Duration
	share         float64
}

func kinds() []kind {
	return []kind{
		{"urgent", 0, 12_000, 380, 2 * time.Second, 20 * time.Second, 0.2},
		{"normal", 1, 830, 290, time.Second, 20 * time.Second, 0.4},
		{"quick", 2, 2_400, 25, 800 * time.Millisecond, 20 * time.Second, 0.4},
	}
}

// load is what a run of the model has to bear. Times are since the start of the run.
type load struct {
	name  string
	kinds []kind
	// rate is the number of requests a second at a time.
	rate func(at time.Duration) float64
	// hot is the share of requests that one of the ten workspaces sends.
	hot float64
	// change changes the model at a time.
	changeAt time.Duration
	change   func(m *model)
	// leastUrgent is the least share of the urgent calls that is to be answered, if it
	// isn't 90 of 100.
	leastUrgent float64
	// gateways is the number of gateways, if it isn't 7.
	gateways int
	// impatient callers come back after 50 ms, whatever they are told.
	impatient bool
	// wrong is the factor by which estimates are wrong, and unknown and stale make them
	// useless.
	wrong          float64
	unknown, stale bool
	// blurred estimates say that a slot is free soon where it is free now.
	blurred bool
}

// result is what the callers of a kind or workspace got.
type result struct {
	calls, inTime, late, refusals int
	// waited is the sum of the times from the first attempt to the first event.
	waited time.Duration
}

func (r *result) answered() int { return r.inTime + r.late }

// share returns n per 100 calls.
func (r *result) share(n int) float64 { return 100 * float64(n) / float64(max(r.calls, 1)) }

type modelTarget struct {
	gone    bool
	speed   float64
	running int
	waiting []*attempt
	// busyUntil estimates when the queued work is done, in slot time; reported is the
	// state as of the last report.
	work     time.Duration
	reported struct {
		running, waiting int
		work             time.Duration
		at               time.Time
	}
}

// modelGateway is a gateway with the sends that no report includes yet.
type modelGateway struct {
	queue     *Queue
	sent      map[*modelTarget]time.Duration
	count     map[*modelTarget]int
	step      time.Time
	shortages *Shortages
}

// call is a caller's request with all of its attempts.
type call struct {
	kind      *kind
	workspace string
	began     time.Time
	deadline  time.Time
}

type attempt struct {
	*call
	gateway *modelGateway
	arrived time.Time
	request *Request
	// expected is the time to the first event that was expected at started.
	expected time.Duration
	started  time.Time
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type model struct {
	load      load
	admission bool
	now       time.Time
	begin     time.Time
	events    events
	seq       int
	// arrivals is separate, so that a load is the same with and without admission.
	random, arrivals *rand.Rand
	targets          []*modelTarget
	gateways         []*modelGateway
	attempts         map[uint64]*attempt
	lastID           uint64
	byKind           map[string]*result
	byOwner          map[string]*result
	// refused and waits count the decisions of the gateways.
	refused, waits int
}

// play runs a load, with or without admission.
func play(l load, admission bool, seed uint64) *model {
	l.kinds = slices.Clone(l.kinds) // a change must not outlast the run
	m := &model{load: l, admission: admission, begin: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), attempts: make(map[uint64]*attempt),
		byKind: make(map[string]*result), byOwner: make(map[string]*result)}
	m.now = m.begin
	for range modelTargets {
		m.targets = append(m.targets, &modelTarget{speed: 1})
	}
	for range cmp.Or(l.gateways, 7) {
		m.gateways = append(m.gateways, &modelGateway{queue: NewQueue(Options{}), sent: make(map[*modelTarget]time.Duration), count: make(map[*modelTarget]int), shortages: NewShortages()})
	}
	if l.change != nil {
		m.after(l.changeAt, func() { l.change(m) })
	}
	m.report()
	m.arrive()
	for len(m.events) > 0 && m.now.Sub(m.begin) < modelRun+30*time.Second {
		m.pop()
	}
	return m
}

// pop carries out the next event.
func (m *model) pop() {
	e := heap.Pop(&m.events).(event)
	m.now = e.at
	e.do()
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{m.now.Add(d), m.seq, do})
}

func (m *model) report() {
	for _, t := range m.targets {
		t.reported.running, t.reported.waiting, t.reported.work, t.reported.at = t.running, len(t.waiting), t.work, m.now
	}
	for _, g := range m.gateways {
		clear(g.sent)
		clear(g.count)
	}
	m.after(modelReportEvery, m.report)
}

// arrive sends a new request and plans the next.
func (m *model) arrive() {
	at := m.now.Sub(m.begin)
	if at >= modelRun {
		return
	}
	m.after(time.Duration(m.arrivals.ExpFloat64()/m.load.rate(at)*float64(time.Second)), m.arrive)
	k := &m.load.kinds[len(m.load.kinds)-1]
	point := m.arrivals.Float64()
	for i := range m.load.kinds {
		point -= m.load.kinds[i].share
		if point < 0 {
			k = &m.load.kinds[i]
			break
		}
	}
	workspace := "hot"
	if m.arrivals.Float64() >= m.load.hot {
		workspace = string(rune('a' + m.arrivals.IntN(9)))
	}
	c := &call{kind: k, workspace: workspace, began: m.now, deadline: m.now.Add(k.timeout)}
	m.count(c, func(r *result) { r.calls++ })
	m.try(c)
}

// count changes the results to which a call belongs.
func (m *model) count(c *call, change func(*result)) {
	for _, entry := range []struct {
		results map[string]*result
		name    string
	}{{m.byKind, c.kind.name}, {m.byOwner, c.workspace}} {
		if entry.results[entry.name] == nil {
			entry.results[entry.name] = &result{}
		}
		change(entry.results[entry.name])
	}
}

// kind returns the results of a kind of requests.
func (m *model) kind(name string) *result {
	if m.byKind[name] == nil {
		return &result{}
	}
	return m.byKind[name]
}

// try makes one attempt of a call.
func (m *model) try(c *call) {
	if !m.now.Before(c.deadline) {
		return
	}
	g := m.gateways[m.random.IntN(len(m.gateways))]
	m.lastID++
	a := &attempt{call: c, gateway: g, arrived: m.now}
	a.request = &Request{ID: m.lastID, Workspace: c.workspace, Rank: c.kind.rank, Cost: c.kind.prompt + 100*int64(c.kind.output), Arrived: m.now, Deadline: c.deadline, Goal: c.kind.goal}
	m.attempts[m.lastID] = a
	if !m.admission {
		m.send(a)
		return
	}
	m.apply(g, g.queue.Offer(m.now, a.request, m.estimate(g, a.request)))
}

// apply carries out decisions of a gateway, and plans its next step.
func (m *model) apply(g *modelGateway, decisions []Decision) {
	for _, d := range decisions {
		a := m.attempts[d.Request.ID]
		switch d.Verdict {
		case Start:
			a.expected, a.started = d.FirstEventIn, m.now
			if d.Reason == ReasonFree {
				g.shortages.Granted(a.kind.name, 1)
			}
			m.send(a)
			g.queue.Placed()
		case Wait:
			m.waits++
		case RefuseSlots, RefuseDeadline:
			m.refused++
			wait := max(d.SlotIn, g.shortages.Refused(a.kind.name, 1, m.now))
			m.comeBack(a, RetryAfter(wait, a.kind.rank, a.deadline.Sub(m.now), m.random.Float64()))
		}
	}
	if next, waiting := g.queue.NextStep(); waiting && !m.now.Before(g.step) {
		g.step = m.now.Add(min(max(next.Sub(m.now), time.Millisecond), 10*time.Millisecond))
		m.after(g.step.Sub(m.now), func() {
			m.apply(g, g.queue.Step(m.now, func(r *Request) Estimate { return m.estimate(g, r) }))
		})
	}
}

// comeBack lets a refused caller try again.
func (m *model) comeBack(a *attempt, after time.Duration) {
	m.count(a.call, func(r *result) { r.refusals++ })
	if m.load.impatient {
		after = 50 * time.Millisecond
	}
	if after < minModelRetry {
		return // the caller gives up
	}
	m.after(after, func() { m.try(a.call) })
}

func (k *kind) reading() time.Duration { return time.Duration(k.prompt) * time.Millisecond / 55 }
func (k *kind) holds() time.Duration {
	return k.reading() + time.Duration(k.output)*8*time.Millisecond
}

// view returns what a gateway thinks of a target: the requests there, and the time until a
// slot is free.
func (g *modelGateway) view(t *modelTarget) (requests int, slotFree time.Duration) {
	requests = t.reported.running + t.reported.waiting + g.count[t]
	if requests < modelSlots {
		return requests, 0
	}
	work := t.reported.work + g.sent[t]
	return requests, time.Duration(float64(work)*float64(requests-modelSlots+1)/float64(requests)/modelSlots/t.speed) + 20*time.Millisecond
}

// best returns the target that a gateway would pick.
func (m *model) best(g *modelGateway) *modelTarget {
	var best *modelTarget
	var bestRequests int
	var bestFree time.Duration
	offset := m.random.IntN(len(m.targets))
	for i := range m.targets {
		t := m.targets[(i+offset)%len(m.targets)]
		if t.gone {
			continue
		}
		requests, free := g.view(t)
		if best == nil || free < bestFree || free == bestFree && requests < bestRequests {
			best, bestRequests, bestFree = t, requests, free
		}
	}
	return best
}

func (m *model) estimate(g *modelGateway, r *Request) Estimate {
	if m.load.unknown {
		return Estimate{}
	}
	t := m.best(g)
	_, free := g.view(t)
	at := t.reported.at
	if m.load.stale {
		at = m.now.Add(-time.Minute)
	}
	if m.load.blurred {
		free = max(free, 5*time.Millisecond)
	}
	work := m.attempts[r.ID].kind.reading()
	wrong := 1.0
	if m.load.wrong > 0 {
		wrong = m.load.wrong
	}
	return Estimate{Known: true, At: at, SlotFree: time.Duration(wrong * float64(free)), FirstEvent: time.Duration(wrong * float64(free+work))}
}

func (m *model) send(a *attempt) {
	t := m.best(a.gateway)
	a.gateway.sent[t] += a.kind.holds()
	a.gateway.count[t]++
	if len(t.waiting) >= modelTargetQueue {
		remaining := a.deadline.Sub(m.now)
		m.comeBack(a, min(500*time.Millisecond, remaining/4)) // as today
		return
	}
	t.work += a.kind.holds()
	t.waiting = append(t.waiting, a)
	m.serve(t)
}

// serve gives free slots to the requests that wait at a target, in order of arrival.
func (m *model) serve(t *modelTarget) {
	for t.running < modelSlots && len(t.waiting) > 0 {
		a := t.waiting[0]
		t.waiting = t.waiting[1:]
		if !m.now.Before(a.deadline) {
			t.work -= a.kind.holds()
			continue
		}
		t.running++
		reading := time.Duration(float64(a.kind.reading()) / t.speed)
		m.after(reading, func() { m.firstEvent(a) })
		m.after(time.Duration(float64(a.kind.holds())/t.speed), func() {
			t.running--
			t.work -= a.kind.holds()
			m.serve(t)
			m.apply(a.gateway, a.gateway.queue.Step(m.now, func(r *Request) Estimate { return m.estimate(a.gateway, r) }))
		})
	}
}

func (m *model) firstEvent(a *attempt) {
	a.gateway.queue.Observe(a.expected, m.now.Sub(a.started), m.now)
	m.count(a.call, func(r *result) {
		r.waited += m.now.Sub(a.began)
		if m.now.Sub(a.arrived) <= a.kind.goal {
			r.inTime++
		} else {
			r.late++
		}
	})
}
