package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cuminrock.example/fleet/placement"
)

const (
	// retention is how long a crash counts.
	retention = 15 * time.Minute
	// waveGap separates waves: crashes that are less far apart count as one moment.
	waveGap = 300 * time.Millisecond
	// A part is refused after enoughCrashes in minWaves or more waves. If it was
	// answered before, later answers must have had settleTime since the first of these
	// crashes to become known, and the refusal ends a time after the last crash:
	// answeredRefusal, which doubles with each further wave.
	enoughCrashes   = 5
	minWaves        = 3
	settleTime      = 3 * time.Second
	answeredRefusal = 30 * time.Second
	// maxDoublings keeps the doubled time from overflowing.
	maxDoublings = 8
	// A part that was never answered is refused sooner: after minWaves, if it was in
	// at least half of the crashes from its first to its last one, and after
	// enoughCrashes in two waves; in a single one, only for singleWaveRefusal.
	singleWaveRefusal = 2 * time.Minute
	// maxRefusals bounds the refusals that are in force together.
	maxRefusals = 32
)

// evidence is what speaks against one part.
type evidence struct {
	trait Trait
	// answeredMs is when the last known answer to a prompt with the part began; 0
	// if there was none.
	answeredMs int64
	// crashes are those after answeredMs, the oldest first.
	crashes []crashTime
}

type crashTime struct {
	process placement.Process
	atMs    int64
}

// order orders crashes by time.
func (c crashTime) order(other crashTime) int {
	return cmp.Or(cmp.Compare(c.atMs, other.atMs), cmp.Compare(c.process.ID, other.process.ID), cmp.Compare(c.process.StartTimeMs, other.process.StartTimeMs))
}

// gather returns the evidence against each part that has crashes since its last
// answer.
func gather(crashes *crashRecords, answers map[Trait]int64) []*evidence {
	byPart := make(map[Trait]*evidence)
	for _, c := range crashes.list {
		endedMs := crashes.endedMs[c.Process]
		for _, trait := range c.Traits {
			if endedMs <= answers[trait] {
				continue
			}
			e := byPart[trait]
			if e == nil {
				e = &evidence{trait: trait, answeredMs: answers[trait]}
				byPart[trait] = e
			}
			e.crashes = append(e.crashes, crashTime{process: c.Process, atMs: endedMs})
		}
	}
	list := make([]*evidence, 0, len(byPart))
	for _, e := range byPart {
		slices.SortFunc(e.crashes, crashTime.order)
		e.crashes = slices.Compact(e.crashes)
		list = append(list, e)
	}
	return list
}

// waves returns the number of separate moments at which targets crashed.
func (e *evidence) waves() int {
	count := 0
	var startMs int64
	for i, c := range e.crashes {
		if i == 0 || c.atMs-startMs >= waveGap.Milliseconds() {
			count++
			startMs = c.atMs
		}
	}
	return count
}

// lastMs returns the time of the last crash.
func (e *evidence) lastMs() int64 { return e.crashes[len(e.crashes)-1].atMs }

// refusedUntil returns when the refusal of the part ends; 0 if it isn't refused.
// all are the times of all crashes, in order.
func (e *evidence) refusedUntil(nowMs int64, all []int64) int64 {
	waves, enough := e.waves(), len(e.crashes) >= enoughCrashes
	var untilMs int64
	switch {
	case e.answeredMs > 0:
		if enough && waves >= minWaves && e.settled(nowMs) {
			untilMs = e.lastMs() + min(answeredRefusal<<min(waves-minWaves, maxDoublings), retention).Milliseconds()
		}
	case enough && waves > 1, waves >= minWaves && 2*len(e.crashes) >= e.among(all):
		// From then on too few crashes count.
		untilMs = e.crashes[len(e.crashes)-minWaves].atMs + retention.Milliseconds()
	case enough:
		untilMs = e.lastMs() + singleWaveRefusal.Milliseconds()
	}
	if untilMs <= nowMs {
		return 0
	}
	return untilMs
}

// settled reports whether answers since the first crash would be known.
func (e *evidence) settled(nowMs int64) bool {
	return nowMs-e.crashes[0].atMs >= settleTime.Milliseconds()
}

// unexcused reports whether the part was in enough crashes, and not answered until
// answers would be known. Then it is refused even if other parts explain them.
func (e *evidence) unexcused(nowMs int64) bool {
	return e.answeredMs == 0 && len(e.crashes) >= enoughCrashes && e.waves() > 1 && e.settled(nowMs)
}

// among returns the number of crashes from the part's first to its last one.
func (e *evidence) among(crashes []int64) int {
	first, _ := slices.BinarySearch(crashes, e.crashes[0].atMs)
	end, _ := slices.BinarySearch(crashes, e.lastMs()+1)
	return end - first
}

// without returns the evidence that is left when some crashes have another cause.
func (e *evidence) without(explained map[placement.Process]struct{}) *evidence {
	left := &evidence{trait: e.trait, answeredMs: e.answeredMs}
	for _, c := range e.crashes {
		if _, found := explained[c.process]; !found {
			left.crashes = append(left.crashes, c)
		}
	}
	return left
}

// stronger reports whether e is stronger evidence than other: its part was never
// answered or longer ago, or was in more crashes.
func (e *evidence) stronger(other *evidence) bool {
	order := cmp.Or(
		cmp.Compare(other.answeredMs, e.answeredMs),
		cmp.Compare(len(e.crashes), len(other.crashes)),
		other.trait.Compare(e.trait),
	)
	return order > 0
}

// indistinguishable reports whether nothing tells the parts of two pieces of
// evidence apart.
func (e *evidence) indistinguishable(other *evidence) bool {
	return e.answeredMs == other.answeredMs && slices.Equal(e.crashes, other.crashes)
}

// decide returns what is refused. The strongest evidence decides first, and the
// crashes that it explains don't count against other parts, except for those that
// were still not answered when answers would be known: several harmful parts may
// be in the same crashes.
func decide(crashes *crashRecords, list []*evidence, nowMs int64) []Refusal {
	list = slices.DeleteFunc(list, func(e *evidence) bool { return e.waves() < minWaves && len(e.crashes) < enoughCrashes })
	all := slices.Sorted(maps.Values(crashes.endedMs))
	explained := make(map[placement.Process]struct{})
	var refusals []Refusal
	for len(refusals) < maxRefusals {
		left := sufficient(list, explained, nowMs, all)
		if len(left) == 0 {
			break
		}
		strongest := left[0]
		for _, e := range left[1:] {
			if e.stronger(strongest) {
				strongest = e
			}
		}
		refusals = append(refusals, strongest.refusal(left, nowMs, all))
		for _, c := range strongest.crashes {
			explained[c.process] = struct{}{}
		}
	}
	for _, e := range list {
		if e.unexcused(nowMs) && !refusesTrait(refusals, e.trait) && len(refusals) < maxRefusals {
			refusals = append(refusals, Refusal{Traits: []Trait{e.trait}, Crashes: len(e.crashes), LastMs: e.lastMs(), UntilMs: e.refusedUntil(nowMs, all)})
		}
	}
	return refusals
}

// refusesTrait reports whether one of the refusals has the part.
func refusesTrait(refusals []Refusal, trait Trait) bool {
	return slices.ContainsFunc(refusals, func(r Refusal) bool { return slices.Contains(r.Traits, trait) })
}

// sufficient returns the evidence that still suffices to refuse its part without
// the explained crashes.
func sufficient(list []*evidence, explained map[placement.Process]struct{}, nowMs int64, all []int64) []*evidence {
	var left []*evidence
	for _, e := range list {
		e = e.without(explained)
		if len(e.crashes) > 0 && e.refusedUntil(nowMs, all) > 0 {
			left = append(left, e)
		}
	}
	return left
}

// refusal returns the refusal of the part, and of those among others that nothing
// tells apart from it.
func (e *evidence) refusal(others []*evidence, nowMs int64, all []int64) Refusal {
	r := Refusal{Crashes: len(e.crashes), LastMs: e.lastMs(), UntilMs: e.refusedUntil(nowMs, all)}
	for _, other := range others {
		if e.indistinguishable(other) {
			r.Traits = append(r.Traits, other.trait)
		}
	}
	slices.SortFunc(r.Traits, Trait.Compare)
	return r
}
