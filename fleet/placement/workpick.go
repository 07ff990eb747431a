package placement

import (
	"slices"
	"time"
)

const (
	// fullScanTargets is the number of targets up to which all are compared.
	fullScanTargets = 8
	// localDraws and remoteDraws are the numbers of random candidates of the own data
	// centre and of each other one, most of them recently used ones; unsharedDraws is
	// that of the own data centre for requests without shared parts.
	localDraws    = 2
	unsharedDraws = 3
	remoteDraws   = 1
	// maxRemoteReplicas is the number of ranked targets of each other data centre that
	// are compared.
	maxRemoteReplicas = 1
	// furtherDraws is the number of further candidates if the best so far costs more than
	// busyFactor times what the request would cost at an idle target.
	furtherDraws = 4
	busyFactor   = 2.0
)

// Choice is why a target was a candidate.
type Choice uint8

const (
	// ChoiceNone means that the target wasn't picked by expected work.
	ChoiceNone Choice = iota
	// ChoiceReplica is a target that keeps the shared parts of the prompt.
	ChoiceReplica
	// ChoiceUsed is a random one among the targets used recently.
	ChoiceUsed
	// ChoiceRandom is a random one among all targets.
	ChoiceRandom
	// ChoiceScan is a target of a service all of whose targets were compared.
	ChoiceScan
)

// String returns the name of the choice in logs and metrics.
func (c Choice) String() string {
	return [...]string{"none", "replica", "used", "random", "scan"}[c]
}

// Decision is how a target was picked by expected work.
type Decision struct {
	Choice Choice
	// Remote is set if the target is in another data centre.
	Remote bool
	// Candidates is the number of targets compared.
	Candidates int
	// FirstEvent is the expected time to the first event, SlotWait the part of it that is
	// waiting for a slot.
	FirstEvent, SlotWait time.Duration
	// UnreadTokens are the tokens that the target was expected to read for the request,
	// TokensAhead those before it, and OutputTokens the expected length of the answer.
	UnreadTokens, TokensAhead, OutputTokens int64
	// Requests is the expected number of requests at the target, SpeedPercent how long
	// work was expected to take there, and ReportAge the age of its last report; -1 if it
	// never reported.
	Requests     float64
	SpeedPercent int
	ReportAge    time.Duration
}

// pickByWork returns a slot at the candidate with the lowest expected cost; nil if the
// service isn't placed by expected work, or no target may get the request.
func (t *Table) pickByWork(r *Request) *Lease {
	svc := t.placedByWork(r.Service, r.Now)
	if svc == nil {
		return nil
	}
	p := t.newPricing(svc, r)
	best, found := t.cheapest(&p)
	if !found {
		return nil
	}
	l := t.lease(best.state, int64(best.unread), r.Now)
	l.affinity, l.source = r.Affinity, nil
	if best.source != nil {
		l.source = best.source.cloneTarget()
	}
	l.work = newWorkLease(svc, &p, best, len(t.work.candidates))
	best.state.markUsed(p.now)
	svc.sends.add(p.now)
	svc.model.ObserveSend(best.unread)
	if p.prefix != nil {
		p.prefix.recordSend(best.state, p.now)
	}
	return l
}

// cheapest returns the candidate with the lowest cost, which is valid until the next pick;
// false if no target may get the request.
func (t *Table) cheapest(p *pricing) (*workCandidate, bool) {
	t.collect(p)
	if len(t.work.candidates) == 0 {
		t.collectAll(p)
	}
	if len(t.work.candidates) == 0 {
		return nil, false
	}
	best := &t.work.candidates[0]
	for i := range t.work.candidates {
		if c := &t.work.candidates[i]; c.cost < best.cost {
			best = c
		}
	}
	return best, true
}

// collect fills the list of candidates with available targets: all of a small service,
// otherwise those that keep the prompt's prefix and a few random ones.
func (t *Table) collect(p *pricing) {
	t.work.candidates = t.work.candidates[:0]
	if p.svc.targets <= fullScanTargets {
		for _, dc := range p.svc.dataCentres {
			for _, s := range dc.targets {
				t.consider(p, s, ChoiceScan)
			}
		}
		return
	}
	for i, dc := range p.svc.dataCentres {
		if p.prefix != nil {
			t.collectReplicas(p, i)
		}
		draws := remoteDraws
		if dc.local {
			draws = localDraws
			if p.prefix == nil {
				draws = unsharedDraws
			}
		}
		t.draw(p, dc, draws)
	}
	if t.allBusy(p) {
		for i := range furtherDraws {
			dc := p.svc.dataCentres[i%len(p.svc.dataCentres)]
			t.consider(p, dc.targets[t.work.random(len(dc.targets))], ChoiceRandom)
		}
	}
}

// collectReplicas adds the available targets of a data centre that keep the prefix.
func (t *Table) collectReplicas(p *pricing, dataCentre int) {
	dc := p.svc.dataCentres[dataCentre]
	left := replicaCount(p.share, dc)
	if !dc.local {
		left = min(left, maxRemoteReplicas)
	}
	for _, s := range p.prefix.replicas[dataCentre] {
		if left == 0 {
			return
		}
		if t.consider(p, s, ChoiceReplica) {
			left--
		}
	}
}

// draw adds random targets of a data centre, most of them recently used ones.
func (t *Table) draw(p *pricing, dc *workDataCentre, draws int) {
	for i := range draws {
		if i < draws-1 || !dc.local {
			if s := dc.randomUsed(&t.work, p.now); s != nil && t.consider(p, s, ChoiceUsed) {
				continue
			}
		}
		t.consider(p, dc.targets[t.work.random(len(dc.targets))], ChoiceRandom)
	}
}

// allBusy reports whether all candidates cost much more than an idle target would.
func (t *Table) allBusy(p *pricing) bool {
	for i := range t.work.candidates {
		c := &t.work.candidates[i]
		idle := p.svc.model.BaseTime() + p.svc.model.ReadTime(c.unread) + c.copying
		if c.cost <= busyFactor*idle {
			return false
		}
	}
	return true
}

// consider adds a target to the candidates if it may get the request, is available and
// isn't one yet. It reports whether the target is a candidate.
func (t *Table) consider(p *pricing, s *targetState, choice Choice) bool {
	if !s.work.dataCentre.accepts || !s.accepts(p.r.Now) || !t.mayGet(p.r, s) {
		return false
	}
	for i := range t.work.candidates {
		if t.work.candidates[i].state == s {
			return true
		}
	}
	t.work.add(p, s, choice)
	return true
}

// mayCopyFrom reports whether the request's target may copy cached parts from this listed
// one, which may be leaving.
func (t *Table) mayCopyFrom(r *Request, s *targetState) bool {
	return s.work.dataCentre.accepts && s.accepts(r.Now) && t.locationAllows(r, s)
}

// collectAll fills the list of candidates with all targets that may get the request, if
// the drawn ones may not; unavailable ones only if no other is left.
func (t *Table) collectAll(p *pricing) {
	list := t.candidates(p.r, true)
	if len(list) == 0 {
		list = t.candidates(p.r, false)
	}
	for _, s := range list {
		choice := ChoiceScan
		if p.prefix != nil && slices.Contains(p.prefix.replicasIn(s.work.dataCentre, p.svc), s) {
			choice = ChoiceReplica
		}
		t.work.add(p, s, choice)
	}
}

// add adds a candidate with its costs.
func (w *expectedWork) add(p *pricing, s *targetState, choice Choice) {
	w.candidates = append(w.candidates, workCandidate{state: s, choice: choice})
	p.price(&w.candidates[len(w.candidates)-1])
}

// replicasIn returns the ranked targets of a data centre.
func (p *prefix) replicasIn(dc *workDataCentre, svc *workService) []*targetState {
	return p.replicas[slices.Index(svc.dataCentres, dc)]
}
