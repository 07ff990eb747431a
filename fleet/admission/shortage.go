package admission

import "time"

const (
	// shortageEndsAfter is the time without a refusal after which a shortage has ended.
	shortageEndsAfter = 10 * time.Second
	// maxShortageWait bounds the expected time until the end of a shortage.
	maxShortageWait = 10 * time.Second
)

// Shortages estimates how long shortages last that nothing else is known of: as long as
// each has lasted so far. A caller that is refused repeatedly therefore comes back at
// growing intervals.
type Shortages struct {
	byName map[string]*shortage
}

// shortage lasts from the first refusal until as much is granted as was refused.
type shortage struct {
	since, refusedAt time.Time
	// amount is the smallest that was refused.
	amount int64
}

// NewShortages returns an empty Shortages.
func NewShortages() *Shortages { return &Shortages{byName: make(map[string]*shortage)} }

// Refused records that an amount was refused, and returns the expected time until it is
// granted; 0 for the first refusal.
func (s *Shortages) Refused(name string, amount int64, now time.Time) time.Duration {
	current := s.byName[name]
	if current == nil || now.Sub(current.refusedAt) > shortageEndsAfter {
		s.dropEnded(now)
		current = &shortage{since: now, amount: amount}
		s.byName[name] = current
	}
	current.refusedAt = now
	current.amount = min(current.amount, amount)
	return min(now.Sub(current.since), maxShortageWait)
}

// Granted records that an amount was granted.
func (s *Shortages) Granted(name string, amount int64) {
	current := s.byName[name]
	if current != nil && amount >= current.amount {
		delete(s.byName, name)
	}
}

// dropEnded forgets the shortages that have ended.
func (s *Shortages) dropEnded(now time.Time) {
	for name, current := range s.byName {
		if now.Sub(current.refusedAt) > shortageEndsAfter {
			delete(s.byName, name)
		}
	}
}
