package placement

import (
	"time"

	"cuminrock.example/fleet/workmodel"
)

const (
	// copyFixed and copyPerThousand are the time to copy cached prompt parts from another
	// target, in ms: 5,000 tokens take 2 to 30 ms.
	copyFixed       = 2
	copyPerThousand = 2.5
	// Likelihoods that a target has the prefix of a prompt in its cache: one that this
	// router sent it to, the first ranked one of a data centre and the others in use, if
	// the router has sent the prefix lately, and if it hasn't. A router sees a small part of the
	// requests, so a prefix that it has seen once has usually been sent by others too.
	sentLikelihood    = 0.97
	homeLikelihood    = 0.9
	replicaLikelihood = 0.5
	newHomeLikelihood = 0.5
	newReplicaChance  = 0.2
	// prefixSeenMaxAge is how long a prefix counts as one that was sent lately.
	prefixSeenMaxAge = 2 * cacheRetention
	// spreadShare is the cost of having one more target keep a prefix, as a share of the
	// time to read it: other parts lose their place in that cache.
	spreadShare = 0.4
	// spreadFixed is a further cost of it in ms. Prompts that crash targets thus go to the
	// targets of their own prefix, also if it is short, and not to those of others.
	spreadFixed = 3
	// connectCost is the cost of a random target to which there is probably no open
	// connection, in ms. It keeps the number of targets that a router connects to small. It
	// doesn't apply to targets of the prefix: requests that crash targets would go to those
	// that other requests use. In services all of whose targets are compared it is
	// scanConnectCost, which prefers an open connection among idle targets: a new one may
	// fail where an open one survives a short cut.
	connectCost     = 5
	scanConnectCost = 1.5
	// tieSpread is the random part of the cost of targets other than those of the prefix,
	// in ms, so that routers which know nothing don't choose the same.
	tieSpread = 0.5
	// occupancyShare is the part of the time of a request without waiting that counts for
	// the use of all slots of a target.
	occupancyShare = 0.1
	// usedMaxAge is how long a target that was sent to counts as connected.
	usedMaxAge = 10 * time.Second
	// remoteBytesCost is the cost of sending a thousand prompt tokens to another data
	// centre, in ms; links between data centres are shared.
	remoteBytesCost = 0.5
	// minPath is the least cost of another data centre, in ms: without load requests stay in
	// their own.
	minPath = 2
	// meanMemory is how long the mean of a target's reports is preferred to that of its
	// data centre.
	meanMemory = 8 * time.Second
	// minReportMemory and maxReportMemory bound the time in which a report gives way to
	// the mean. Within these it is twice the time that a request runs.
	minReportMemory = 250 * time.Millisecond
	maxReportMemory = 2 * time.Second
	// unknownSlots is the number of requests at a target that doubles the time of another
	// one, where no target reports its slots. Without it, a burst through one gateway went
	// to one of several targets that report nothing.
	unknownSlots = 8
)

// workCandidate is a target and what the request is expected to cost there, in ms.
type workCandidate struct {
	state  *targetState
	choice Choice
	// cost is what candidates are compared by: the time to the first event, the effect on
	// the other requests there, and the cost of spreading, with a random part for what
	// isn't known.
	cost float64
	// firstEvent is the expected time to the first event, slotWait the part of it that is
	// waiting for a slot.
	firstEvent, slotWait float64
	// unread are the tokens that the target has to read for this request, ahead those that
	// it has to read before, and copying the time to copy cached parts.
	unread, ahead, copying float64
	// factor is the target's speed, requests the expected number of requests there.
	factor, requests float64
	source           *targetState
}

// pricing holds what is the same for all candidates of one request.
type pricing struct {
	table  *Table
	svc    *workService
	r      *Request
	now    workmodel.Instant
	prefix *prefix
	// share is that of the prefix in the service's recent requests, and seen is set if this
	// router sent the prefix lately.
	share  float64
	seen   bool
	output workmodel.Output
	// source is the target that most likely has the shared parts, with its likelihood;
	// second is the next one, for the case that the source itself is picked.
	source, second             *targetState
	sourceChance, secondChance float64
	copying                    float64
	// reportMemory is the time in which a report gives way to the mean.
	reportMemory time.Duration
	// noRandom leaves out the random part of what isn't known.
	noRandom bool
}

// newPricing prepares the comparison of candidates. It returns a value, so that a pick
// allocates nothing for it.
func (t *Table) newPricing(svc *workService, r *Request) pricing {
	p := pricing{table: t, svc: svc, r: r, now: workmodel.At(r.Now), prefix: svc.prefix(r.Affinity), reportMemory: svc.reportMemory()}
	p.updateDataCentres()
	p.output = t.work.outputs.Expect(r.Route, r.Workspace, r.MaxOutputTokens)
	if p.prefix != nil {
		p.share = p.prefix.sends.value(p.now) / max(svc.sends.value(p.now), 1)
		p.seen = p.prefix.lastSeen != 0 && p.now.Sub(p.prefix.lastSeen) <= prefixSeenMaxAge
	}
	if p.prefix != nil && r.SharedTokens >= minCopyTokens {
		p.copying = copyFixed + copyPerThousand*float64(r.SharedTokens)/1000
		p.findSources()
	}
	return p
}

// price sets the expected costs of a candidate that has its target and choice.
func (p *pricing) price(c *workCandidate) {
	s, now, model := c.state, p.now, p.svc.model
	c.factor = s.work.speed.Factor(now)
	p.priceReading(c)
	expected, spread := s.expectedRequests(p.reportMemory, now)
	requests := expected
	if !p.noRandom {
		requests = max(expected+spread*p.table.work.uniform(), float64(s.inFlight))
	}
	c.requests = expected
	slots := p.slots(s)
	c.slotWait = c.factor * slotWait(requests, spread, slots, model.Duration())
	// Of the others' requests there, a part has had no first event yet.
	others := max(requests-float64(s.inFlight), 0)
	unreadOthers := others * model.UnreadShare()
	if waiting := requests - slots; slots > 0 && waiting > 0 {
		unreadOthers = max(unreadOthers, min(waiting, others))
	}
	c.ahead = float64(max(s.pendingPromptTokens, 0)) + unreadOthers*model.Unread()
	c.firstEvent = c.factor*model.Calibration()*(model.BaseTime()+model.ReadTime(c.ahead+c.unread)) + c.slotWait + c.copying
	c.firstEvent += p.pathCost(s)
	c.cost = c.firstEvent + p.effectOnOthers(c, requests, slots)
	if c.choice == ChoiceReplica {
		return
	}
	if !s.recentlyUsed(now) {
		if c.choice == ChoiceScan {
			c.cost += scanConnectCost
		} else {
			c.cost += connectCost
		}
	}
	if !p.noRandom {
		c.cost += tieSpread * p.table.work.uniform()
	}
}

// priceReading sets the tokens to be read, and the source and time of a copy.
func (p *pricing) priceReading(c *workCandidate) {
	shared := float64(min(p.r.SharedTokens, p.r.PromptTokens))
	c.unread = float64(p.r.PromptTokens)
	if p.prefix == nil {
		return
	}
	chance := p.cachedChance(c.state)
	missing := 1 - chance
	source, sourceChance := p.source, p.sourceChance
	if source == c.state {
		source, sourceChance = p.second, p.secondChance
	}
	if source != nil && chance < sentLikelihood {
		c.source, c.copying = source, missing*sourceChance*p.copying
		missing *= 1 - sourceChance
	}
	c.unread += shared * (missing - 1)
}

// effectOnOthers returns the delay of the other requests at the target, as a mean over
// its slots, and the cost of a further copy of the prefix.
func (p *pricing) effectOnOthers(c *workCandidate, requests, slots float64) float64 {
	model := p.svc.model
	occupancy := requests / slots
	if slots == 0 {
		occupancy = requests / unknownSlots
	}
	effect := c.factor * occupancy * (model.ReadTime(c.unread) + model.StepGrowth()*p.output.Tokens + occupancyShare*model.BaseTime())
	if p.prefix == nil || c.choice == ChoiceReplica || p.prefix.holds(c.state, p.now) {
		return effect
	}
	return effect + spreadFixed + spreadShare*model.ReadTime(float64(p.r.SharedTokens))
}

// pathCost returns the cost of using another data centre, in ms.
func (p *pricing) pathCost(s *targetState) float64 {
	dc := s.work.dataCentre
	if dc.local {
		return 0
	}
	return max(dc.known.path.Value(), minPath) + remoteBytesCost*float64(p.r.PromptTokens)/1000
}

// slots returns the number of requests that the target runs at once; 0 if it is unknown.
func (p *pricing) slots(s *targetState) float64 {
	if s.load.Slots > 0 {
		return float64(s.load.Slots)
	}
	return float64(p.svc.slots)
}
