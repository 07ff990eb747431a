package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"cuminrock.example/fleet/placement"
)

type simEvent struct {
	atMs int64
	seq  int
	run  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].atMs < q[j].atMs || q[i].atMs == q[j].atMs && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type simGateway struct {
	name  string
	table *Table
	// publishing is set while a report is scheduled.
	publishing bool
	// seen is the number of stored reports that the gateway has taken.
	seen int
}

// storedReport is a report as written to the store.
type storedReport struct {
	gateway string
	report  Report
}

type simTarget struct {
	process  placement.Process
	downTo   int64
	inFlight []*simRequest
}

type simRequest struct {
	gateway *simGateway
	traits  []Trait
	harmful Trait
	// hot is set for the hot request, isRetry for a caller's second attempt.
	hot, isRetry bool
	target       *simTarget
	// sentMs and beganMs are when the last attempt was sent and when its answer began.
	sentMs, beganMs int64
	attempts        int
	done            bool
}

// sim runs a scenario.
type sim struct {
	scenario
	rng      *rand.Rand
	nowMs    int64
	queue    simQueue
	seq      int
	gateways []*simGateway
	targets  []*simTarget
	stored   []storedReport
	// crashesBy counts the crashes by each harmful trait, and lastFreeMs is when the
	// last free one was.
	crashesBy  map[Trait]int
	lastFreeMs map[Trait]int64
	// lastFingerprint is that of the last request that came only once.
	lastFingerprint int
	// harmfulAfter counts the requests by trait.
	harmfulAfter map[Trait]int
	// soundFromMs is when sound requests begin to count.
	soundFromMs int64
	outcome     outcome
}

func run(sc scenario) outcome {
	s := &sim{scenario: sc, rng: rand.New(rand.NewPCG(sc.seed, 1)), crashesBy: make(map[Trait]int), lastFreeMs: make(map[Trait]int64), harmfulAfter: make(map[Trait]int)}
	for i := range sc.gateways {
		name := fmt.Sprintf("g%d", i)
		s.gateways = append(s.gateways, &simGateway{name: name, table: New(name)})
	}
	for i := range sc.targets {
		s.targets = append(s.targets, &simTarget{process: placement.Process{ID: fmt.Sprintf("t%d", i), StartTimeMs: 1}})
	}
	s.schedule()
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		if e.atMs > sc.endMs {
			break
		}
		s.nowMs = e.atMs
		e.run()
	}
	return s.outcome
}

// schedule schedules what comes from outside.
func (s *sim) schedule() {
	s.every(s.soundRate, 0, s.sendSound)
	s.every(s.hotRate, 0, s.sendHot)
	harmfulFromMs := s.harmfulFromMs
	if s.onceHarmless {
		harmfulFromMs = 0
	}
	s.every(s.harmfulRate, harmfulFromMs, func() { s.sendHarmful(s.anyGateway()) })
	if s.otherCrashEveryMs > 0 {
		for at := s.otherCrashEveryMs; at < s.endMs; at += s.otherCrashEveryMs {
			s.at(at, func() { s.crash(s.targets[s.rng.IntN(len(s.targets))]) })
		}
	}
	if s.allCrashAtMs > 0 {
		s.at(s.allCrashAtMs, func() {
			for _, target := range s.targets {
				s.crash(target)
			}
		})
	}
	if s.lateFromMs > 0 {
		s.at(s.lateFromMs, s.startLate)
	}
	for _, g := range s.gateways {
		s.start(g)
	}
}

func (s *sim) at(atMs int64, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{atMs: atMs, seq: s.seq, run: run})
}

// every runs f at random moments, rate times a second.
func (s *sim) every(rate float64, fromMs int64, f func()) {
	if rate == 0 {
		return
	}
	for at := float64(fromMs); at < float64(s.endMs); at += s.rng.ExpFloat64() * 1000 / rate {
		s.at(int64(at), f)
	}
}

// start starts what a gateway does regularly.
func (s *sim) start(g *simGateway) {
	s.at(s.nowMs+s.rng.Int64N(pollMs), func() { s.poll(g) })
}

// pollMs is the time between two calls for changes.
const pollMs = 250

// poll takes the reports that were stored since the last call.
func (s *sim) poll(g *simGateway) {
	s.at(s.nowMs+pollMs, func() { s.poll(g) })
	if g.seen == len(s.stored) || s.storeAway() {
		return
	}
	for _, r := range s.stored[g.seen:] {
		g.table.SetReport(r.gateway, r.report)
	}
	g.seen = len(s.stored)
	g.table.Update(s.nowMs)
	if g.table.hasUnreportedAnswers(s.nowMs) {
		s.publishLater(g, s.rng.Int64N(1000))
	}
}

func (s *sim) storeAway() bool { return s.nowMs >= s.outageFromMs && s.nowMs < s.outageToMs }

// startLate starts a gateway that lists the reports, and sends harmful requests.
func (s *sim) startLate() {
	g := &simGateway{name: "late", table: New("late")}
	s.gateways = append(s.gateways, g)
	s.poll(g)
	for at := s.nowMs; at < s.endMs; at += 100 {
		s.at(at, func() { s.sendHarmful(g) })
	}
}

func (s *sim) anyGateway() *simGateway { return s.gateways[s.rng.IntN(len(s.gateways))] }

// otherPart returns one of many parts, some of which are frequent.
func (s *sim) otherPart() Trait {
	frequent := s.rng.IntN(3) == 0
	if frequent {
		return part(1000 + s.rng.IntN(4))
	}
	return part(2000 + s.rng.IntN(400))
}

func (s *sim) firstPart() Trait { return part(1 + s.rng.IntN(s.firstParts)) }

// request returns a request with the trait and, unless requests are plain, the parts.
func (s *sim) request(g *simGateway, fingerprint Trait, parts ...Trait) *simRequest {
	r := &simRequest{gateway: g, traits: []Trait{fingerprint}}
	if !s.plain {
		r.traits = append(r.traits, parts...)
	}
	return r
}

// newFingerprint returns the trait of a request that comes only once.
func (s *sim) newFingerprint() Trait {
	s.lastFingerprint++
	return RequestTrait(uint64(1_000_000 + s.lastFingerprint))
}

func (s *sim) sendSound() {
	s.send(s.request(s.anyGateway(), s.newFingerprint(), s.firstPart(), s.otherPart()))
}

// sendHot sends the hot request.
func (s *sim) sendHot() {
	r := s.request(s.anyGateway(), RequestTrait(1), part(1), part(1000))
	r.hot = true
	s.send(r)
}

func (s *sim) sendHarmful(g *simGateway) {
	number := s.rng.IntN(s.harmful)
	var r *simRequest
	if s.wholeRequests {
		r = s.request(g, RequestTrait(uint64(500+number)), part(1), part(1000))
		r.harmful = r.traits[0]
	} else {
		r = s.request(g, s.newFingerprint(), s.firstPart(), part(500+number), s.otherPart())
		r.harmful = part(500 + number)
	}
	s.send(r)
}

// visible returns the traits that a gateway looks at.
func (s *sim) visible(r *simRequest) []Trait {
	switch {
	case s.firstPartOnly:
		return r.traits[1:2]
	case s.partsOnly:
		return r.traits[1:]
	}
	return r.traits
}

// send sends a request to a random target that accepts connections. Without one, it
// doesn't matter what the gateway decides.
func (s *sim) send(r *simRequest) {
	up := slices.Clone(s.targets)
	up = slices.DeleteFunc(up, func(t *simTarget) bool { return t.downTo > s.nowMs })
	if len(up) == 0 {
		return
	}
	refused := r.gateway.table.Refuses(s.visible(r), s.nowMs) != nil
	s.countSound(r, refused)
	if refused {
		return
	}
	r.attempts++
	s.countHarmful(r)
	if s.rng.Float64() < s.misdirectedShare {
		s.at(s.nowMs+2, func() { s.resend(r) })
		return
	}
	r.target, r.sentMs, r.beganMs = up[s.rng.IntN(len(up))], s.nowMs, 0
	r.target.inFlight = append(r.target.inFlight, r)
	target := r.target
	s.at(s.nowMs+s.beginDelay(), func() { s.begin(r, target) })
}

// resend sends a request to a further target if it may be. Otherwise its caller tries
// once more, at any gateway.
func (s *sim) resend(r *simRequest) {
	if r.attempts < s.maxAttempts {
		s.send(r)
		return
	}
	s.retry(r)
}

// retry makes the caller of a failed request try again, unless it has. Requests that
// share a harmful part are no two alike.
func (s *sim) retry(r *simRequest) {
	if r.isRetry || !s.wholeRequests {
		return
	}
	again := &simRequest{gateway: s.anyGateway(), traits: r.traits, harmful: r.harmful, hot: r.hot, isRetry: true}
	s.at(s.nowMs+10+s.rng.Int64N(200), func() { s.send(again) })
}

// beginDelay returns the time until an answer begins.
func (s *sim) beginDelay() int64 {
	if s.plain {
		return 1 + s.rng.Int64N(5)
	}
	return 30 + s.rng.Int64N(200)
}

func (s *sim) countSound(r *simRequest, refused bool) {
	if r.harmful != (Trait{}) || r.attempts > 0 || r.isRetry {
		return
	}
	counted := s.nowMs > max(s.soundFromMs, s.outageToMs+2*contactMs)
	count := func(all, hot, late *int) {
		*all++
		if r.hot {
			*hot++
		}
		if counted {
			*late++
		}
	}
	if refused {
		count(&s.outcome.refusedAtAll, &s.outcome.hotRefused, &s.outcome.soundRefused)
	} else {
		count(&s.outcome.sentAtAll, &s.outcome.hotSent, &s.outcome.soundSent)
	}
	if refused && counted && s.soundFromMs > 0 && r.hot {
		s.outcome.hotRefusedLate++
	}
}

func (s *sim) countHarmful(r *simRequest) {
	lastFreeMs, counted := s.lastFreeMs[r.harmful]
	if counted && s.nowMs > max(lastFreeMs, s.outageToMs)+contactMs {
		s.harmfulAfter[r.harmful]++
		s.outcome.harmfulAfter = max(s.outcome.harmfulAfter, s.harmfulAfter[r.harmful])
	}
}

// begin begins the answer of a request, which crashes the target soon if the
// prompt is harmful.
func (s *sim) begin(r *simRequest, target *simTarget) {
	if r.target != target || r.done || target.downTo > s.nowMs {
		return
	}
	r.beganMs = s.nowMs
	if r.harmful != (Trait{}) && s.nowMs >= s.harmfulFromMs {
		process := target.process
		s.at(s.nowMs+30+s.rng.Int64N(70), func() {
			if target.process == process && target.downTo <= s.nowMs {
				s.countCrash(r)
				s.crash(target)
			}
		})
		return
	}
	took := s.minWorkMs + s.rng.Int64N(s.maxWorkMs-s.minWorkMs)
	if took > Probation.Milliseconds() {
		s.at(s.nowMs+Probation.Milliseconds(), func() { s.answered(r, target) })
	}
	s.at(s.nowMs+took, func() {
		s.answered(r, target)
		if r.target == target {
			r.done = true
			target.inFlight = slices.DeleteFunc(target.inFlight, func(other *simRequest) bool { return other == r })
		}
	})
}

func (s *sim) countCrash(r *simRequest) {
	s.crashesBy[r.harmful]++
	free := freeCrashes
	if s.wholeRequests {
		free = freeRequestCrashes
	}
	if s.crashesBy[r.harmful] == free {
		s.lastFreeMs[r.harmful] = s.nowMs
	}
	if s.crashesBy[r.harmful] <= free {
		s.soundFromMs = s.nowMs + 2*contactMs
		s.outcome.soundSent, s.outcome.soundRefused = 0, 0
	}
}

func (s *sim) answered(r *simRequest, target *simTarget) {
	if r.target != target || r.done || r.beganMs == 0 || !slices.Contains(target.inFlight, r) {
		return
	}
	g := r.gateway
	if s.noAnswers {
		return
	}
	relevance := g.table.RecordAnswer(s.visible(r), s.answerTime(r))
	if relevance == Irrelevant {
		return
	}
	g.table.Update(s.nowMs)
	if relevance == ClearsRefusal {
		s.publishLater(g, s.rng.Int64N(100))
	} else {
		s.publishLater(g, s.rng.Int64N(1000))
	}
}

// answerTime returns when the answer began, as the gateway sees it: a plain one is
// seen when it is complete.
func (s *sim) answerTime(r *simRequest) int64 {
	if s.plain {
		return s.nowMs
	}
	return r.beganMs
}

// crash ends a target. It is back after some seconds, as a new process.
func (s *sim) crash(target *simTarget) {
	if target.downTo > s.nowMs {
		return
	}
	s.outcome.crashes++
	process, lost := target.process, target.inFlight
	target.process.StartTimeMs++
	target.downTo = s.nowMs + 2000 + s.rng.Int64N(2000)
	target.inFlight = nil
	for _, r := range lost {
		s.lose(r, process)
	}
}

// lose ends a request whose target crashed. It may be sent once more.
func (s *sim) lose(r *simRequest, process placement.Process) {
	g, atMs := r.gateway, s.nowMs
	began := r.beganMs
	sentMs := make(map[Trait]int64)
	for _, trait := range s.visible(r) {
		sentMs[trait] = r.sentMs
	}
	r.target, r.beganMs = nil, 0
	if began == 0 || s.nowMs-began < Probation.Milliseconds() {
		s.at(s.nowMs+s.rng.Int64N(20), func() {
			g.table.RecordCrash(Crash{Process: process, AtMs: atMs, SentMs: sentMs})
			g.table.Update(s.nowMs)
			s.publishLater(g, s.rng.Int64N(100))
		})
	}
	s.at(s.nowMs+5, func() { s.resend(r) })
}

// publishLater stores a gateway's report after a delay, and gives it to the others.
func (s *sim) publishLater(g *simGateway, delayMs int64) {
	if g.publishing || s.unshared {
		return
	}
	g.publishing = true
	s.at(s.nowMs+delayMs, func() { s.publish(g) })
}

func (s *sim) publish(g *simGateway) {
	if s.storeAway() {
		s.at(s.nowMs+100+s.rng.Int64N(300), func() { s.publish(g) })
		return
	}
	g.publishing = false
	report := g.table.Report(s.nowMs)
	g.table.SetReport(g.name, report)
	s.at(s.nowMs+20, func() { s.stored = append(s.stored, storedReport{gateway: g.name, report: report}) })
}

// hasUnreportedAnswers reports whether the report would have further answers.
func (t *Table) hasUnreportedAnswers(nowMs int64) bool {
	report := t.Report(nowMs)
	t.mu.Lock()
	defer t.mu.Unlock()
	stored := t.reports[t.self]
	for part, beganMs := range report.Answers {
		if stored.Answers[part] != beganMs {
			return true
		}
	}
	return false
}
