package placement

import (
	"time"

	"cuminrock.example/fleet/workmodel"
)

const (
	// targetLevelWeight, dataCentreLevelWeight and serviceLevelWeight are the weights of
	// one report in the mean number of requests at a target, and at targets of a data
	// centre and a service.
	targetLevelWeight     = 0.25
	dataCentreLevelWeight = 1.0 / 16
	serviceLevelWeight    = 1.0 / 64
	// maxReportedRequests and maxMeanRequests bound the number of requests that a report is
	// believed for its target, and counts for in the means of others, as multiples of the
	// target's slots: one false report must not shift the means.
	maxReportedRequests = 8
	maxMeanRequests     = 2
)

// workLease is what was expected of a request that was placed by expected work.
type workLease struct {
	svc      *workService
	prefix   *prefix
	decision Decision
	// read are the tokens that were to be read before the first event. slotWait, copying
	// and path are the parts of the expected time in ms, and factor the target's speed.
	read, slotWait, copying, path, factor float64
	// route and workspace are the key of the output, which is learned if hasOutput is set.
	route, workspace string
	output           int64
	hasOutput        bool
	hadPrompt        bool
	// firstAt is when the first event arrived; zero before it.
	firstAt time.Time
}

func newWorkLease(svc *workService, p *pricing, c *workCandidate, candidates int) *workLease {
	s := c.state
	reportAge := time.Duration(-1)
	if !s.reportedAt.IsZero() {
		reportAge = p.r.Now.Sub(s.reportedAt)
	}
	return &workLease{
		svc: svc, prefix: p.prefix, read: c.ahead + c.unread, slotWait: c.slotWait, copying: c.copying,
		path: p.pathCost(s), factor: c.factor, route: p.r.Route, workspace: p.r.Workspace, hadPrompt: p.r.PromptTokens > 0,
		decision: Decision{
			Choice: c.choice, Remote: !s.work.dataCentre.local, Candidates: candidates,
			FirstEvent: duration(c.firstEvent), SlotWait: duration(c.slotWait),
			UnreadTokens: int64(c.unread), TokensAhead: int64(c.ahead), OutputTokens: int64(p.output.Tokens),
			Requests: c.requests, SpeedPercent: int(c.factor * 100), ReportAge: reportAge,
		},
	}
}

// duration returns a number of ms as a duration.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Decision returns how the target was picked; its Choice is ChoiceNone if it wasn't
// picked by expected work.
func (l *Lease) Decision() Decision {
	if l.work == nil {
		return Decision{}
	}
	return l.work.decision
}

// RecordOutput records the number of output tokens of a complete answer. It must be
// called before Done.
func (l *Lease) RecordOutput(tokens int64) {
	if l.work != nil {
		l.work.output, l.work.hasOutput = tokens, true
	}
}

// learnLoad learns from a report of a target. The table's lock must be held.
func (t *Table) learnLoad(s *targetState, load Load, now time.Time) {
	svc := t.work.services[s.target.Service]
	if svc == nil || s.work.dataCentre == nil {
		return
	}
	if load.PacePercent > 0 {
		svc.paceAt = now
		s.work.speed.ReportPace(load.PacePercent, workmodel.At(now))
	}
	at := workmodel.At(now)
	s.work.reportedAt = at
	requests := float64(load.Running + load.Waiting)
	forMeans := requests
	if load.Slots > 0 {
		svc.slots = load.Slots
		requests = min(requests, float64(maxReportedRequests*load.Slots))
		forMeans = min(requests, float64(maxMeanRequests*load.Slots))
	}
	s.work.requests.observe(requests, targetLevelWeight, at)
	s.work.dataCentre.known.requests.observe(forMeans, dataCentreLevelWeight, at)
	s.work.dataCentre.known.reports.add(at)
	svc.requests.observe(forMeans, serviceLevelWeight, at)
}

// learnFirstEvent learns from the time to the first event of a stream. The table's lock
// must be held.
func (l *Lease) learnFirstEvent(now time.Time) {
	w := l.work
	if w == nil || !w.firstAt.IsZero() {
		return
	}
	w.firstAt = now
	if l.pickedAt.Before(l.table.failuresForgottenAt) {
		return
	}
	l.learnWait(now.Sub(l.pickedAt))
	w.svc.model.ObserveWait(now.Sub(l.pickedAt))
}

// learnWait learns from a time to the first event: the service's times, the target's
// speed, and the path to its data centre.
func (l *Lease) learnWait(took time.Duration) {
	w, model := l.work, l.work.svc.model
	now := l.pickedAt.Add(took)
	uncalibrated := model.BaseTime() + model.ReadTime(w.read)
	normal := model.Calibration() * uncalibrated
	atTarget := took - duration(w.path+w.copying)
	if dc := l.state.work.dataCentre; !dc.local {
		observed := (took - duration(w.factor*normal+w.slotWait+w.copying)).Seconds() * 1000
		dc.known.path.Observe(min(max(observed, 0), maxPath))
	}
	if atTarget <= 0 {
		return
	}
	l.state.work.speed.Observe(atTarget, duration(normal+w.slotWait/w.factor), model.Trust(), workmodel.At(now))
	reading := max(float64(atTarget)/float64(time.Millisecond)-w.slotWait, 0) / w.factor
	model.ObserveCalibration(reading / max(uncalibrated, 1))
	model.ObserveFirstEvent(duration(reading), w.read)
}

// forgetTimes forgets how slow targets and paths seemed: while a router is cut off from
// all targets, its requests go through others and take longer. The table's lock must be
// held.
func (t *Table) forgetTimes() {
	for _, s := range t.byID {
		s.work.speed = workmodel.Speed{}
	}
	for _, svc := range t.work.services {
		for _, dc := range svc.dataCentres {
			dc.known.path = workmodel.NewMean(priorPath)
		}
	}
}

// maxPath bounds what one observation says about the path to a data centre, in ms.
const maxPath = 500

// learnEnd learns from a finished request. Only complete answers say how long requests
// run. The table's lock must be held.
func (l *Lease) learnEnd(result Result, now time.Time) {
	w := l.work
	if w == nil || result != OK || l.pickedAt.Before(l.table.failuresForgottenAt) {
		return
	}
	took := now.Sub(l.pickedAt)
	var output time.Duration
	if w.firstAt.IsZero() {
		w.svc.model.ObserveWait(took)
		if !w.hadPrompt {
			l.learnWait(took)
		}
	} else {
		output = now.Sub(w.firstAt)
	}
	w.svc.model.ObserveAnswer(took, output, w.output, w.decision.Requests)
	if w.hasOutput {
		l.table.work.outputs.Observe(w.route, w.workspace, w.output)
	}
}

// forgetHolder forgets that the prefix was sent to the target. The table's lock must be
// held.
func (l *Lease) forgetHolder() {
	if l.work != nil && l.work.prefix != nil {
		l.work.prefix.forget(l.state)
	}
}
