package targetlimit

import (
	"maps"
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

// coldState is what is known of one target.
type coldState struct {
	target placement.Target
	// until is the end of the cold period of which the target told last, at toldAt.
	until, toldAt time.Time
	// doubtAt is when the target's state came into doubt; zero if it isn't in doubt.
	// doubtUntil ends the doubt; zero if only ColdRule.Period does.
	doubtAt, doubtUntil time.Time
	// answeredAt is when an answer last told of a cold period.
	answeredAt time.Time
	// entriesFrom is the time from which on entries that are read were written later than
	// what is known.
	entriesFrom time.Time
	// since is when the target turned cold for this gateway, which may have sent it
	// requests without permits until then.
	since time.Time
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

// cold reports whether the target counts as cold.
func (s *coldState) cold(period time.Duration, now time.Time) bool {
	return now.Before(s.until) || s.inDoubt(period, now)
}

// inDoubt reports whether the target's state is in doubt.
func (s *coldState) inDoubt(period time.Duration, now time.Time) bool {
	if s.doubtAt.IsZero() || !s.doubtUntil.IsZero() && !now.Before(s.doubtUntil) {
		return false
	}
	return period == 0 || now.Before(s.doubtAt.Add(period))
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

// newColdState returns the state of a target of which nothing was known.
func newColdState(t placement.Target, doubt bool, now time.Time) *coldState {
	s := &coldState{target: t}
	if doubt {
		s.doubtAt = now
	}
	return s
}

// sameProcess reports whether an entry is of the process that is known.
func (s *coldState) sameProcess(t placement.Target) bool {
	return s.target.Process() == t.Process() && s.target.Address == t.Address
}

// recordEntry takes an entry; later is set if it was written after the last one.
func (s *coldState) recordEntry(t placement.Target, later bool, now time.Time) {
	s.target = t
	until := time.Time{}
	if t.ColdFor > 0 {
		until, s.toldAt = now.Add(t.ColdFor+coldMargin), now
	}
	if later && !now.Before(s.entriesFrom) {
		s.until, s.doubtAt = until, time.Time{}
		return
	}
	s.until = latest(s.until, until)
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

// doubt brings the target's state into doubt, until a time unless that is zero.
func (s *coldState) doubt(now, until time.Time) {
	s.doubtAt, s.doubtUntil, s.entriesFrom = now, until, now.Add(entryDelay)
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

// appendChange makes a change to what is known of a target, and appends it if the target
// has turned cold, or no longer is. Doubt counts without its limits.
func appendChange(changes []ColdChange, s *coldState, now time.Time, cause ColdCause, change func()) []ColdChange {
	isNew := s.since.IsZero() && !s.doubtAt.IsZero()
	wasCold := !isNew && s.cold(0, now)
	change()
	isCold := s.cold(0, now)
	if isCold == wasCold {
		return changes
	}
	if isCold {
		s.since = now
		if !s.doubtAt.IsZero() {
			cause = ColdInDoubt
		}
	}
	return append(changes, ColdChange{Target: s.target, Cold: isCold, Cause: cause, For: max(s.until.Sub(now), 0)})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

const (
	// permitSpan is the span in which the permits for a cold target are bounded. It is
	// longer than the second of the bound by the time that a request takes from its permit
	// to the target: a call between gateways, a connection, and sending the body.
	permitSpan = 1500 * time.Millisecond
	// cautiousFor is how long an issuer issues only half of its share at first: another
	// issuer, or gateways that didn't know of the cold period, may have sent requests in the
	// last second. Issuing none refused all requests of a service whose targets turned cold
	// together.
	cautiousFor = time.Second
	// mainColdShare and fallbackColdShare are the parts of the bound that the main issuer
	// and a fallback issuer issue in permitSpan. One main issuer and three fallback issuers
	// stay within the bound, and so do two main issuers, or one whose requests of two spans
	// arrive in one second after a delay.
	mainColdShare     = 0.46
	fallbackColdShare = 0.12
	// minFallbackBound is the least bound with which fallback issuers issue at all: two
	// requests from the main issuer and one from each of three others stay within it.
	minFallbackBound = 5
	// maxColdRetryAfter bounds how long a gateway that got no permit leaves the target out,
	// which may be warm by then.
	maxColdRetryAfter = 2 * time.Second
	// noIssuerRetryAfter is when to ask again if this gateway isn't an issuer.
	noIssuerRetryAfter = 500 * time.Millisecond
)

// ColdIssuer issues permits, each for one request to a cold target. It is safe for
// concurrent use.
type ColdIssuer struct {
	mu      sync.Mutex
	windows map[placement.Process]*coldWindow
	sweptAt time.Time
}

// coldWindow has the permits for one target.
type coldWindow struct {
	createdAt, usedAt time.Time
	// issuedAt has the times of the permits in the last span.
	issuedAt []time.Time
	// waiting counts the requests without a permit since the last one was issued.
	waiting int
}

// NewColdIssuer returns an issuer that has issued no permit.
func NewColdIssuer() *ColdIssuer {
	return &ColdIssuer{windows: make(map[placement.Process]*coldWindow)}
}

// Acquire issues a permit for a request to a target that is cold since a time and may get
// at most bound requests in any second, from all gateways.
func (i *ColdIssuer) Acquire(p placement.Process, bound float64, role Role, since, now time.Time) Permit {
	most, span := coldShare(bound, role)
	if most == 0 {
		return Permit{RetryAfter: noIssuerRetryAfter}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sweep(now)
	w := i.windows[p]
	if w == nil {
		w = &coldWindow{createdAt: now}
		i.windows[p] = w
	}
	w.usedAt = now
	for len(w.issuedAt) > 0 && now.Sub(w.issuedAt[0]) >= span {
		w.issuedAt = w.issuedAt[1:]
	}
	opensAt := latest(w.createdAt, since).Add(cautiousFor)
	if now.Before(opensAt) && len(w.issuedAt) < most/2 || !now.Before(opensAt) && len(w.issuedAt) < most {
		w.issuedAt = append(w.issuedAt, now)
		w.waiting = 0
		return Permit{Granted: true}
	}
	if len(w.issuedAt) >= most {
		opensAt = latest(opensAt, w.issuedAt[len(w.issuedAt)-most].Add(span))
	}
	behind := time.Duration(w.waiting) * span / time.Duration(most)
	w.waiting++
	return Permit{RetryAfter: min(max(opensAt.Sub(now)+behind, minRetryAfter), maxColdRetryAfter)}
}

// coldShare returns the most permits that an issuer issues in a span.
func coldShare(bound float64, role Role) (most int, span time.Duration) {
	switch {
	case bound <= 0 || role == NoIssuer:
		return 0, 0
	case role == FallbackIssuer && bound < minFallbackBound:
		return 0, 0
	case role == FallbackIssuer:
		return max(int(bound*fallbackColdShare), 1), permitSpan
	case bound < 1:
		return 1, time.Duration(float64(permitSpan) / bound)
	default:
		return max(int(bound*mainColdShare), 1), permitSpan
	}
}

// sweep drops the windows that weren't used for a while.
func (i *ColdIssuer) sweep(now time.Time) {
	if now.Sub(i.sweptAt) < bucketRetention {
		return
	}
	i.sweptAt = now
	maps.DeleteFunc(i.windows, func(_ placement.Process, w *coldWindow) bool { return now.Sub(w.usedAt) > bucketRetention })
}
