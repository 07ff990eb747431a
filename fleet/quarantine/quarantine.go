// Package quarantine decides which requests are refused because they crash targets.
//
// A trait of a request may be harmful: a part of its prompt, which other requests hold
// too, or the whole request, which comes again as another attempt. A gateway records
// the crashes of targets that it saw, with the traits of the requests that hadn't been
// answered for long at that moment, and the traits of requests that were answered
// without a crash. Gateways exchange these reports, as each sees few crashes, and all
// decide alike from all reports:
//
//   - A crash speaks against each trait in its report. An answer clears its traits
//     of all crashes before the answer began, since a harmful one crashes every
//     target that begins to answer it.
//   - A prompt part is refused after enough crashes of different processes, at
//     different moments, as targets that end together have a cause in common. Fewer
//     suffice if the part was in most of the crashes meanwhile.
//   - A request is refused after fewer crashes, as few requests are in several unless
//     they cause them. While they may have another cause, it is tried now and then.
//   - Crashes that a refused trait explains don't count against others. So traits
//     of requests that were at the targets with a harmful one aren't refused with it.
//
// The package reads no clock: times are those of the platform's clock, which all
// gateways share, in milliseconds.
package quarantine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"cuminrock.example/fleet/placement"
)

// Probation is how long after an answer's first event a crash may still be due to the
// request. After that, its traits count as answered.
const Probation = 500 * time.Millisecond

// Exchange is an attempt at a request that was sent to a target.
type Exchange struct {
	Target placement.Target
	Traits []Trait
	SentAt time.Time
}

// Crash is the end of a target's process.
type Crash struct {
	Process placement.Process
	AtMs    int64
	// SentMs has the traits of the requests that the process was about to answer, or
	// had answered for less than Probation, and when the first request with each was
	// sent; 0 if that is unknown.
	SentMs map[Trait]int64
}

// Report is what a gateway tells the others.
type Report struct {
	Crashes []Crash
	// Answers has, for a trait, when the last answer began that outlived Probation.
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
	// unanswered are the traits with crashes since their last answer.
	unanswered map[Trait]struct{}

	refusals atomic.Pointer[[]Refusal]
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
	if len(a.SentMs) == 0 {
		return b
	}
	sentMs := maps.Clone(a.SentMs)
	for trait, ms := range b.SentMs {
		known, found := sentMs[trait]
		if !found || ms < known {
			sentMs[trait] = ms
		}
	}
	return Crash{Process: a.Process, AtMs: min(a.AtMs, b.AtMs), SentMs: sentMs}
}

// Relevance is what an answer means to the gateways.
type Relevance uint8

const (
	// Irrelevant answers change no decision.
	Irrelevant Relevance = iota
	// ClearsEvidence means that crashes may no longer speak against one of the traits.
	ClearsEvidence
	// ClearsRefusal means that one of the traits was refused.
	ClearsRefusal
)

// RecordAnswer records that an answer to a request with the traits, which began at
// beganMs, has outlived Probation.
func (t *Table) RecordAnswer(traits []Trait, beganMs int64) Relevance {
	t.mu.Lock()
	defer t.mu.Unlock()
	relevance := Irrelevant
	refusals := *t.refusals.Load()
	for _, trait := range traits {
		t.answers.add(trait, beganMs)
		if _, unanswered := t.unanswered[trait]; unanswered {
			relevance = max(relevance, ClearsEvidence)
		}
		if refusesTrait(refusals, trait) {
			relevance = ClearsRefusal
		}
	}
	return relevance
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
	t.unanswered = make(map[Trait]struct{}, len(list))
	for _, e := range list {
		t.unanswered[e.trait] = struct{}{}
	}
	refusals := decide(known, list, nowMs)
	t.refusals.Store(&refusals)
	return refusals
}

// Refuses returns the refusal that applies to requests with the traits and ends last;
// nil if they aren't refused.
func (t *Table) Refuses(traits []Trait, nowMs int64) *Refusal {
	var last *Refusal
	refusals := *t.refusals.Load()
	for i := range refusals {
		r := &refusals[i]
		if r.inForce(nowMs) && r.applies(traits) && !r.allowsTrial(t.self, nowMs) && (last == nil || r.UntilMs > last.UntilMs) {
			last = r
		}
	}
	return last
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

// knownAnswers returns the last known answers of the traits in the crashes: those
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
		for trait := range c.SentMs {
			if beganMs, found := t.answers.last(trait); found {
				known[trait] = max(known[trait], beganMs)
			}
		}
	}
	return known
}
