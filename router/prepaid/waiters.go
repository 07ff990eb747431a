package prepaid

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/errkind"
)

const (
	// overdueAfter is the age of a call from which on requests don't wait for
	// it.
	overdueAfter = 300 * time.Millisecond
	// outageRetry is advised while the platform doesn't answer: the next try
	// comes to another router, which may hold what this one lacks.
	outageRetry = 100 * time.Millisecond
	// longestRetry bounds the time that is advised.
	longestRetry = 5 * time.Second
)

// waiter is a reservation that waits for tokens.
type waiter struct {
	// request is the request's id.
	request string
	tokens  int64
	rank    int
	// done carries nil when the tokens are reserved.
	done chan error
}

// reserve takes tokens that are held, or waits for the platform's.
func (k *keeper) reserve(ctx context.Context, w *waiter, prepaid int64, patience time.Duration) error {
	k.mu.Lock()
	k.account.SetPrepaid(prepaid)
	now := k.book.opts.Now()
	k.account.SetPlatformDown(k.overdue(), now)
	k.account.RecordDemand(w.tokens, w.rank, now)
	if k.account.Reserve(w.tokens, w.rank, now) {
		low := k.account.HeadroomLow(now)
		k.mu.Unlock()
		k.waker.wake()
		if low {
			k.book.noter.waker.wake()
		}
		return nil
	}
	if k.overdue() {
		k.logRefusal("budget: refused a reservation; the platform is out of reach.", refusedUnreachable, w)
		refusal := k.unreachable(w)
		k.mu.Unlock()
		k.waker.wake()
		return refusal
	}
	k.waiters = append(k.waiters, w)
	k.account.AddWaiting(w.tokens)
	k.fresh = false
	k.mu.Unlock()
	k.waker.wake()
	return k.await(ctx, w, patience)
}

// await waits for the outcome of a waiter.
func (k *keeper) await(ctx context.Context, w *waiter, patience time.Duration) error {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	refusal := k.leave(w)
	if refusal != nil {
		return refusal
	}
	return <-w.done
}

// overdue tells whether the platform's answer is late, so that waiting for it
// is in vain. The lock is held.
func (k *keeper) overdue() bool {
	return k.down || !k.callBegan.IsZero() && k.book.opts.Now().Sub(k.callBegan) > overdueAfter
}

// unreachable is the refusal while tokens can't be had from the platform. Where
// this router holds them, and only its promise forbids to use them yet, it says
// when they can be used. The lock is held.
func (k *keeper) unreachable(w *waiter) error {
	now := k.book.opts.Now()
	after := outageRetry
	if k.account.BlockedByBound(w.tokens, now) {
		after = max(after, k.account.TimeToHeadroom(w.tokens, now, longestRetry))
	}
	return errkind.New(errkind.BudgetUnreachable, "the prepaid balance can't be drawn on now").WithRetryAfter(after)
}

// leave removes a waiter, and returns its refusal; nil when its outcome is there
// already.
func (k *keeper) leave(w *waiter) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, other := range k.waiters {
		if other == w {
			k.waiters = append(k.waiters[:i], k.waiters[i+1:]...)
			k.account.AddWaiting(-w.tokens)
			k.logRefusal("budget: refused a reservation; the platform didn't answer in time.", refusedUnreachable, w)
			return k.unreachable(w)
		}
	}
	return nil
}

// serveWaiters reserves for the waiters in their order. One that doesn't fit
// doesn't hold up those behind it. The lock is held.
func (k *keeper) serveWaiters() {
	now := k.book.opts.Now()
	waiting := k.waiters[:0]
	for _, w := range k.waiters {
		if !k.account.Reserve(w.tokens, w.rank, now) {
			waiting = append(waiting, w)
			continue
		}
		k.account.AddWaiting(-w.tokens)
		k.shortSince = time.Time{}
		w.done <- nil
	}
	k.waiters = waiting
}

// refuseNewest refuses the newest waiter: the balance just read doesn't cover
// all that wait. The lock is held.
func (k *keeper) refuseNewest() {
	now := k.book.opts.Now()
	last := len(k.waiters) - 1
	w := k.waiters[last]
	k.waiters = k.waiters[:last]
	k.account.AddWaiting(-w.tokens)
	w.done <- shortOf(k.shortSince, now)
	if k.shortSince.IsZero() {
		k.shortSince = now
	}
	k.logRefusal("budget: refused a reservation; the balance doesn't cover it.", refusedShort, w)
}

// logRefusal logs what decided against a reservation. The lock is held.
func (k *keeper) logRefusal(message, reason string, w *waiter) {
	k.book.opts.Metrics.refused.WithLabelValues(reason).Inc()
	now := k.book.opts.Now()
	k.book.opts.Log.Info(message,
		zap.String("request", w.request), zap.String("workspace", k.workspace), zap.Int64("tokens", w.tokens), zap.Int("rank", w.rank),
		zap.Int64("prepaid", k.account.Prepaid()), zap.Int64("left", k.account.Unallocated()), zap.Int64("free", k.account.Free()),
		zap.Int64("promised", k.account.Headroom(now)), zap.Int64("kept", k.account.PriorityReserve(w.tokens, w.rank, now)),
		zap.Uint64("row_version", k.account.Rows().TotalVersion), zap.Duration("rows_age", k.account.RowsAge(now)))
}
