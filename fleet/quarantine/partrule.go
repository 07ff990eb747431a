package quarantine

import (
	"slices"
	"time"
)

const (
	// A prompt part is refused after enoughCrashes in minWaves or more waves. If it was
	// answered before, later answers must have had settleTime since the first of these
	// crashes to become known, and the refusal ends a time after the last crash:
	// answeredRefusal, which doubles with each further wave.
	enoughCrashes   = 5
	minWaves        = 3
	settleTime      = 3 * time.Second
	answeredRefusal = 30 * time.Second
	// maxDoublings keeps a doubled time from overflowing.
	maxDoublings = 8
	// A part that was never answered is refused sooner: after minWaves, if it was in
	// at least half of the crashes from its first to its last one, and after
	// enoughCrashes in two waves; in a single one, only for singleWaveRefusal.
	singleWaveRefusal = 2 * time.Minute
)

// maySufficeForPart reports whether there are enough crashes to decide about a part.
func (e *evidence) maySufficeForPart() bool {
	return e.waves() >= minWaves || len(e.crashes) >= enoughCrashes
}

// partRefusal returns the refusal of the prompt part, and whether the evidence suffices
// for one. crashTimes are the times of all crashes, in order.
func (e *evidence) partRefusal(nowMs int64, crashTimes []int64) (Refusal, bool) {
	untilMs := e.partRefusedUntil(nowMs, crashTimes)
	return Refusal{Traits: []Trait{e.trait}, Crashes: len(e.crashes), LastMs: e.lastMs(), UntilMs: untilMs}, untilMs > nowMs
}

// partRefusedUntil returns when the refusal of the prompt part ends; 0 if it isn't
// refused.
func (e *evidence) partRefusedUntil(nowMs int64, crashTimes []int64) int64 {
	if e.answeredMs > 0 {
		return e.answeredRefusedUntil(nowMs)
	}
	waves, enough := e.waves(), len(e.crashes) >= enoughCrashes
	switch {
	case enough && waves > 1, waves >= minWaves && 2*len(e.crashes) >= e.among(crashTimes):
		// From then on too few crashes count.
		return e.crashes[len(e.crashes)-minWaves].atMs + retention.Milliseconds()
	case enough:
		return e.lastMs() + singleWaveRefusal.Milliseconds()
	}
	return 0
}

// answeredRefusedUntil returns when the refusal of a trait ends that was answered
// before the crashes; 0 if it isn't refused.
func (e *evidence) answeredRefusedUntil(nowMs int64) int64 {
	waves := e.waves()
	if len(e.crashes) < enoughCrashes || waves < minWaves || !e.olderThan(settleTime, nowMs) {
		return 0
	}
	return e.lastMs() + min(answeredRefusal<<min(waves-minWaves, maxDoublings), retention).Milliseconds()
}

// unexcused reports whether the part was in enough crashes, and not answered until
// answers would be known. Then it is refused even if other parts explain them.
func (e *evidence) unexcused(nowMs int64) bool {
	return e.trait.Kind == PromptPart && e.answeredMs == 0 && len(e.crashes) >= enoughCrashes && e.waves() > 1 &&
		e.olderThan(settleTime, nowMs)
}

// coveredBy reports whether one request was lost in all crashes of the part but one, so
// that the request is suspected in its place.
func (e *evidence) coveredBy(requests []*evidence) bool {
	return slices.ContainsFunc(requests, func(r *evidence) bool { return e.common(r) >= len(e.crashes)-1 })
}
