package quarantine

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxReportedCrashes and maxReportedAnswers bound a report.
	maxReportedCrashes = 20
	maxReportedAnswers = 64
	// doubtfulWaves and doubtfulCrashes are how much evidence against a prompt part
	// makes the gateways report their answers: a little less than what refuses it.
	doubtfulWaves   = minWaves - 1
	doubtfulCrashes = enoughCrashes - 1
)

// Report returns what this gateway should tell the others: the crashes that it
// saw, and the answers that clear traits which the known reports speak against.
func (t *Table) Report(nowMs int64) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	stored := t.reports[t.self]
	crashes := t.reportedCrashes(stored, nowMs)
	return Report{Crashes: crashes, Answers: t.reportedAnswers(stored, crashes, nowMs)}
}

// reportedCrashes returns the crashes that this gateway saw, also in earlier runs.
// Of too many, those of refused traits are kept, and the newest.
func (t *Table) reportedCrashes(stored Report, nowMs int64) []Crash {
	own := maps.Clone(t.crashes)
	for _, c := range stored.Crashes {
		if c.AtMs > nowMs-retention.Milliseconds() {
			own[c.Process] = combine(own[c.Process], c)
		}
	}
	list := slices.SortedFunc(maps.Values(own), func(a, b Crash) int {
		return cmp.Or(
			-compareBool(t.refusesAny(a.SentMs), t.refusesAny(b.SentMs)),
			cmp.Compare(b.AtMs, a.AtMs),
			cmp.Compare(a.Process.ID, b.Process.ID),
			cmp.Compare(a.Process.StartTimeMs, b.Process.StartTimeMs),
		)
	})
	return list[:min(len(list), maxReportedCrashes)]
}

// refusesAny reports whether one of the traits is refused.
func (t *Table) refusesAny(traits map[Trait]int64) bool {
	for _, r := range *t.refusals.Load() {
		for _, trait := range r.Traits {
			if _, found := traits[trait]; found {
				return true
			}
		}
	}
	return false
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// reportedAnswers returns the answers that were reported before, those that clear
// traits in doubt, and those that clear prompt parts of the crashes to be reported. Of
// too many, the newest are kept.
func (t *Table) reportedAnswers(stored Report, reported []Crash, nowMs int64) map[Trait]int64 {
	answers := make(map[Trait]int64)
	for trait, beganMs := range stored.Answers {
		if beganMs > nowMs-retention.Milliseconds() {
			answers[trait] = beganMs
		}
	}
	own := make(map[Trait]struct{})
	for _, c := range reported {
		for trait := range c.SentMs {
			own[trait] = struct{}{}
		}
	}
	crashes := t.knownCrashes(nowMs)
	for _, e := range gather(crashes, t.knownAnswers(crashes, false)) {
		beganMs, answered := t.answers.last(e.trait)
		_, isOwn := own[e.trait]
		isOwnPart := isOwn && e.trait.Kind == PromptPart
		if answered && e.clearedBy(beganMs) && (isOwnPart || e.doubtful()) {
			answers[e.trait] = beganMs
		}
	}
	return newest(answers, maxReportedAnswers)
}

// clearedBy reports whether an answer that began at a time clears the trait of a
// crash, or is the first one known.
func (e *evidence) clearedBy(beganMs int64) bool {
	return e.answeredMs == 0 || beganMs >= e.crashes[0].atMs
}

// doubtful reports whether the evidence nearly suffices to refuse the trait.
func (e *evidence) doubtful() bool {
	if e.trait.Kind == WholeRequest {
		return len(e.crashes) >= suspectCrashes
	}
	return e.waves() >= doubtfulWaves || e.answeredMs == 0 && len(e.crashes) >= doubtfulCrashes
}

// newest returns the newest answers, at most limit of them.
func newest(answers map[Trait]int64, limit int) map[Trait]int64 {
	if len(answers) <= limit {
		return answers
	}
	traits := slices.SortedFunc(maps.Keys(answers), func(a, b Trait) int {
		return cmp.Or(cmp.Compare(answers[b], answers[a]), a.Compare(b))
	})
	kept := make(map[Trait]int64, limit)
	for _, trait := range traits[:limit] {
		kept[trait] = answers[trait]
	}
	return kept
}
