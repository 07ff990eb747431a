// Package targetlimit keeps what targets say of the requests a second that they
// take from all gateways together, and issues permits within these limits.
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
	// HeardMs is when it said so, on the platform's clock in milliseconds.
	HeardMs int64
}

// Book holds the limits of targets' processes. It is safe for concurrent use.
type Book struct {
	mu     sync.Mutex
	limits map[placement.Process]Limit
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{limits: make(map[placement.Process]Limit)} }

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
	if l.HeardMs <= known.HeardMs || !found && l.PerSecond == 0 {
		return false
	}
	b.forgetOld(l.HeardMs)
	b.limits[p] = l
	return l.PerSecond != known.PerSecond
}

// LearnAnswer takes an answer to a request that was sent at sentMs, by which the
// target names a limit, or none if perSecond is 0. An answer without a limit ends a
// known one only if the request was sent after that was heard, as answers may
// overtake each other. It reports whether the limit has changed.
func (b *Book) LearnAnswer(p placement.Process, perSecond float64, sentMs, heardMs int64) bool {
	if perSecond == 0 && sentMs <= b.Limit(p).HeardMs {
		return false
	}
	return b.Learn(p, Limit{PerSecond: perSecond, HeardMs: heardMs})
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
