// Package admission holds requests at a gateway until they may be sent to a target, or
// refuses them, by the decisions of package fleet/admission.
package admission

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/admission"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
)

// pollInterval is how often the first waiting request is tried again, since slots become
// free without this gateway being told.
const pollInterval = 10 * time.Millisecond

// Estimator estimates when a request would be served. It is safe for concurrent use and
// doesn't block.
type Estimator interface {
	// Estimate returns what is expected of a request at the best target now.
	Estimate(r *placement.Request) admission.Estimate
}

// NoEstimates is an Estimator that knows nothing, so that no request waits or is refused.
type NoEstimates struct{}

// Estimate implements Estimator.
func (NoEstimates) Estimate(*placement.Request) admission.Estimate { return admission.Estimate{} }

// Options configures a Gate. All fields but Limits are required.
type Options struct {
	// ServiceApplies reports whether the requests of a service are subject to admission.
	ServiceApplies func(service string) bool
	Estimator      Estimator
	// Limits limits the waiting requests of each service.
	Limits  admission.Options
	Metrics *Metrics
	Log     *zap.Logger
	Now     func() time.Time
}

// Gate admits the requests of all services. It is safe for concurrent use.
type Gate struct {
	Options

	mu        sync.Mutex
	services  map[string]*service
	shortages *admission.Shortages
	lastID    uint64
	stopped   bool
}

// service is the queue of one service.
type service struct {
	name    string
	queue   *admission.Queue
	waiting map[uint64]*waiter
	// timer calls step at stepAt; stepAt is zero while the timer isn't running.
	timer  *time.Timer
	stepAt time.Time
}

// waiter is a request that waits.
type waiter struct {
	placement *placement.Request
	// decided receives the decision that ends the wait.
	decided chan admission.Decision
}

// New returns a gate.
func New(opts Options) *Gate {
	return &Gate{Options: opts, services: make(map[string]*service), shortages: admission.NewShortages()}
}

// Applies implements relay.Admission.
func (g *Gate) Applies(service string) bool { return g.ServiceApplies(service) }

// Admit waits until a request may be sent, and returns its ticket, or an error of kind
// NoSlot or DeadlineTooShort, whose RetryAfter is when a slot is expected. If ctx ends first, the request is removed and the ticket is
// nil without an error. ID is the caller's, for logs.
func (g *Gate) Admit(ctx context.Context, id string, r admission.Request, p *placement.Request) (*Ticket, *errkind.Error) {
	began := g.Now()
	s, w, decision := g.offer(&r, p, began)
	if decision.Verdict == admission.Wait {
		select {
		case decision = <-w.decided:
		case <-ctx.Done():
			g.leave(s, &r)
			return nil, nil
		}
	}
	return g.end(id, s, decision, began)
}

// offer passes a new request to its queue.
func (g *Gate) offer(r *admission.Request, p *placement.Request, now time.Time) (*service, *waiter, admission.Decision) {
	estimate := g.Estimator.Estimate(p)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.service(p.Service)
	if g.stopped {
		return s, nil, admission.Decision{Request: r, Verdict: admission.Start, Reason: admission.ReasonStopping}
	}
	g.lastID++
	r.ID = g.lastID
	w := &waiter{placement: p, decided: make(chan admission.Decision, 1)}
	s.waiting[r.ID] = w
	decisions := s.queue.Offer(now, r, estimate)
	if decisions[0].Verdict != admission.Wait {
		delete(s.waiting, r.ID)
	}
	s.deliver(decisions[1:])
	g.schedule(s, now)
	return s, w, decisions[0]
}

// service returns the queue of a service. The lock is held.
func (g *Gate) service(name string) *service {
	s := g.services[name]
	if s == nil {
		s = &service{name: name, queue: admission.NewQueue(g.Limits), waiting: make(map[uint64]*waiter)}
		g.services[name] = s
	}
	return s
}

// deliver ends the waits that were decided on. The gate's lock is held.
func (s *service) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		w := s.waiting[d.Request.ID]
		delete(s.waiting, d.Request.ID)
		w.decided <- d
	}
}

// schedule plans the next step of a service. The lock is held.
func (g *Gate) schedule(s *service, now time.Time) {
	next, waiting := s.queue.NextStep()
	g.Metrics.setWaiting(s.name, s.queue.Len())
	if !waiting || !s.stepAt.IsZero() {
		return
	}
	delay := min(max(next.Sub(now), time.Millisecond), pollInterval)
	s.stepAt = now.Add(delay)
	s.timer = time.AfterFunc(delay, func() { g.timedStep(s) })
}

func (g *Gate) timedStep(s *service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.stepAt = time.Time{}
	g.step(s)
}

// step decides about the waiting requests of a service. The lock is held.
func (g *Gate) step(s *service) {
	if s.queue.Len() == 0 {
		return
	}
	now := g.Now()
	s.deliver(s.queue.Step(now, func(r *admission.Request) admission.Estimate {
		p := *s.waiting[r.ID].placement
		p.Now = now
		return g.Estimator.Estimate(&p)
	}))
	g.schedule(s, now)
}

// leave removes a request whose caller left, or whose deadline passed.
func (g *Gate) leave(s *service, r *admission.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.queue.Leave(r.ID)
	delete(s.waiting, r.ID)
	g.Metrics.record(resultLeft, 0)
	g.schedule(s, g.Now())
}

// end carries out the decision on a request.
func (g *Gate) end(id string, s *service, d admission.Decision, began time.Time) (*Ticket, *errkind.Error) {
	now := g.Now()
	waited := now.Sub(began)
	g.logDecision(id, s, d, waited)
	g.Metrics.record(resultOf(d), waited)
	if d.Verdict == admission.Start {
		if d.Reason == admission.ReasonFree {
			g.granted(slotsName(s.name, d.Request.Rank), 1)
		}
		return &Ticket{gate: g, service: s, Waited: waited, started: now, expected: d.FirstEventIn}, nil
	}
	kind, message := errkind.NoSlot, "other requests go first, and no slot at a target is expected in time"
	if d.Verdict == admission.RefuseDeadline {
		kind, message = errkind.DeadlineTooShort, "the deadline is expected to pass before a target could begin the answer"
	}
	return nil, errkind.New(kind, "%s", message).WithRetryAfter(d.SlotIn)
}

// logDecision logs a decision, unless the request was sent at once because a slot is free or
// nothing is known.
func (g *Gate) logDecision(id string, s *service, d admission.Decision, waited time.Duration) {
	atOnce := d.Verdict == admission.Start && waited < time.Millisecond
	if atOnce && (d.Reason == admission.ReasonFree || d.Reason == admission.ReasonUnknown) {
		return
	}
	g.Log.Info("admission: decided on a request.", zap.String("request", id), zap.String("service", s.name),
		zap.String("workspace", d.Request.Workspace), zap.Int("rank", d.Request.Rank), zap.String("result", resultOf(d)),
		zap.String("reason", string(d.Reason)), zap.Duration("waited", waited), zap.Int("waiting", d.Waiting),
		zap.Duration("slot_in", d.SlotIn), zap.Duration("first_event_in", d.FirstEventIn), zap.Duration("estimate_age", d.EstimateAge))
}

// TokensRefused returns when a request of a workspace that was refused for lack of tokens
// should come back. After is when tokens are expected, as far as that is known.
func (g *Gate) TokensRefused(workspace string, tokens int64, rank int, after, remaining time.Duration) time.Duration {
	shortage := g.refused("tokens/"+workspace, tokens, g.Now())
	return admission.RetryAfter(max(after, shortage), rank, remaining, rand.Float64())
}

// SlotRefused returns when a request that got no slot at a target should come back. After is
// when one is expected, as far as that is known.
func (g *Gate) SlotRefused(service string, rank int, after, remaining time.Duration) time.Duration {
	shortage := g.refused(slotsName(service, rank), 1, g.Now())
	return admission.RetryAfter(max(after, shortage), rank, remaining, rand.Float64())
}

// TokensReserved records that tokens were reserved for a request of a workspace.
func (g *Gate) TokensReserved(workspace string, tokens int64) {
	g.granted("tokens/"+workspace, tokens)
}

// slotsName names the shortage of slots for the requests of a priority.
func slotsName(service string, rank int) string {
	return "slots/" + service + "/" + strconv.Itoa(rank)
}

func (g *Gate) granted(name string, amount int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shortages.Granted(name, amount)
}

func (g *Gate) refused(name string, amount int64, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shortages.Refused(name, amount, now)
}

// Stop admits the waiting requests and all later ones.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	for _, s := range g.services {
		s.deliver(s.queue.Stop(g.Now()))
		if s.timer != nil {
			s.timer.Stop()
		}
	}
}
