package allotment

import (
	"slices"
	"time"
)

// ResumedRank is the rank of streams that callers resume. It is more urgent than all ranks
// of routes, of which it counts as the most urgent otherwise.
const ResumedRank = -1

const (
	// resumedHold is how long tokens are kept for a resumed stream that had to wait or was
	// refused. Its caller is told to come back after a second.
	resumedHold = 1200 * time.Millisecond
	// maxKept bounds the resumed streams for which tokens are kept.
	maxKept = 1000
	// resumedPeriod is the time from the first read of the rows in which tokens are kept. The
	// streams that a kill of all gateways cut are resumed then. Later, when single streams
	// are resumed, keeping their tokens back costs more requests than it serves.
	resumedPeriod = 10 * time.Second
)

// keptTokens are tokens that are kept for a resumed stream.
type keptTokens struct {
	tokens int64
	until  time.Time
}

// KeepForResumed keeps tokens for a resumed stream that can't have them now, soon after
// the start. Without it, requests that are smaller take each of the tokens that are returned.
func (a *Account) KeepForResumed(tokens int64, now time.Time) {
	if a.Synced() && now.Sub(a.firstSyncedAt) > resumedPeriod {
		return
	}
	a.kept = slices.DeleteFunc(a.kept, func(k keptTokens) bool { return !now.Before(k.until) })
	if len(a.kept) < maxKept {
		a.kept = append(a.kept, keptTokens{tokens: tokens, until: now.Add(resumedHold)})
	}
}

// RenewKept keeps tokens for a resumed stream that is refused after it has waited.
func (a *Account) RenewKept(tokens int64, now time.Time) {
	a.releaseKept()
	a.KeepForResumed(tokens, now)
}

// keptForResumed returns the tokens that are kept now.
func (a *Account) keptForResumed(now time.Time) int64 {
	var tokens int64
	for _, k := range a.kept {
		if now.Before(k.until) {
			tokens += k.tokens
		}
	}
	return tokens
}

// releaseKept ends the keeping for the resumed stream that has waited for the longest time.
func (a *Account) releaseKept() {
	if len(a.kept) > 0 {
		a.kept = slices.Delete(a.kept, 0, 1)
	}
}
