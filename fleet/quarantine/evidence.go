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
)

// evidence is what speaks against one trait.
type evidence struct {
	trait Trait
	// answeredMs is when the last known answer to a request with the trait began; 0
	// if there was none.
	answeredMs int64
	// crashes are those after answeredMs, the oldest first.
	crashes []crashTime
}

// crashTime is a crash in which requests with the trait were lost. The first of these
// was sent to the process at sentMs.
type crashTime struct {
	process      placement.Process
	atMs, sentMs int64
}

// order orders crashes by time, and records of one process by when the request was sent.
func (c crashTime) order(other crashTime) int {
	return cmp.Or(
		cmp.Compare(c.atMs, other.atMs),
		cmp.Compare(c.process.ID, other.process.ID),
		cmp.Compare(c.process.StartTimeMs, other.process.StartTimeMs),
		cmp.Compare(c.sentMs, other.sentMs),
	)
}

// sameProcess reports whether both are the crash of one process.
func (c crashTime) sameProcess(other crashTime) bool { return c.process == other.process }

// gather returns the evidence against each trait that has crashes since its last
// answer.
func gather(crashes *crashRecords, answers map[Trait]int64) []*evidence {
	byTrait := make(map[Trait]*evidence)
	for _, c := range crashes.list {
		endedMs := crashes.endedMs[c.Process]
		for trait, sentMs := range c.SentMs {
			if endedMs <= answers[trait] {
				continue
			}
			e := byTrait[trait]
			if e == nil {
				e = &evidence{trait: trait, answeredMs: answers[trait]}
				byTrait[trait] = e
			}
			e.crashes = append(e.crashes, crashTime{process: c.Process, atMs: endedMs, sentMs: sentMs})
		}
	}
	list := slices.Collect(maps.Values(byTrait))
	for _, e := range list {
		slices.SortFunc(e.crashes, crashTime.order)
		e.crashes = slices.CompactFunc(e.crashes, crashTime.sameProcess)
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

// olderThan reports whether the first crash was at least some time ago.
func (e *evidence) olderThan(age time.Duration, nowMs int64) bool {
	return nowMs-e.crashes[0].atMs >= age.Milliseconds()
}

// among returns the number of crashes from the trait's first to its last one.
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

// common returns the number of crashes that both traits were in.
func (e *evidence) common(other *evidence) int {
	count := 0
	for _, c := range e.crashes {
		if slices.ContainsFunc(other.crashes, c.sameProcess) {
			count++
		}
	}
	return count
}

// stronger reports whether e is stronger evidence than other: its trait was never
// answered or longer ago, or was in more crashes.
func (e *evidence) stronger(other *evidence) bool {
	order := cmp.Or(
		cmp.Compare(other.answeredMs, e.answeredMs),
		cmp.Compare(len(e.crashes), len(other.crashes)),
		other.trait.Compare(e.trait),
	)
	return order > 0
}

// indistinguishable reports whether nothing tells the traits of two pieces of
// evidence apart.
func (e *evidence) indistinguishable(other *evidence) bool {
	return e.answeredMs == other.answeredMs && slices.EqualFunc(e.crashes, other.crashes, crashTime.sameProcess)
}
