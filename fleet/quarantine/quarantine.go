// Package quarantine decides which prompt parts are refused because requests that
// hold them crash targets.
//
// A gateway records the crashes of targets that it saw, with the parts of the
// prompts that hadn't been answered for long at that moment, and the parts of
// prompts that were answered without a crash. Gateways exchange these reports, as
// each sees few crashes, and all decide alike from all reports:
//
//   - A crash speaks against each part in its report. An answer clears its parts
//     of all crashes before the answer began, since a harmful part crashes every
//     target that begins to answer it.
//   - A part is refused after enough crashes of different processes, at different
//     moments, as targets that end together have a cause in common. Fewer suffice
//     if the part was in most of the crashes meanwhile.
//   - Crashes that a refused part explains don't count against others. So parts
//     that share their requests with a harmful one aren't refused with it.
//
// The package reads no clock: times are those of the platform's clock, which all
// gateways share, in milliseconds.
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cuminrock.example/fleet/placement"
)

// Probation is how long after an answer's first event a crash may still be due to the
// prompt. After that, the prompt's parts count as answered.
const Probation = 500 * time.Millisecond

// Crash is the end of a target's process. Parts are those of the prompts that it
// was about to answer, or had answered for less than Probation.
type Crash struct {
	Process placement.Process
	AtMs    int64
	Traits  []Trait
}

// Report is what a gateway tells the others.
type Report struct {
	Crashes []Crash
	// Answers has, for a part, when the last answer began that outlived Probation.
	Answers map[Trait]int64
}

// Table holds the reports of all gateways. It is safe for concurrent use.
type Table struct {
	self string

	mu      sync.Mutex
	reports map[string]Report
	// crashes and answers are what this gateway saw; answers may not be reported
	// yet.
	crashes map[placement.Process]Crash
	answers answerLog
	// suspected are the parts with crashes since their last answer.
	suspected map[Trait]struct{}

	refusals atomic.Pointer[[]Refusal]
}

// Refusal is the decision to refuse prompts. It applies to prompts with its part.
// While nothing tells several parts apart, it has all of them and applies to prompts
// with two, so that answers to prompts with one can decide.
type Refusal struct {
	Traits []Trait
	// Crashes is the number of crashed processes, of which the last ended at LastMs.
	Crashes int
	LastMs  int64
	// UntilMs is when the refusal ends unless there are further crashes.
	UntilMs int64
}

// New returns a table without reports for the gateway of the given name.
func New(self string) *Table {
	t := &Table{self: self, reports: make(map[string]Report), crashes: make(map[placement.Process]Crash)}
	t.refusals.Store(&[]Refusal{})
	return t
}

// RecordCrash records that this gateway saw a process end. Several records of one
// process are combined.
func (t *Table) RecordCrash(c Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashes[c.Process] = combine(t.crashes[c.Process], c)
}

// combine returns the combination of two records of one crash. The first may be
// empty.
func combine(a, b Crash) Crash {
	if len(a.Traits) == 0 {
		return b
	}
	traits := slices.Concat(a.Traits, b.Traits)
	slices.SortFunc(traits, Trait.Compare)
	return Crash{Process: a.Process, AtMs: min(a.AtMs, b.AtMs), Traits: slices.Compact(traits)}
}

// RecordAnswer records that an answer to a prompt with the parts, which began at
// beganMs, has outlived Probation. It reports whether that may change a decision.
func (t *Table) RecordAnswer(traits []Trait, beganMs int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	relevant := false
	for _, trait := range traits {
		t.answers.add(trait, beganMs)
		_, suspected := t.suspected[trait]
		relevant = relevant || suspected
	}
	return relevant
}

// SetReport replaces the report of a gateway, which may be this one: then it holds
// what is stored, also from an earlier run.
func (t *Table) SetReport(gateway string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[gateway] = r
}

// Retain drops the reports of all gateways but those named.
func (t *Table) Retain(gateways map[string]struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.reports, func(name string, _ Report) bool {
		_, named := gateways[name]
		return !named
	})
}

// Update decides anew what is refused, and returns that.
func (t *Table) Update(nowMs int64) []Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.crashes, func(_ placement.Process, c Crash) bool { return c.AtMs <= nowMs-retention.Milliseconds() })
	known := t.knownCrashes(nowMs)
	list := gather(known, t.knownAnswers(known, true))
	t.suspected = make(map[Trait]struct{}, len(list))
	for _, e := range list {
		t.suspected[e.trait] = struct{}{}
	}
	refusals := decide(known, list, nowMs)
	t.refusals.Store(&refusals)
	return refusals
}

// Refuses reports whether prompts with the parts are refused, and for how long.
func (t *Table) Refuses(traits []Trait, nowMs int64) (time.Duration, bool) {
	for _, r := range *t.refusals.Load() {
		if nowMs < r.UntilMs && r.applies(traits) {
			return time.Duration(r.UntilMs-nowMs) * time.Millisecond, true
		}
	}
	return 0, false
}

// applies reports whether prompts with the parts are refused.
func (r *Refusal) applies(traits []Trait) bool {
	found := 0
	for _, trait := range r.Traits {
		if slices.Contains(traits, trait) {
			found++
		}
	}
	return found >= min(len(r.Traits), 2)
}

// crashRecords are records of crashes, several of which may be of one process.
// endedMs is the earliest time of each process's crash.
type crashRecords struct {
	list    []Crash
	endedMs map[placement.Process]int64
}

// add adds the crashes that still count.
func (r *crashRecords) add(c Crash, nowMs int64) {
	if c.AtMs <= nowMs-retention.Milliseconds() {
		return
	}
	r.list = append(r.list, c)
	endedMs, found := r.endedMs[c.Process]
	if !found || c.AtMs < endedMs {
		r.endedMs[c.Process] = c.AtMs
	}
}

// knownCrashes returns the crashes of all reports that still count, and those that
// this gateway saw.
func (t *Table) knownCrashes(nowMs int64) *crashRecords {
	known := &crashRecords{endedMs: make(map[placement.Process]int64)}
	for _, c := range t.crashes {
		known.add(c, nowMs)
	}
	for _, report := range t.reports {
		for _, c := range report.Crashes {
			known.add(c, nowMs)
		}
	}
	return known
}

// knownAnswers returns the last known answers of the parts in the crashes: those
// of all reports and, if unreported is set, those that this gateway hasn't
// reported.
func (t *Table) knownAnswers(crashes *crashRecords, unreported bool) map[Trait]int64 {
	known := make(map[Trait]int64)
	for _, report := range t.reports {
		for trait, beganMs := range report.Answers {
			known[trait] = max(known[trait], beganMs)
		}
	}
	if !unreported {
		return known
	}
	for _, c := range crashes.list {
		for _, trait := range c.Traits {
			if beganMs, found := t.answers.last(trait); found {
				known[trait] = max(known[trait], beganMs)
			}
		}
	}
	return known
}
