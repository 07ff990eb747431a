package location

import (
	"maps"
	"slices"
)

// Regions maps data centres to the regions that they are in.
type Regions map[string]string

// Homes is a set of home regions that is never modified. The nil set means all regions,
// an empty one none.
type Homes map[string]struct{}

// NewHomes returns the set of the given regions; all if none is given.
func NewHomes(regions ...string) Homes {
	if len(regions) == 0 {
		return nil
	}
	homes := make(Homes, len(regions))
	for _, region := range regions {
		homes[region] = struct{}{}
	}
	return homes
}

// Names returns the regions in order; nil for all.
func (h Homes) Names() []string { return slices.Sorted(maps.Keys(h)) }

// And returns the regions that are in both sets.
func (h Homes) And(other Homes) Homes {
	switch {
	case h == nil:
		return other
	case other == nil:
		return h
	}
	both := make(Homes)
	for region := range h {
		if _, found := other[region]; found {
			both[region] = struct{}{}
		}
	}
	return both
}

// Allow reports whether a request with home regions may be sent to a target in the data
// centre. One whose region isn't known gets none.
func (r Regions) Allow(homes Homes, dataCentre string) bool {
	if homes == nil {
		return true
	}
	region := r[dataCentre]
	_, home := homes[region]
	return region != "" && home
}

// MayCarry reports whether the body of a request with home regions may be sent from a
// gateway in one data centre to a gateway in another: within a region, or into a home
// region.
func (r Regions) MayCarry(homes Homes, from, to string) bool {
	if homes == nil || from == to {
		return true
	}
	return r[to] != "" && r[to] == r[from] || r.Allow(homes, to)
}
