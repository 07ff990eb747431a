package route

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"cuminrock.example/fleet/mix"
)

// The prefix ring.
const (
	// ringPoints is the number of points of one target on the ring.
	ringPoints = 32
	// ringSteps bounds the points that one pick looks at.
	ringSteps = 4
	// affinePermille bounds the load of a target that is picked for its cached
	// prefix, as a part of the mean load of two random targets.
	affinePermille = 1250
	// affineSlack is added to that bound, in requests, so that idle targets
	// don't break affinity.
	affineSlack = 1
)

// ringPoint is one point of a target.
type ringPoint struct {
	hash uint64
	e    *entry
}

// buildRing makes the ring of the pool's targets.
func (p *pool) buildRing() {
	p.ring = make([]ringPoint, 0, len(p.entries)*ringPoints)
	for _, e := range p.entries {
		h := xxhash.Sum64String(e.target.Name)
		for range ringPoints {
			h = mix.Mix64(h + 0x9e3779b97f4a7c15)
			p.ring = append(p.ring, ringPoint{hash: h, e: e})
		}
	}
	slices.SortFunc(p.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

// affine returns the target that the prefix belongs to, or a following one,
// whose load is within the bound. PairLoad is the load of two random targets.
func (p *pool) affine(r *Request, now, pairLoad int64) *entry {
	if r.PrefixHash == 0 {
		return nil
	}
	bound := pairLoad*affinePermille/(2*permille) + affineSlack*reportUnit
	hash := mix.Mix64(r.PrefixHash)
	start := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= hash })
	for i := range ringSteps {
		e := p.ring[(start+i)%len(p.ring)].e
		if e.takes(r, now) && e.state.load() <= bound {
			return e
		}
	}
	return nil
}
