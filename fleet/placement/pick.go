package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/mix"
)

const (
	// waitingTokens and runningTokens are what a waiting and a running request
	// count as at a target, in prompt tokens to be read.
	waitingTokens = 4000
	runningTokens = 100
	// sharedWeight is what a shared token counts as where it has to be copied
	// from the target that keeps it.
	sharedWeight = 2
	// farTokens is what going to another data centre counts as, in prompt tokens.
	farTokens = 2000
	// loadMemory is how long a target's own word counts.
	loadMemory = 2 * time.Second
	// farPenalty is what a target of another data centre is held to be more
	// loaded, in requests.
	farPenalty = 0.25
	// busyRetry is advised where no target takes new work.
	busyRetry = 500 * time.Millisecond
)

// Request is what Pick decides on.
type Request struct {
	Service string
	// Affinity is a hash of the prompt parts shared with other requests; 0
	// means that any target does as well.
	Affinity uint64
	// SharedTokens is the size of those parts, and PromptTokens that of the
	// whole prompt.
	SharedTokens, PromptTokens int64
	// Exclude names targets that this request tried already.
	Exclude []string
	Now     time.Time
}

// Lease is a place at a target. Its holder calls Done exactly once.
type Lease struct {
	table *Table
	state *state
	// target is as it was when it was picked.
	target Target
	// probesTarget and probesSite say that the request probes a suspect.
	probesTarget, probesSite bool
	// unread is the prompt tokens thought to be unread at the target.
	unread int64
	// source is where the shared parts can be copied from; nil for nowhere.
	source *Target
}

// Target returns the picked target.
func (l *Lease) Target() Target { return l.target }

// Source returns the target from which the picked one can copy the shared parts
// of the prompt; nil for none.
func (l *Lease) Source() *Target { return l.source }

// Pick returns a place at a target. The error's kind is NoTarget.
func (t *Table) Pick(r *Request) (*Lease, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := t.open(r, true)
	if len(open) == 0 {
		open = t.open(r, false)
	}
	if len(open) == 0 {
		return nil, errkind.New(errkind.NoTarget, "no target of the service takes new work").After(busyRetry)
	}
	s, home := t.choose(open, r)
	unread := r.PromptTokens
	if home != nil {
		unread -= r.SharedTokens
	}
	s.own++
	s.sentSince++
	s.unread += unread
	there := t.site(s.target.DataCentre)
	there.sent(r.Now)
	return &Lease{
		table: t, state: s, target: s.target, unread: unread, source: t.source(s, r),
		probesTarget: s.health.sent(),
		probesSite:   there.health.sent(),
	}, nil
}

// open returns the targets that may get the request. Where all of them are
// suspect, a caller asks again without the word health.
func (t *Table) open(r *Request, healthy bool) []*state {
	var open []*state
	for _, s := range t.services[r.Service] {
		if s.target.Leaving || slices.Contains(r.Exclude, s.target.ID) {
			continue
		}
		if healthy && !t.takes(s, r.Now) {
			continue
		}
		open = append(open, s)
	}
	return open
}

// takes tells whether neither the target nor its data centre is suspect, and the
// data centre is heard from.
func (t *Table) takes(s *state, now time.Time) bool {
	there := t.site(s.target.DataCentre)
	return s.health.open(now) && !now.Before(s.refusedUntil) && there.health.open(now) && !there.quiet(now)
}

// choose picks one of the open targets, and returns the home of the prompt's
// shared parts; nil where there are none.
func (t *Table) choose(open []*state, r *Request) (best, home *state) {
	if r.Affinity == 0 {
		return t.leastLoaded(open, r.Now), nil
	}
	home = t.home(open, r)
	best, bestCost := home, t.costOf(home, r)
	for _, s := range open {
		cost := t.costOf(s, r) + sharedWeight*r.SharedTokens
		if s != home && cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, home
}

// home returns the target that keeps the shared parts of the prompt for this
// data centre.
func (t *Table) home(open []*state, r *Request) *state {
	near := t.near(open)
	if len(near) == 0 {
		near = open
	}
	return homeOf(near, r.Affinity)
}

// near returns the targets that are in this router's data centre.
func (t *Table) near(list []*state) []*state {
	var found []*state
	for _, s := range list {
		if s.target.DataCentre == t.dataCentre {
			found = append(found, s)
		}
	}
	return found
}

// costOf returns what a target costs the request, in prompt tokens.
func (t *Table) costOf(s *state, r *Request) int64 {
	cost := s.cost(r.Now)
	if s.target.DataCentre != t.dataCentre {
		cost += farTokens
	}
	return cost
}

// homeOf returns the target that keeps the prompt parts: that of the highest
// rank.
func homeOf(open []*state, affinity uint64) *state {
	home, homeRank := open[0], rankOf(affinity, open[0].target.ID)
	for _, s := range open[1:] {
		rank := rankOf(affinity, s.target.ID)
		if rank > homeRank {
			home, homeRank = s, rank
		}
	}
	return home
}

// cost returns the work before a new request at the target, in prompt tokens.
func (s *state) cost(now time.Time) int64 {
	cost := s.unread + int64(s.estimate(now)*runningTokens)
	if s.recent(now) {
		cost += int64(s.load.Waiting) * waitingTokens
	}
	return cost
}

// leastLoaded picks the target with the least load for its slots, near ones
// first.
func (t *Table) leastLoaded(open []*state, now time.Time) *state {
	var best *state
	var bestLoad float64
	for _, s := range open {
		load := s.estimate(now)
		if s.target.DataCentre != t.dataCentre {
			load += farPenalty
		}
		if best == nil || load < bestLoad {
			best, bestLoad = s, load
		}
	}
	return best
}

// rankOf ranks a target for the requests of an affinity.
func rankOf(affinity uint64, id string) uint64 {
	return mix.Mix64(affinity ^ xxhash.Sum64String(id))
}

// estimate returns the requests thought to be at the target.
func (s *state) estimate(now time.Time) float64 {
	own := float64(s.own)
	if !s.recent(now) {
		return own
	}
	return max(own, float64(s.load.Running+s.load.Waiting+s.sentSince))
}

// recent tells whether the target's own word still counts.
func (s *state) recent(now time.Time) bool {
	return !s.toldAt.IsZero() && now.Sub(s.toldAt) <= loadMemory
}
