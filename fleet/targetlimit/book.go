// Package targetlimit keeps what targets say of the requests that they take from all
// gateways together, and issues permits within these limits: of requests a second, and of
// requests that a brittle target may have to turn away before it falls over.
//
// One gateway issues the permits for a target; without a permit, no gateway sends a
// request to a target that it knows to have a limit. A Book holds what a gateway knows
// of limits. What was heard last holds, whoever heard it, so that gateways agree once
// they have exchanged their Books. A limit ends with the target's process, or when
// the target answers a later request without naming one.
//
// The package reads no clock: every input carries its time.
package targetlimit

import (
	"maps"
	"sync"

	"cuminrock.example/fleet/placement"
)

const (
	// bookRetentionMs is how long in milliseconds what was heard of a process is kept,
	// and maxBookEntries the number of processes above which all others are
	// forgotten.
	bookRetentionMs = 10 * 60 * 1000
	maxBookEntries  = 10_000
)

// Limit is what a target said of its limit.
type Limit struct {
	// PerSecond is the number of requests a second that the target takes; 0 means
	// that it named none.
	PerSecond float64
	// MaxRefusals is the number of requests a second that the target may have to turn
	// away without falling over; 0 means that it isn't brittle.
	MaxRefusals int
	// HeardMs is when it said so, on the platform's clock in milliseconds.
	HeardMs int64
}

// Named reports whether the target named any limit.
func (l Limit) Named() bool { return l.PerSecond > 0 || l.MaxRefusals > 0 }

// sameAs reports whether both name the same limits.
func (l Limit) sameAs(other Limit) bool {
	return l.PerSecond == other.PerSecond && l.MaxRefusals == other.MaxRefusals
}

// Book holds the limits of targets' processes. It is safe for concurrent use.
type Book struct {
	mu     sync.Mutex
	limits map[placement.Process]Limit
	// services has what was last heard of any target of a service. Targets of a service
	// are brittle together, so it holds for those of which nothing was heard.
	services map[string]Limit
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{limits: make(map[placement.Process]Limit), services: make(map[string]Limit)}
}

// LimitOf returns what was last heard of a target's process or, if nothing was, whether
// the targets of its service are brittle.
func (b *Book) LimitOf(t placement.Target) Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, known := b.limits[t.Process()]
	if !known {
		return Limit{MaxRefusals: b.services[t.Service].MaxRefusals}
	}
	return l
}

// LearnService takes what was heard of any target of a service.
func (b *Book) LearnService(service string, l Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.HeardMs > b.services[service].HeardMs {
		b.services[service] = l
	}
}

// Limit returns what was last heard of a process; the zero Limit if nothing was.
func (b *Book) Limit(p placement.Process) Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits[p]
}

// Learn takes what was heard of a process, unless later news is known. It reports
// whether the limit has changed.
func (b *Book) Learn(p placement.Process, l Limit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, found := b.limits[p]
	if l.HeardMs <= known.HeardMs || !found && !l.Named() {
		return false
	}
	b.forgetOld(l.HeardMs)
	b.limits[p] = l
	return !l.sameAs(known)
}

// LearnAnswer takes an answer to a request that was sent at sentMs, by which the
// target names limits, or none. An answer without the limits that are known ends them
// only if the request was sent after they were heard, as answers may overtake each other.
// It reports whether the limits have changed.
func (b *Book) LearnAnswer(p placement.Process, l Limit, sentMs int64) bool {
	if !l.Named() && sentMs <= b.Limit(p).HeardMs {
		return false
	}
	return b.Learn(p, l)
}

// forgetOld forgets what was heard long ago. The lock is held.
func (b *Book) forgetOld(nowMs int64) {
	if len(b.limits) >= maxBookEntries {
		maps.DeleteFunc(b.limits, func(_ placement.Process, l Limit) bool { return l.HeardMs < nowMs-bookRetentionMs })
	}
	if len(b.limits) >= maxBookEntries {
		clear(b.limits)
	}
}
