package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minWaitDivisor is the fraction of its latency goal that each request may wait for a
	// slot, however long it takes itself. Without it, long prompts would be refused
	// whenever no slot is free.
	minWaitDivisor = 4
	// urgentGoalDivisor is the fraction of the latency goal of more urgent requests up to
	// which less urgent ones may queue at targets, where the former would wait behind
	// them. It applies for recentGoal after such a request.
	urgentGoalDivisor = 4
	recentGoal        = time.Minute
	// overShareDivisor shortens the wait of requests whose workspace has used more than
	// its share.
	overShareDivisor = 2
	// turnAfter is how many times the cost of a request others must have started, while
	// its rank was refused or kept waiting, until the rank has a turn: the request goes
	// first, and is refused only if its deadline is expected to pass. So each rank gets a
	// ninth of the work, which is many starts for short requests. maxTurns bounds the
	// turns that a rank saves up.
	turnAfter = 8
	maxTurns  = 4
	// decisionWeight is the weight of one decision in the share of refused requests.
	decisionWeight = 0.1
	// wantsFor is how long a rank counts as wanting a slot after a refusal.
	wantsFor = 10 * time.Second
)

// compare orders the waiting requests; the first one is started first.
func (q *Queue) compare(a, b *Request) int {
	return cmp.Or(
		-compareBool(q.turns.due(a, q.now), q.turns.due(b, q.now)),
		cmp.Compare(clampRank(a.Rank), clampRank(b.Rank)),
		compareBool(q.usage.overShare(a.Workspace), q.usage.overShare(b.Workspace)),
		a.due().Compare(b.due()),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func compareTickets(q *Queue) func(a, b *ticket) int {
	return func(a, b *ticket) int { return q.compare(a.Request, b.Request) }
}

// first returns the waiting request that is started next.
func (q *Queue) first() *ticket { return slices.MinFunc(q.waiting, compareTickets(q)) }

// last returns the waiting request that loses its place first.
func (q *Queue) last() *ticket { return slices.MaxFunc(q.waiting, compareTickets(q)) }

// ahead counts the waiting requests that start before r.
func (q *Queue) ahead(r *Request) int {
	n := 0
	for _, t := range q.waiting {
		if q.compare(t.Request, r) < 0 {
			n++
		}
	}
	return n
}

// due returns when the request's latency goal ends, or its deadline if that is earlier.
func (r *Request) due() time.Time {
	due := r.Arrived.Add(r.Goal)
	if r.Goal == 0 || due.After(r.Deadline) {
		return r.Deadline
	}
	return due
}

// longestSlotWait returns how long a request, which needs some time until its first event
// itself, may wait for a slot at the gateway and at the target. More patience, of two or
// three goals for the urgent, was tried in the model: long prompts then filled the targets'
// queues, and most answers to them were late.
func (q *Queue) longestSlotWait(now time.Time, r *Request, work time.Duration) time.Duration {
	wait := max(r.due().Sub(now)-work, r.Goal/minWaitDivisor)
	if q.usage.overShare(r.Workspace) {
		wait /= overShareDivisor
	}
	urgent := q.goals.moreUrgent(r.Rank, now)
	if urgent > 0 {
		wait = min(wait, urgent/urgentGoalDivisor)
	}
	return wait
}

func clampRank(rank int) int { return min(max(rank, 0), numRanks-1) }

// turns counts the work started for others since each rank that wants a slot had a turn,
// so that none starves.
type turns struct {
	passed    [numRanks]int64
	refusedAt [numRanks]time.Time
	// refusedShare is the mean share of the rank's recent requests that were refused, and
	// decidedAt when one was last started or refused.
	refusedShare [numRanks]float64
	decidedAt    [numRanks]time.Time
}

// started records a start while others wait.
func (t *turns) started(r *Request, now time.Time, waiting []*ticket) {
	var wants [numRanks]bool
	for _, w := range waiting {
		wants[clampRank(w.Rank)] = true
	}
	own := clampRank(r.Rank)
	t.decided(own, 0, now)
	for other := range t.passed {
		switch {
		case other == own:
			t.passed[other] = min(max(t.passed[other]-turnAfter*r.Cost, 0), maxTurns*turnAfter*r.Cost)
		case wants[other] || now.Sub(t.refusedAt[other]) < wantsFor:
			t.passed[other] += r.Cost
		default:
			t.passed[other] = 0
		}
	}
}

// refused records that a request of a rank was refused.
func (t *turns) refused(rank int, now time.Time) {
	t.refusedAt[clampRank(rank)] = now
	t.decided(clampRank(rank), 1, now)
}

// decided records the decision on a request of a rank: 1 for a refusal, 0 for a start.
func (t *turns) decided(rank int, refused float64, now time.Time) {
	t.refusedShare[rank] += (refused - t.refusedShare[rank]) * decisionWeight
	t.decidedAt[rank] = now
}

// due reports whether a request's rank has a turn for it: others had enough since its last
// one, and no more urgent rank is refused more often.
func (t *turns) due(r *Request, now time.Time) bool {
	own := clampRank(r.Rank)
	if r.Cost == 0 || t.passed[own] < turnAfter*r.Cost {
		return false
	}
	for other := range own {
		if now.Sub(t.decidedAt[other]) <= recentGoal && t.refusedShare[other] > t.refusedShare[own] {
			return false
		}
	}
	return true
}

// goals are the latency goals of the ranks' last requests.
type goals struct {
	goal [numRanks]time.Duration
	at   [numRanks]time.Time
}

// record records a request's goal; 0 for none.
func (g *goals) record(rank int, goal time.Duration, now time.Time) {
	if goal == 0 {
		return
	}
	rank = clampRank(rank)
	if now.Sub(g.at[rank]) <= recentGoal && g.goal[rank] < goal {
		return // a shorter one is still in use
	}
	g.goal[rank], g.at[rank] = goal, now
}

// moreUrgent returns the shortest goal of the recent requests that are more urgent than a
// rank; 0 without any.
func (g *goals) moreUrgent(rank int, now time.Time) time.Duration {
	var shortest time.Duration
	for other := range clampRank(rank) {
		if g.goal[other] > 0 && now.Sub(g.at[other]) <= recentGoal && (shortest == 0 || g.goal[other] < shortest) {
			shortest = g.goal[other]
		}
	}
	return shortest
}
