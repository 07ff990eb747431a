package policysim

import "slices"

// policy serves a run's requests.
type policy interface {
	// topUp adds tokens; it is called only where the platform is reachable
	// for the operator.
	topUp(b int, tokens int64)
	// reserve reports whether a request may run.
	reserve(r request) bool
	// reachable returns the unspent tokens that the request's side of the
	// network holds or can get.
	reachable(r request) int64
	// finish ends a run that reserve let in.
	finish(r request)
	// kill ends a router; its runs in progress are never finished.
	kill(router int)
	// tick ends a second.
	tick(t int)
	// outcome returns transactions sent and tokens in doubt, open or not.
	outcome() (writes int, inDoubt int64)
}

// network is what a policy may know of reachability.
type network struct {
	cut  bool
	slow bool
}

// platform reports whether a data centre reaches the platform.
func (n *network) platform(centre int) bool { return !n.cut || centre != cutCentre }

// peers reports whether two data centres reach each other.
func (n *network) peers(a, b int) bool { return !n.cut || (a == cutCentre) == (b == cutCentre) }

// Result is one row of the table.
type Result struct {
	Scenario string
	Policy   string
	Requests int
	// Overspent is the largest sum of tokens by which budgets were overspent.
	Overspent int64
	// FalseRefusals counts refusals of requests that the oracle would have let run.
	FalseRefusals int
	// FalseRefusalsReachable counts those whose own side of the network had enough.
	FalseRefusalsReachable int
	// ExhaustedRefusals counts refusals that the oracle shares.
	ExhaustedRefusals int
	// ExcessRefusals is refusals beyond those of the all-seeing pool in the same run.
	// A refusal that saves the tokens for a later request isn't in excess.
	ExcessRefusals int
	// InDoubt is the tokens in doubt at the end, DoubtPeak their peak.
	InDoubt         int64
	InDoubtPeak     int64
	WritesPerSecond float64
}

// Per100k returns a count per 100,000 requests.
func (r Result) Per100k(n int) float64 { return float64(n) * 100_000 / float64(r.Requests) }

// oracle knows what every budget really has.
type oracle struct {
	prepaid  [budgets]int64
	used     [budgets]int64
	reserved [budgets]int64
}

func (o *oracle) covers(b int) bool {
	return o.prepaid[b]-o.used[b]-o.reserved[b] >= boundTokens
}

func (o *oracle) overspent() int64 {
	var sum int64
	for b := range budgets {
		sum += max(0, o.used[b]-o.prepaid[b])
	}
	return sum
}

// runner is one run.
type runner struct {
	world   *world
	net     *network
	policy  policy
	oracle  oracle
	result  Result
	running [runSeconds + 1][]request
	waiting []topUp
}

// Run measures one policy in one scenario.
func Run(s Scenario, c Candidate, seed int64) Result {
	net := &network{}
	r := &runner{world: newWorld(s, seed), net: net, policy: c.make(net, seed)}
	r.result = Result{Scenario: s.Name, Policy: c.Name}
	for b, tokens := range r.world.first {
		r.topUp(topUp{budget: b, tokens: tokens})
	}
	seconds := s.seconds()
	for t := range seconds {
		r.second(t)
	}
	writes, inDoubt := r.policy.outcome()
	r.result.InDoubt = inDoubt
	r.result.WritesPerSecond = float64(writes) / float64(seconds)
	return r.result
}

func (r *runner) topUp(u topUp) {
	r.oracle.prepaid[u.budget] += u.tokens
	r.policy.topUp(u.budget, u.tokens)
}

func (r *runner) second(t int) {
	r.net.cut, r.net.slow = r.world.cut(t), r.world.slow(t)
	requests, topUps := r.world.second(t)
	r.finishRuns(t)
	if router, ok := r.world.deaths[t]; ok {
		r.kill(router)
	}
	r.applyTopUps(slices.Concat(r.waiting, topUps))
	for _, q := range requests {
		r.serve(t, q)
	}
	r.policy.tick(t)
	r.result.Overspent = max(r.result.Overspent, r.oracle.overspent())
	_, inDoubt := r.policy.outcome()
	r.result.InDoubtPeak = max(r.result.InDoubtPeak, inDoubt)
}

// applyTopUps refuses top-ups of operators who are cut off; they come again.
func (r *runner) applyTopUps(topUps []topUp) {
	r.waiting = nil
	for _, u := range topUps {
		if r.net.platform(u.centre) {
			r.topUp(u)
			continue
		}
		r.waiting = append(r.waiting, u)
	}
}

func (r *runner) finishRuns(t int) {
	slot := t % len(r.running)
	for _, q := range r.running[slot] {
		r.oracle.reserved[q.budget] -= boundTokens
		r.oracle.used[q.budget] += q.usage
		r.policy.finish(q)
	}
	r.running[slot] = r.running[slot][:0]
}

// kill ends a router. What its runs had used is spent.
func (r *runner) kill(router int) {
	for slot, list := range r.running {
		kept := list[:0]
		for _, q := range list {
			if q.router != router {
				kept = append(kept, q)
				continue
			}
			r.oracle.reserved[q.budget] -= boundTokens
			r.oracle.used[q.budget] += q.usage
		}
		r.running[slot] = kept
	}
	r.policy.kill(router)
}

func (r *runner) serve(t int, q request) {
	r.result.Requests++
	covered := r.oracle.covers(q.budget)
	if r.policy.reserve(q) {
		r.oracle.reserved[q.budget] += boundTokens
		slot := (t + runSeconds) % len(r.running)
		r.running[slot] = append(r.running[slot], q)
		return
	}
	if !covered {
		r.result.ExhaustedRefusals++
		return
	}
	r.result.FalseRefusals++
	if r.policy.reachable(q) >= boundTokens {
		r.result.FalseRefusalsReachable++
	}
}
