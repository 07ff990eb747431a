package policysim

import "slices"

// policy decides which requests run.
type policy interface {
	// topUp adds tokens. It is called only if the operator can reach the
	// platform.
	topUp(b int, tokens int64)
	// reserve reports whether a request may run.
	reserve(r request) bool
	// reachable returns the unspent tokens that routers on the request's side of
	// a partition hold or can get.
	reachable(r request) int64
	// finish ends a run that reserve admitted.
	finish(r request)
	// crash ends a router; its runs in progress are never finished.
	crash(router int)
	// tick ends a second.
	tick(t int)
	// totals returns the number of transactions and the tokens in doubt.
	totals() (writes int, inDoubt int64)
}

// network is the reachability that a policy may know.
type network struct {
	partitioned  bool
	platformSlow bool
}

// reachesPlatform reports whether a data centre reaches the platform.
func (n *network) reachesPlatform(centre int) bool {
	return !n.partitioned || centre != partitionedCentre
}

// connected reports whether two data centres reach each other.
func (n *network) connected(a, b int) bool {
	return !n.partitioned || (a == partitionedCentre) == (b == partitionedCentre)
}

// Result is one row of the table.
type Result struct {
	Scenario string
	Policy   string
	Requests int
	// Overspent is the largest sum of tokens by which budgets were overspent.
	Overspent int64
	// FalseRefusals counts refusals of requests that the oracle would have
	// admitted.
	FalseRefusals int
	// FalseRefusalsReachable counts the false refusals for which the request's
	// side of a partition had enough tokens.
	FalseRefusalsReachable int
	// ExhaustedRefusals counts refusals that the oracle shares.
	ExhaustedRefusals int
	// ExcessRefusals is the number of refusals beyond those of the oracle pool
	// in the same run. A refusal that saves the tokens for a later request is
	// not in excess.
	ExcessRefusals int
	// InDoubt is the number of tokens in doubt at the end of the run and
	// InDoubtPeak the largest number during it.
	InDoubt         int64
	InDoubtPeak     int64
	WritesPerSecond float64
}

// Per100k returns a count per 100,000 requests.
func (r Result) Per100k(n int) float64 { return float64(n) * 100_000 / float64(r.Requests) }

// oracle knows the true balance of every budget.
type oracle struct {
	prepaid  [budgetCount]int64
	used     [budgetCount]int64
	reserved [budgetCount]int64
}

func (o *oracle) covers(b int) bool {
	return o.prepaid[b]-o.used[b]-o.reserved[b] >= requestBound
}

func (o *oracle) overspent() int64 {
	var sum int64
	for b := range budgetCount {
		sum += max(0, o.used[b]-o.prepaid[b])
	}
	return sum
}

// simulation is one run of one policy.
type simulation struct {
	workload      *workload
	net           *network
	policy        policy
	oracle        oracle
	result        Result
	running       [runSeconds + 1][]request
	delayedTopUps []topUp
}

// Run simulates one policy in one scenario.
func Run(s Scenario, c Candidate, seed int64) Result {
	net := &network{}
	sim := &simulation{workload: newWorkload(s, seed), net: net, policy: c.make(net, seed)}
	sim.result = Result{Scenario: s.Name, Policy: c.Name}
	for b, tokens := range sim.workload.initialTokens {
		sim.topUp(topUp{budget: b, tokens: tokens})
	}
	seconds := s.totalSeconds()
	for t := range seconds {
		sim.simulateSecond(t)
	}
	writes, inDoubt := sim.policy.totals()
	sim.result.InDoubt = inDoubt
	sim.result.WritesPerSecond = float64(writes) / float64(seconds)
	return sim.result
}

func (s *simulation) topUp(u topUp) {
	s.oracle.prepaid[u.budget] += u.tokens
	s.policy.topUp(u.budget, u.tokens)
}

func (s *simulation) simulateSecond(t int) {
	s.net.partitioned, s.net.platformSlow = s.workload.isPartitioned(t), s.workload.isPlatformSlow(t)
	requests, topUps := s.workload.generateSecond(t)
	s.finishRuns(t)
	if router, ok := s.workload.crashes[t]; ok {
		s.crash(router)
	}
	s.applyTopUps(slices.Concat(s.delayedTopUps, topUps))
	for _, req := range requests {
		s.serve(t, req)
	}
	s.policy.tick(t)
	s.result.Overspent = max(s.result.Overspent, s.oracle.overspent())
	_, inDoubt := s.policy.totals()
	s.result.InDoubtPeak = max(s.result.InDoubtPeak, inDoubt)
}

// applyTopUps refuses top-ups of operators who are cut off from the platform.
// They are tried again in the next second.
func (s *simulation) applyTopUps(topUps []topUp) {
	s.delayedTopUps = nil
	for _, u := range topUps {
		if s.net.reachesPlatform(u.centre) {
			s.topUp(u)
			continue
		}
		s.delayedTopUps = append(s.delayedTopUps, u)
	}
}

func (s *simulation) finishRuns(t int) {
	slot := t % len(s.running)
	for _, req := range s.running[slot] {
		s.oracle.reserved[req.budget] -= requestBound
		s.oracle.used[req.budget] += req.usage
		s.policy.finish(req)
	}
	s.running[slot] = s.running[slot][:0]
}

// crash ends a router. What its runs had used is spent.
func (s *simulation) crash(router int) {
	for slot, list := range s.running {
		kept := list[:0]
		for _, req := range list {
			if req.router != router {
				kept = append(kept, req)
				continue
			}
			s.oracle.reserved[req.budget] -= requestBound
			s.oracle.used[req.budget] += req.usage
		}
		s.running[slot] = kept
	}
	s.policy.crash(router)
}

func (s *simulation) serve(t int, req request) {
	s.result.Requests++
	covered := s.oracle.covers(req.budget)
	if s.policy.reserve(req) {
		s.oracle.reserved[req.budget] += requestBound
		slot := (t + runSeconds) % len(s.running)
		s.running[slot] = append(s.running[slot], req)
		return
	}
	if !covered {
		s.result.ExhaustedRefusals++
		return
	}
	s.result.FalseRefusals++
	if s.policy.reachable(req) >= requestBound {
		s.result.FalseRefusalsReachable++
	}
}
