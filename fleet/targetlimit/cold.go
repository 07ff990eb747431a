package targetlimit

import (
	"sync"
	"time"

	"cuminrock.example/fleet/placement"
)

const (
	// entryDelay is the longest time from when a target writes its entry until a gateway
	// has read it. What a gateway reads earlier than that after it has learned of a cold
	// period from elsewhere may have been written before.
	entryDelay = 2 * time.Second
	// coldMargin is added to the time for which a target says that it stays cold: that
	// time counts down only while there is traffic, and the next entry comes a second
	// later.
	coldMargin = time.Second
)

// ColdRule is what the configuration says of the cold targets of a service.
type ColdRule struct {
	// Bound is the most requests that a cold target may get in any second; 0 means that the
	// service's targets need no permits while they are cold.
	Bound float64
	// Period is how long a target stays cold at most; 0 if that isn't known.
	Period time.Duration
}

// ColdCause is why a target counts as cold.
type ColdCause string

// The causes for which a target counts as cold.
const (
	ColdByEntry  ColdCause = "entry"
	ColdByAnswer ColdCause = "answer"
	// ColdInDoubt means that the target's state isn't known: it has appeared, its process
	// or address has changed, its process has ended, or all of its data centre may be cold.
	ColdInDoubt ColdCause = "in_doubt"
)

// ColdChange says that a target counts as cold from now on, or no longer.
type ColdChange struct {
	Target placement.Target
	Cold   bool
	Cause  ColdCause
	// For is how long the target stays cold, as far as it told; 0 if it didn't.
	For time.Duration
}

// ColdBook holds what a gateway knows of the times for which targets are cold: they take
// only few requests a second. Targets tell in their entries and in answers. One whose
// state is in doubt counts as cold until an entry that was written later says otherwise,
// or for ColdRule.Period. A target that isn't in the book counts as cold. A ColdBook is
// safe for concurrent use.
type ColdBook struct {
	mu      sync.Mutex
	targets map[string]*coldState
	// listed is set once the first list of targets was taken.
	listed bool
}

// NewColdBook returns a book that knows no targets.
func NewColdBook() *ColdBook { return &ColdBook{targets: make(map[string]*coldState)} }

// Cold reports whether a target counts as cold, and since when; the zero time if it isn't
// listed.
func (b *ColdBook) Cold(t placement.Target, rule ColdRule, now time.Time) (since time.Time, cold bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(t.Process())
	if s == nil {
		return time.Time{}, true
	}
	return s.since, s.cold(rule.Period, now)
}

// get returns what is known of a process; nil if it isn't listed. The lock is held.
func (b *ColdBook) get(p placement.Process) *coldState {
	s := b.targets[p.ID]
	if s == nil || s.target.Process() != p {
		return nil
	}
	return s
}

// Replace takes a list of all entries. A target that was listed before stays in doubt if it
// was, since its entry may be as old as the one that is known.
func (b *ColdBook) Replace(targets []placement.Target, now time.Time) []ColdChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []ColdChange
	before, first := b.targets, !b.listed
	b.targets, b.listed = make(map[string]*coldState, len(targets)), true
	for _, t := range targets {
		s := before[t.ID]
		if s == nil || !s.sameProcess(t) {
			s = newColdState(t, !first, now)
		}
		b.targets[t.ID] = s
		changes = appendChange(changes, s, now, ColdByEntry, func() { s.recordEntry(t, false, now) })
	}
	return changes
}

// Write takes an entry that was written since the last one of the target.
func (b *ColdBook) Write(t placement.Target, now time.Time) []ColdChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targets[t.ID]
	known := s != nil && s.sameProcess(t)
	if !known {
		s = newColdState(t, true, now)
		b.targets[t.ID] = s
	}
	return appendChange(nil, s, now, ColdByEntry, func() { s.recordEntry(t, known, now) })
}

// Delete takes the end of a target's entry. If it comes back, its state is in doubt.
func (b *ColdBook) Delete(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.targets, id)
}

// Answer takes what a target told in an answer to a request that was sent at a time: how
// long it stays cold, 0 if it isn't cold.
func (b *ColdBook) Answer(t placement.Target, coldFor time.Duration, sent, now time.Time) []ColdChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(t.Process())
	if s == nil {
		return nil
	}
	return appendChange(nil, s, now, ColdByAnswer, func() {
		switch {
		case coldFor > 0:
			s.until, s.toldAt, s.answeredAt = now.Add(coldFor+coldMargin), now, now
			s.entriesFrom = now.Add(entryDelay)
		case sent.After(s.toldAt) && sent.After(s.doubtAt):
			s.until, s.doubtAt = time.Time{}, time.Time{}
		}
	})
}

// Mark takes note that the targets of a data centre may be cold, for a time at most.
func (b *ColdBook) Mark(dataCentre string, d time.Duration, now time.Time) []ColdChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []ColdChange
	for _, s := range b.targets {
		if s.target.DataCentre == dataCentre {
			changes = appendChange(changes, s, now, ColdInDoubt, func() { s.doubt(now, now.Add(d)) })
		}
	}
	return changes
}

// End takes note that a target's process has ended. Another one may be at its address
// before its entry tells.
func (b *ColdBook) End(p placement.Process, now time.Time) []ColdChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(p)
	if s == nil {
		return nil
	}
	return appendChange(nil, s, now, ColdInDoubt, func() { s.doubt(now, time.Time{}) })
}

// Heard returns what an answer last told of a target's cold period: how long that still
// lasts, and how long ago the answer came. It returns false if none told of one.
func (b *ColdBook) Heard(p placement.Process, now time.Time) (left, age time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(p)
	if s == nil || s.answeredAt.IsZero() || !now.Before(s.until) {
		return 0, 0, false
	}
	return s.until.Sub(now), now.Sub(s.answeredAt), true
}

// LearnHeard takes what another gateway heard in an answer, unless a later one is known.
func (b *ColdBook) LearnHeard(p placement.Process, left, age time.Duration, now time.Time) []ColdChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, at := b.get(p), now.Add(-age)
	if s == nil || left <= 0 || !at.After(s.answeredAt) {
		return nil
	}
	return appendChange(nil, s, now, ColdByAnswer, func() {
		s.until, s.answeredAt, s.toldAt = latest(s.until, now.Add(left)), at, latest(s.toldAt, at)
		s.entriesFrom = latest(s.entriesFrom, at.Add(entryDelay))
	})
}
