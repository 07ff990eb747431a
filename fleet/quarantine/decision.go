package quarantine

import (
	"maps"
	"slices"

	"cuminrock.example/fleet/placement"
)

// maxRefusals bounds the refusals that are in force together.
const maxRefusals = 32

// decision is the state of deciding what is refused.
type decision struct {
	nowMs int64
	// crashTimes are the times of all crashes, in order.
	crashTimes []int64
	// parts and requests are the evidence against prompt parts and against requests
	// that may suffice.
	parts, requests []*evidence
	// explained are the crashes that a refused trait was in.
	explained map[placement.Process]struct{}
	refusals  []Refusal
}

// decide returns what is refused. Prompt parts come first, since several requests that
// crash targets are more likely to have a harmful part than to be harmful each by
// itself. The strongest evidence decides first, and the crashes that it explains don't
// count against other traits, except for those that were still not answered when
// answers would be known.
func decide(crashes *crashRecords, list []*evidence, nowMs int64) []Refusal {
	d := &decision{nowMs: nowMs, crashTimes: slices.Sorted(maps.Values(crashes.endedMs)), explained: make(map[placement.Process]struct{})}
	for _, e := range list {
		if e.trait.Kind == WholeRequest && len(e.crashes) >= suspectCrashes {
			d.requests = append(d.requests, e)
		}
	}
	for _, e := range list {
		if e.trait.Kind == PromptPart && e.maySufficeForPart() && !e.coveredBy(d.requests) {
			d.addPart(e)
		}
	}
	d.refuseStrongest(d.sufficientParts)
	d.refuseUnexcused()
	d.refuseStrongest(d.sufficientRequests)
	d.refuseUnanswered()
	return d.refusals
}

// addPart adds the evidence against a prompt part, without the crashes that are due to
// requests that don't hold it.
func (d *decision) addPart(e *evidence) {
	explained := make(map[placement.Process]struct{})
	for _, r := range d.requests {
		if len(r.crashes) < enoughRequestCrashes || r.weak(d.requests) || r.common(e) == len(r.crashes) {
			continue
		}
		for _, c := range r.crashes {
			explained[c.process] = struct{}{}
		}
	}
	left := e.without(explained)
	if left.maySufficeForPart() {
		d.parts = append(d.parts, left)
	}
}

// candidate is a trait that is to be refused unless stronger evidence explains its
// crashes. Its evidence is what isn't explained yet.
type candidate struct {
	*evidence
	refusal Refusal
}

// refuseStrongest refuses the strongest candidate until none is left.
func (d *decision) refuseStrongest(candidates func() []candidate) {
	for len(d.refusals) < maxRefusals {
		left := candidates()
		if len(left) == 0 {
			return
		}
		strongest := left[0]
		for _, c := range left[1:] {
			if c.stronger(strongest.evidence) {
				strongest = c
			}
		}
		strongest.addIndistinguishable(left)
		d.refusals = append(d.refusals, strongest.refusal)
		for _, c := range strongest.crashes {
			d.explained[c.process] = struct{}{}
		}
	}
}

// refuseUnexcused refuses the prompt parts that other ones don't excuse: several harmful
// ones may be in the same crashes.
func (d *decision) refuseUnexcused() {
	for _, e := range d.parts {
		if !e.unexcused(d.nowMs) || refusesTrait(d.refusals, e.trait) || len(d.refusals) >= maxRefusals {
			continue
		}
		refusal, _ := e.partRefusal(d.nowMs, d.crashTimes)
		d.refusals = append(d.refusals, refusal)
	}
}

// sufficientParts returns the prompt parts whose evidence suffices without the crashes
// that are explained.
func (d *decision) sufficientParts() []candidate {
	var candidates []candidate
	for _, e := range d.parts {
		left := e.without(d.explained)
		if len(left.crashes) == 0 {
			continue
		}
		refusal, sufficient := left.partRefusal(d.nowMs, d.crashTimes)
		if sufficient {
			candidates = append(candidates, candidate{evidence: left, refusal: refusal})
		}
	}
	return candidates
}

// sufficientRequests returns the requests whose evidence suffices, if one crash isn't
// explained.
func (d *decision) sufficientRequests() []candidate {
	var candidates []candidate
	for _, e := range d.requests {
		left := e.without(d.explained)
		if len(left.crashes) > 0 && e.sufficesForRequest() {
			candidates = append(candidates, candidate{evidence: left, refusal: e.requestRefusal(e.weak(d.requests))})
		}
	}
	return candidates
}

// refuseUnanswered refuses the requests that were never answered although other traits
// explain all of their crashes: several harmful ones may be in the same crashes.
func (d *decision) refuseUnanswered() {
	for _, e := range d.requests {
		if e.answeredMs == 0 && e.sufficesForRequest() && !refusesTrait(d.refusals, e.trait) && len(d.refusals) < maxRefusals {
			d.refusals = append(d.refusals, e.requestRefusal(true))
		}
	}
}

// addIndistinguishable adds the prompt parts among the others that nothing tells apart
// from this one to its refusal.
func (c *candidate) addIndistinguishable(others []candidate) {
	if c.trait.Kind != PromptPart {
		return
	}
	for _, other := range others {
		if other.trait != c.trait && c.indistinguishable(other.evidence) {
			c.refusal.Traits = append(c.refusal.Traits, other.trait)
		}
	}
	slices.SortFunc(c.refusal.Traits, Trait.Compare)
}

// refusesTrait reports whether one of the refusals has the trait.
func refusesTrait(refusals []Refusal, trait Trait) bool {
	return slices.ContainsFunc(refusals, func(r Refusal) bool { return slices.Contains(r.Traits, trait) })
}
