package quarantine

import (
	"math"
	"slices"
	"time"

	"cuminrock.example/fleet/mix"
)

const (
	// enoughRequestCrashes is the number of crashes, since its last answer, after which
	// a request is refused.
	enoughRequestCrashes = 3
	// minMoments is how many separate causes the crashes must have had unless the
	// request is the cause, so that it is no longer tried.
	minMoments = 2
	// answersKnownAfter is how long it takes at most until all gateways know of an
	// answer.
	answersKnownAfter = 2 * time.Second
	// suspectCrashes is the number after which a request is suspected.
	suspectCrashes = enoughRequestCrashes - 1
	// A request against which the evidence is weak may be sent in one of trialSlots
	// slots, each trialSlot long: within one, all gateways learn of a crash.
	trialSlot  = 500 * time.Millisecond
	trialSlots = 20
)

// moments returns the number of separate causes that the crashes must have had if the
// request didn't cause them: an attempt that was sent before a target ended may have
// been lost together with it in a crash of several targets, a later one was not.
func (e *evidence) moments() int {
	count := 0
	lastMs := int64(math.MinInt64)
	for _, c := range e.crashes {
		if c.sentMs > lastMs {
			count++
			lastMs = c.atMs
		}
	}
	return count
}

// sufficesForRequest reports whether there is enough evidence to refuse the request.
func (e *evidence) sufficesForRequest() bool {
	return len(e.crashes) >= enoughRequestCrashes && (e.answeredMs == 0 || e.moments() >= minMoments)
}

// requestRefusal returns the refusal of the request. While the evidence is weak, the
// refusal waits until an answer to the request would be known, and allows trials.
func (e *evidence) requestRefusal(weak bool) Refusal {
	n := len(e.crashes)
	r := Refusal{Traits: []Trait{e.trait}, Crashes: n, LastMs: e.lastMs()}
	// From then on too few crashes count.
	r.UntilMs = e.crashes[n-enoughRequestCrashes].atMs + retention.Milliseconds()
	if weak {
		r.FromMs = e.crashes[0].atMs + answersKnownAfter.Milliseconds()
		r.TrialsFromMs = e.lastMs() + answersKnownAfter.Milliseconds()
	}
	return r
}

// weak reports whether the crashes can have another cause: the request was answered
// before, they may be one crash of several targets, or another request was in them too.
func (e *evidence) weak(requests []*evidence) bool {
	return e.answeredMs > 0 || e.moments() < minMoments || e.contested(requests)
}

// contested reports whether another request, which wasn't answered either, was in all
// of the crashes but one.
func (e *evidence) contested(requests []*evidence) bool {
	return slices.ContainsFunc(requests, func(other *evidence) bool {
		return other.trait != e.trait && other.answeredMs == 0 && e.common(other) >= len(e.crashes)-1
	})
}

// inTrialSlot reports whether a gateway may send a refused request now. Gateways have
// different slots, so that few send it before all know how the first attempt ended.
func inTrialSlot(gateway string, trait Trait, nowMs int64) bool {
	slot := nowMs / trialSlot.Milliseconds()
	return uint64(slot)%trialSlots == mix.RendezvousWeight(trait.Hash, gateway)%trialSlots
}
