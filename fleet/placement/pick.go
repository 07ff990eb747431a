package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminrock.example/fleet/errkind"
)

const (
	// loadBound bounds the load of a target that is picked by its rank, as a
	// part of the mean load.
	loadBound = 2.0
	// loadSlack is added to that bound, in requests.
	loadSlack = 12.0
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
	// Exclude names targets that this request tried already.
	Exclude []string
	Now     time.Time
}

// Lease is a place at a target. Its holder calls Done exactly once.
type Lease struct {
	table *Table
	state *state
	// probesTarget and probesSite say that the request probes a suspect.
	probesTarget, probesSite bool
}

// Target returns the picked target.
func (l *Lease) Target() Target { return l.state.target }

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
	s := t.choose(open, r)
	s.own++
	s.sentSince++
	return &Lease{
		table: t, state: s,
		probesTarget: s.health.sent(),
		probesSite:   t.site(s.target.DataCentre).health.sent(),
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

// takes tells whether neither the target nor its data centre is suspect.
func (t *Table) takes(s *state, now time.Time) bool {
	return s.health.open(now) && !now.Before(s.refusedUntil) && t.site(s.target.DataCentre).health.open(now)
}

// choose picks one of the open targets.
func (t *Table) choose(open []*state, r *Request) *state {
	if r.Affinity == 0 {
		return t.leastLoaded(open, r.Now)
	}
	mean := 0.0
	for _, s := range open {
		mean += s.estimate(r.Now)
	}
	mean /= float64(len(open))
	bound := mean*loadBound + loadSlack
	var best *state
	var bestRank uint64
	for _, s := range open {
		rank := rankOf(r.Affinity, s.target.ID)
		if s.estimate(r.Now) <= bound && (best == nil || rank > bestRank) {
			best, bestRank = s, rank
		}
	}
	return best
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
	return mix(affinity ^ xxhash.Sum64String(id))
}

// mix is the finalizer of splitmix64 (Steele, Lea and Flood, "Fast Splittable
// Pseudorandom Number Generators", 2014).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// estimate returns the requests thought to be at the target.
func (s *state) estimate(now time.Time) float64 {
	own := float64(s.own)
	if s.toldAt.IsZero() || now.Sub(s.toldAt) > loadMemory {
		return own
	}
	return max(own, float64(s.load.Running+s.load.Waiting+s.sentSince))
}
