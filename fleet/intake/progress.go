package intake

import (
	"cmp"
	"slices"
	"time"
)

// mostStalled returns the request without progress whose last bytes came first; nil if
// all get on. The lock is held.
func (b *Budget[K]) mostStalled(now time.Time) *Account[K] {
	var found *Account[K]
	for a := range b.receiving {
		if a.stalled(now) && (found == nil || a.progressAt.Before(found.progressAt)) {
			found = a
		}
	}
	return found
}

// stalled reports whether a request makes no progress: nothing has come for a while, or
// it comes too slowly to be complete before its deadline. The lock is held.
func (a *Account[K]) stalled(now time.Time) bool {
	if now.Sub(a.progressAt) >= stalledAfter {
		return true
	}
	elapsed := now.Sub(a.markedAt)
	if elapsed < stalledAfter || a.missing == 0 {
		return false
	}
	due := float64(a.missing) * float64(elapsed) / float64(max(a.deadline.Sub(a.markedAt), elapsed))
	return float64(a.sinceMark) < due
}

// Progress records that bytes have arrived.
func (a *Account[K]) Progress(bytes int, now time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.progressAt = now
	if a.idle != nil {
		a.budget.idle.MoveToBack(a.idle)
	}
	if a.phase != receiving {
		return
	}
	a.sinceMark += int64(bytes)
	if now.Sub(a.markedAt) >= stalledAfter && !a.stalled(now) {
		a.mark(a.missing-a.sinceMark, now)
	}
}

// mark begins a new measurement of the pace. The lock is held.
func (a *Account[K]) mark(missing int64, now time.Time) {
	a.missing, a.sinceMark, a.markedAt = max(missing, 0), 0, now
}

// stalledWith returns requests without progress, other than the one that asks, that hold a
// number of bytes together, those that hold most first; nil if there aren't enough. The
// lock is held.
func (b *Budget[K]) stalledWith(asking *Account[K], bytes int64, now time.Time) []*Account[K] {
	var found []*Account[K]
	for a := range b.receiving {
		if a != asking && a.held() > 0 && a.stalled(now) {
			found = append(found, a)
		}
	}
	slices.SortFunc(found, func(x, y *Account[K]) int {
		return cmp.Or(cmp.Compare(y.held(), x.held()), x.progressAt.Compare(y.progressAt))
	})
	for i, a := range found {
		bytes -= a.held()
		if bytes <= 0 {
			return found[:i+1]
		}
	}
	return nil
}
