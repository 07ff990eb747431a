// Package callerbuffer decides how many bytes a router may hold for callers that read
// slowly, and which callers are disconnected.
//
// A Budget is told each change of what is held, and reads no clock: every input carries
// its time. A caller is disconnected for one of three causes: its own buffer is full, it
// has taken nothing for a time, or all buffers together are full and it is the one that
// occupies most memory for the longest time.
package callerbuffer

import (
	"sync"
	"time"
)

const (
	// totalDivisor gives the part of the process's memory that all buffers may hold. The
	// Go runtime gets 0.7 of the memory, and a router of 112 MB needs about half of that
	// for the rest of its work.
	totalDivisor = 8
	// streamDivisor gives the part of the total that one stream may hold, so that a few
	// callers that read nothing don't use it up.
	streamDivisor = 8
	// maxPerStream bounds what one stream may hold on large machines, as package relay
	// bounds complete answers. A usual answer of some hundred events has less than 100 KB.
	maxPerStream = 8 << 20
	// maxIdle is how long a caller may take nothing. A cut of the network that ends
	// sooner loses no answer.
	maxIdle = 10 * time.Second
	// slowAfter is how long bytes must have been held for a caller before it is
	// disconnected for the others' sake: a long answer to a caller that keeps up takes
	// some time, too. overshoot is the part of the total that may be held in addition
	// meanwhile.
	slowAfter = time.Second
	overshoot = 0.5
	// minIdle is the least time without progress that counts when victims are compared,
	// so that among callers that all take bytes the one that holds most is chosen.
	minIdle = time.Millisecond
)

// Limits bounds the bytes that are held.
type Limits struct {
	// PerStream bounds the bytes of one stream, Total those of all callers. Half of the
	// total may be held in addition for callers that have been slow for less than a second.
	PerStream, Total int64
	// MaxIdle is how long a caller may take nothing while bytes are held for it.
	MaxIdle time.Duration
}

// LimitsFor returns the limits for a process with a number of bytes of memory.
func LimitsFor(memory int64) Limits {
	total := memory / totalDivisor
	return Limits{PerStream: min(total/streamDivisor, maxPerStream), Total: total, MaxIdle: maxIdle}
}

// Cause says why a caller is disconnected.
type Cause string

// The causes.
const (
	// StreamFull means that the caller's own buffer is full.
	StreamFull Cause = "stream_full"
	// TotalFull means that all buffers together are full.
	TotalFull Cause = "total_full"
	// Idle means that the caller took nothing for too long.
	Idle Cause = "idle"
)

// Kind is the kind of an answer.
type Kind bool

// The kinds. A complete answer is in memory already and is bounded only by the total; a
// stream is bounded on its own, too.
const (
	Stream   Kind = false
	Complete Kind = true
)

// Disconnect is the decision to disconnect a caller, with its inputs.
type Disconnect[K comparable] struct {
	Caller K
	Cause  Cause
	// Held are the bytes that were held for the caller, Total those for all callers, and
	// Asked those that were to be added.
	Held, Total, Asked int64
	// Idle is how long the caller had taken nothing.
	Idle time.Duration
}

// Budget accounts for the bytes that are held for callers, which are told apart by keys.
// It is safe for concurrent use.
type Budget[K comparable] struct {
	limits Limits

	mu    sync.Mutex
	slow  map[K]*buffer
	total int64
}

// buffer is what is held for one caller.
type buffer struct {
	bytes int64
	// since is when bytes were held first, takenAt when the caller last took any.
	since, takenAt time.Time
}

// New returns a budget of which nothing is used.
func New[K comparable](limits Limits) *Budget[K] {
	return &Budget[K]{limits: limits, slow: make(map[K]*buffer)}
}

// Hold accounts for bytes that a caller hasn't taken. It returns the callers to
// disconnect, whose bytes are no longer accounted for; if the caller itself is among them,
// its bytes must not be held.
func (b *Budget[K]) Hold(caller K, bytes int64, kind Kind, now time.Time) []Disconnect[K] {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.slow[caller]
	if own == nil {
		own = &buffer{since: now, takenAt: now}
		b.slow[caller] = own
	}
	if kind == Stream && own.bytes+bytes > b.limits.PerStream {
		return []Disconnect[K]{b.disconnect(caller, StreamFull, bytes, now)}
	}
	var victims []Disconnect[K]
	own.bytes += bytes
	b.total += bytes
	for b.total > b.limits.Total {
		victim, found := b.mostCostly(now)
		if !found {
			break
		}
		victims = append(victims, b.disconnect(victim, TotalFull, bytes, now))
	}
	return victims
}

// mostCostly returns the caller with the largest product of bytes held and time without
// progress. Callers that haven't been slow for long are passed over, and there may be none,
// unless more than the overshoot is held. The lock is held.
func (b *Budget[K]) mostCostly(now time.Time) (victim K, found bool) {
	whoever := float64(b.total) > float64(b.limits.Total)*(1+overshoot)
	most := 0.0
	for caller, held := range b.slow {
		if !whoever && now.Sub(held.since) < slowAfter {
			continue
		}
		cost := float64(held.bytes) * max(now.Sub(held.takenAt), minIdle).Seconds()
		if cost > most {
			victim, most, found = caller, cost, true
		}
	}
	return victim, found
}

// disconnect removes a caller and returns the decision. The lock is held.
func (b *Budget[K]) disconnect(caller K, cause Cause, asked int64, now time.Time) Disconnect[K] {
	held := b.slow[caller]
	d := Disconnect[K]{Caller: caller, Cause: cause, Held: held.bytes, Total: b.total, Asked: asked, Idle: now.Sub(held.takenAt)}
	b.remove(caller)
	return d
}

// Taken records that a caller has taken bytes, some of which are no longer held.
func (b *Budget[K]) Taken(caller K, released int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.slow[caller]
	if held == nil {
		return
	}
	held.takenAt = now
	held.bytes -= released
	b.total -= released
}

// CheckIdle reports whether a caller has taken nothing for too long; the decision has
// then been made and its bytes are no longer accounted for.
func (b *Budget[K]) CheckIdle(caller K, now time.Time) (Disconnect[K], bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.slow[caller]
	if held == nil || now.Sub(held.takenAt) < b.limits.MaxIdle {
		return Disconnect[K]{}, false
	}
	return b.disconnect(caller, Idle, 0, now), true
}

// Remove ends the accounting of a caller for which nothing is held any longer.
func (b *Budget[K]) Remove(caller K) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remove(caller)
}

func (b *Budget[K]) remove(caller K) {
	if held := b.slow[caller]; held != nil {
		b.total -= held.bytes
		delete(b.slow, caller)
	}
}

// Held returns the bytes held for all callers, and the number of callers.
func (b *Budget[K]) Held() (bytes int64, callers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total, len(b.slow)
}
