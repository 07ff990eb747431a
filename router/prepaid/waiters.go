package prepaid

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/allotment"
	"cuminrock.example/fleet/errkind"
)

const (
	// callOverdueAfter is the age of a platform call above which requests no
	// longer wait for it.
	callOverdueAfter = 300 * time.Millisecond
	// outageRetryAfter is the Retry-After while the platform doesn't answer. It is
	// short, since the next try reaches another router, which may hold the tokens.
	outageRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds the Retry-After of a refusal.
	maxRetryAfter = 5 * time.Second
)

// ErrPlatformDown is the cause of a refusal because the platform doesn't answer,
// whatever the balance is.
var ErrPlatformDown = errors.New("the platform doesn't answer")

// waiter is a reservation that waits for tokens.
type waiter struct {
	requestID string
	tokens    int64
	rank      int
	// result receives nil when the tokens are reserved, or the refusal.
	result chan error
}

// reserve reserves tokens that are held, or waits until more are taken from the
// platform.
func (aw *accountWorker) reserve(ctx context.Context, w *waiter, prepaid int64, maxWait time.Duration) error {
	aw.mu.Lock()
	aw.account.SetPrepaid(prepaid)
	now := aw.manager.opts.Now()
	aw.account.SetPlatformDown(aw.callOverdue(), now)
	aw.account.RecordDemand(w.tokens, w.rank, now)
	if aw.tryReserve(w.tokens, w.rank, aw.waiters, now) {
		low := aw.account.HeadroomLow(now)
		aw.mu.Unlock()
		aw.wakeup.notify()
		if low {
			aw.manager.noteWriter.wakeup.notify()
		}
		return nil
	}
	if aw.callOverdue() {
		aw.logRefusal("budget: refused a reservation; the platform is out of reach.", reasonUnreachable, w)
		refusal := aw.unreachableError(w)
		aw.mu.Unlock()
		aw.wakeup.notify()
		return refusal
	}
	if w.rank == allotment.ResumedRank {
		aw.account.KeepForResumed(w.tokens, now)
	}
	aw.addWaiter(w)
	aw.account.AddWaiting(w.tokens)
	aw.rowsFresh = false
	aw.mu.Unlock()
	aw.wakeup.notify()
	return aw.awaitResult(ctx, w, maxWait)
}

// addWaiter adds a waiter behind all others, or behind those that are as urgent if waiters
// are served by priority. The lock is held.
func (aw *accountWorker) addWaiter(w *waiter) {
	i := len(aw.waiters)
	for aw.manager.opts.ByPriority && i > 0 && aw.waiters[i-1].rank > w.rank {
		i--
	}
	aw.waiters = slices.Insert(aw.waiters, i, w)
}

// tryReserve reserves tokens that are held. If waiters are served by priority, it leaves
// those that more urgent ones wait for, unless there are too few for such a waiter at all.
// The lock is held.
func (aw *accountWorker) tryReserve(tokens int64, rank int, waiters []*waiter, now time.Time) bool {
	if aw.manager.opts.ByPriority {
		free := aw.account.Free()
		reachable := free + aw.account.Unallocated()
		for _, w := range waiters {
			if w.rank < rank && w.tokens <= reachable {
				free -= w.tokens
			}
		}
		if tokens > free {
			return false
		}
	}
	return aw.account.Reserve(tokens, rank, now)
}

// reserveHeld reserves tokens only if they are held. It reports whether it did.
func (aw *accountWorker) reserveHeld(tokens int64, rank int, prepaid int64) bool {
	aw.mu.Lock()
	aw.account.SetPrepaid(prepaid)
	now := aw.manager.opts.Now()
	reserved := aw.tryReserve(tokens, rank, aw.waiters, now)
	low := reserved && aw.account.HeadroomLow(now)
	aw.mu.Unlock()
	if low {
		aw.manager.noteWriter.wakeup.notify()
	}
	return reserved
}

// awaitResult waits for the result of a waiter, for maxWait or until ctx ends.
func (aw *accountWorker) awaitResult(ctx context.Context, w *waiter, maxWait time.Duration) error {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err := <-w.result:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	refusal := aw.removeWaiter(w)
	if refusal != nil {
		return refusal
	}
	return <-w.result
}

// callOverdue reports whether the platform is down or late, so that requests should
// not wait for it. The lock is held.
func (aw *accountWorker) callOverdue() bool {
	return aw.platformDown || !aw.callStartedAt.IsZero() && aw.manager.opts.Now().Sub(aw.callStartedAt) > callOverdueAfter
}

// unreachableError returns the refusal while no tokens can be taken from the
// platform. When this router holds enough tokens and only its usage bound blocks
// them, the Retry-After is the time until the bound allows them. The lock is held.
func (aw *accountWorker) unreachableError(w *waiter) error {
	now := aw.manager.opts.Now()
	after := outageRetryAfter
	if aw.account.BlockedByBound(w.tokens, now) {
		after = max(after, aw.account.TimeToHeadroom(w.tokens, now, maxRetryAfter))
	}
	return errkind.Wrap(errkind.BudgetUnreachable, ErrPlatformDown, "no tokens can be taken from the prepaid balance now").WithRetryAfter(after)
}

// removeWaiter removes a waiter and returns its refusal, or nil when it already has
// a result.
func (aw *accountWorker) removeWaiter(w *waiter) error {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	for i, other := range aw.waiters {
		if other == w {
			aw.waiters = append(aw.waiters[:i], aw.waiters[i+1:]...)
			aw.account.AddWaiting(-w.tokens)
			aw.logRefusal("budget: refused a reservation; the platform didn't answer in time.", reasonUnreachable, w)
			return aw.unreachableError(w)
		}
	}
	return nil
}

// serveWaiters reserves tokens for the waiters in order. A waiter that needs too
// many doesn't block those behind it. The lock is held.
func (aw *accountWorker) serveWaiters() {
	now := aw.manager.opts.Now()
	waiting := aw.waiters[:0]
	for _, w := range aw.waiters {
		if !aw.tryReserve(w.tokens, w.rank, waiting, now) {
			waiting = append(waiting, w)
			continue
		}
		aw.account.AddWaiting(-w.tokens)
		aw.insufficientSince = time.Time{}
		w.result <- nil
	}
	aw.waiters = waiting
}

// refuseLast refuses the last waiter, which is the newest one, or the newest of the least
// urgent if waiters are served by priority, since the balance just read doesn't cover
// all of them. Resumed streams are refused last. The lock is held.
func (aw *accountWorker) refuseLast() {
	now := aw.manager.opts.Now()
	last := len(aw.waiters) - 1
	for i, w := range aw.waiters {
		if w.rank != allotment.ResumedRank {
			last = i
		}
	}
	w := aw.waiters[last]
	aw.waiters = slices.Delete(aw.waiters, last, last+1)
	if w.rank == allotment.ResumedRank {
		aw.account.RenewKept(w.tokens, now)
	}
	aw.account.AddWaiting(-w.tokens)
	w.result <- aw.manager.insufficientError(aw.insufficientSince, now)
	if aw.insufficientSince.IsZero() {
		aw.insufficientSince = now
	}
	aw.logRefusal("budget: refused a reservation; the balance doesn't cover it.", reasonInsufficient, w)
}

// logRefusal counts and logs a refusal with the values that led to it. The lock is
// held.
func (aw *accountWorker) logRefusal(message, reason string, w *waiter) {
	aw.manager.opts.Metrics.refused.WithLabelValues(reason).Inc()
	now := aw.manager.opts.Now()
	aw.manager.opts.Log.Info(message,
		zap.String("request", w.requestID), zap.String("workspace", aw.workspace), zap.Int64("tokens", w.tokens), zap.Int("rank", w.rank),
		zap.Int64("prepaid", aw.account.Prepaid()), zap.Int64("left", aw.account.Unallocated()), zap.Int64("free", aw.account.Free()),
		zap.Int64("promised", aw.account.Headroom(now)), zap.Int64("kept", aw.account.PriorityReserve(w.tokens, w.rank, now)),
		zap.Uint64("row_version", aw.account.Rows().TotalVersion), zap.Duration("rows_age", aw.account.RowsAge(now)))
}
