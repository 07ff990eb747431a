package route

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"cuminrock.example/fleet/mix"
)

// The consistent-hash ring of prompt prefixes.
const (
	// pointsPerTarget is the number of points of one target on the ring.
	pointsPerTarget = 32
	// maxRingSteps is the maximum number of points that one pick examines.
	maxRingSteps = 4
	// affinityLoadPermille bounds the load of a target that is picked for its
	// cached prefix, relative to the mean load of two random targets.
	affinityLoadPermille = 1250
	// affinityLoadSlack is added to that bound, in requests, so that affinity
	// also holds while targets are idle.
	affinityLoadSlack = 1
)

// ringPoint is one point of a target on the ring.
type ringPoint struct {
	hash  uint64
	entry *entry
}

// buildRing builds the ring of the pool's targets.
func (p *pool) buildRing() {
	p.ring = make([]ringPoint, 0, len(p.entries)*pointsPerTarget)
	for _, e := range p.entries {
		h := xxhash.Sum64String(e.target.Name)
		for range pointsPerTarget {
			h = mix.Mix64(h + 0x9e3779b97f4a7c15)
			p.ring = append(p.ring, ringPoint{hash: h, entry: e})
		}
	}
	slices.SortFunc(p.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

// affinityTarget returns the target to which the ring assigns the prefix, or
// one of the following points' targets, whose load is within the bound. It
// returns nil if there is none. pairLoad is the sum of the loads of two random
// targets.
func (p *pool) affinityTarget(r *Request, now, pairLoad int64) *entry {
	if r.PrefixHash == 0 {
		return nil
	}
	bound := pairLoad*affinityLoadPermille/(2*permille) + affinityLoadSlack*loadUnit
	hash := mix.Mix64(r.PrefixHash)
	start := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= hash })
	for i := range maxRingSteps {
		e := p.ring[(start+i)%len(p.ring)].entry
		if e.available(r, now) && e.state.load() <= bound {
			return e
		}
	}
	return nil
}
