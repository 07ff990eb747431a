package allotments

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/allotment"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platform"
)

const (
	// tick is how often a keeper looks for a surplus.
	tick = 500 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = 1500 * time.Millisecond
	// retryMin and retryMax bound the random wait after a failed call.
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// overdueAfter is the age of a call from which on requests don't wait for
	// it.
	overdueAfter = 300 * time.Millisecond
	// conflictPause bounds the random wait after a conflict.
	conflictPause = 10 * time.Millisecond
	// backoffMin and backoffMax bound how long transactions for which no
	// request waits are put off after a conflict.
	backoffMin = 250 * time.Millisecond
	backoffMax = 4 * time.Second
	// outageRetry is advised while the platform doesn't answer: the next try
	// comes to another router, which may hold what this one lacks.
	outageRetry = 100 * time.Millisecond
)

// waiter is a reservation that waits for tokens.
type waiter struct {
	tokens int64
	rank   int
	// done carries nil when the tokens are reserved.
	done chan error
}

// keeper holds one workspace's tokens.
type keeper struct {
	book      *Book
	workspace string
	wake      chan struct{}

	mu      sync.Mutex
	account allotment.Account
	waiters []*waiter
	// fresh says that the rows were read after the newest waiter came.
	fresh bool
	// down says that the platform didn't answer the last call.
	down bool
	// backoff is the present wait after a conflict, and aheadAfter the end of
	// the last one.
	backoff    time.Duration
	aheadAfter time.Time
	// callBegan is when the call in progress began; zero without one.
	callBegan time.Time
	// shortSince is when the balance first didn't cover a request; zero while
	// it covers them.
	shortSince time.Time
}

func newKeeper(b *Book, workspace string) *keeper {
	return &keeper{book: b, workspace: workspace, wake: make(chan struct{}, 1)}
}

func (k *keeper) setPrepaid(tokens int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account.SetPrepaid(tokens)
}

// reserve takes tokens that are held, or waits for the platform's.
func (k *keeper) reserve(ctx context.Context, tokens int64, rank int, prepaid int64, patience time.Duration) error {
	k.mu.Lock()
	k.account.SetPrepaid(prepaid)
	now := k.book.opts.Now()
	k.account.SetCut(k.overdue(), now)
	k.account.Asked(tokens, rank, now)
	if k.account.Reserve(tokens, rank, now) {
		k.mu.Unlock()
		k.nudge()
		return nil
	}
	if k.overdue() {
		k.mu.Unlock()
		return unreachable()
	}
	w := &waiter{tokens: tokens, rank: rank, done: make(chan error, 1)}
	k.waiters = append(k.waiters, w)
	k.account.Want(tokens)
	k.fresh = false
	k.mu.Unlock()
	k.nudge()
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
	if k.leave(w) {
		return unreachable()
	}
	return <-w.done
}

// overdue tells whether the platform's answer is late, so that waiting for it
// is in vain. The lock is held.
func (k *keeper) overdue() bool {
	return k.down || !k.callBegan.IsZero() && k.book.opts.Now().Sub(k.callBegan) > overdueAfter
}

// unreachable is the refusal while tokens can't be had from the platform.
func unreachable() error {
	return errkind.New(errkind.BudgetUnreachable, "the prepaid balance can't be drawn on now").After(outageRetry)
}

// leave removes a waiter. It reports false when its outcome is there already.
func (k *keeper) leave(w *waiter) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, other := range k.waiters {
		if other == w {
			k.waiters = append(k.waiters[:i], k.waiters[i+1:]...)
			k.account.Want(-w.tokens)
			k.logRefusal("budget: refused a reservation; the platform didn't answer in time.", refusedUnreachable, w)
			return true
		}
	}
	return false
}

func (k *keeper) settle(reserved, used int64) {
	k.mu.Lock()
	k.account.Settle(reserved, used)
	k.serveWaiters()
	k.mu.Unlock()
}

// nudge makes the keeper look at its account soon.
func (k *keeper) nudge() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run keeps the account until the book closes.
func (k *keeper) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-k.book.stop:
			return
		case <-k.wake:
		case <-ticker.C:
		}
		k.keep()
	}
}

// keep makes transactions until none is needed or one fails.
func (k *keeper) keep() {
	for {
		again, err := k.turn(context.Background())
		if err != nil {
			k.pause()
			return
		}
		if !again {
			return
		}
	}
}

// pause waits after a failure, so that the platform isn't pressed.
func (k *keeper) pause() {
	wait := retryMin + rand.N(retryMax-retryMin)
	select {
	case <-k.book.stop:
	case <-time.After(wait):
		k.mu.Lock()
		waiting := len(k.waiters) > 0
		k.mu.Unlock()
		if waiting {
			k.nudge()
		}
	}
}

// turn makes one call where one is needed, and tells whether to look again.
func (k *keeper) turn(ctx context.Context) (again bool, err error) {
	k.mu.Lock()
	k.serveWaiters()
	waiting := len(k.waiters) > 0
	if !waiting && k.account.Synced() && k.book.opts.Now().Before(k.aheadAfter) {
		k.mu.Unlock()
		return false, nil
	}
	step, needed := k.account.Next(k.book.opts.Now())
	if waiting && k.account.PromiseBound(k.waiters[0].tokens, k.book.opts.Now()) {
		k.mu.Unlock()
		k.book.noter.nudge()
		return false, nil
	}
	mustRead := waiting && (!needed && !k.fresh || !k.account.Synced()) || k.account.Stale(k.book.opts.Now())
	if waiting && !needed && k.fresh {
		k.refuseNewest()
		k.mu.Unlock()
		return true, nil
	}
	k.mu.Unlock()
	switch {
	case mustRead:
		return true, k.timed(func() error { return k.read(ctx) })
	case needed:
		return true, k.timed(func() error { return k.commit(ctx, step) })
	default:
		return false, nil
	}
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
		k.account.Want(-w.tokens)
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
	k.account.Want(-w.tokens)
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
		zap.String("workspace", k.workspace), zap.Int64("tokens", w.tokens),
		zap.Int64("prepaid", k.account.Prepaid()), zap.Int64("left", k.account.Left()), zap.Int64("free", k.account.Free()),
		zap.Int64("promised", k.account.Promised(now)),
		zap.Uint64("row_version", k.account.Rows().TotalVersion), zap.Duration("rows_age", k.account.Age(now)))
}

// read reads the rows. Once it is known, only this run writes the holder's row:
// one that changed by a late commit shows at the next transaction.
func (k *keeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	total, holder := rowKeys(k.workspace, k.book.opts.Holder)
	keys := []string{total, holder}
	known, synced := k.knownRows()
	if synced {
		keys = keys[:1]
	}
	found, err := k.book.opts.Tables.Read(ctx, keys...)
	k.book.opts.Metrics.called(callRead, true, err)
	if err != nil {
		return err
	}
	rows, err := mergeRows(known, found, total, holder)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account.Sync(rows, k.book.opts.Now())
	k.fresh = true
	return nil
}

// knownRows returns the rows as last seen, and whether they were ever read.
func (k *keeper) knownRows() (allotment.Rows, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.account.Rows(), k.account.Synced()
}

// commit makes the transaction of a step. A conflict brings the rows as they
// stand.
func (k *keeper) commit(ctx context.Context, step allotment.Step) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	total, holder := rowKeys(k.workspace, k.book.opts.Holder)
	resp, err := k.book.opts.Tables.Commit(ctx, encodeStep(step, total, holder))
	k.book.opts.Metrics.called(callCommit, resp.GetCommitted(), err)
	if err != nil {
		return err
	}
	rows := step.After
	rows.TotalVersion, rows.HolderVersion = resp.Version, resp.Version
	if !resp.Committed {
		rows, err = mergeRows(step.Before, resp.Conflicts, total, holder)
	}
	if err != nil {
		return err
	}
	defer k.yield(resp.Committed)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account.Sync(rows, k.book.opts.Now())
	return nil
}

// timed makes a call, and notes when it began and how it ended.
func (k *keeper) timed(call func() error) error {
	k.began(k.book.opts.Now())
	err := call()
	k.began(time.Time{})
	return k.noted(err)
}

func (k *keeper) began(t time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.callBegan = t
}

// yield makes routers that write the same rows come apart: after a conflict,
// transactions for which no request waits are put off, for longer with each
// conflict, and others wait a little.
func (k *keeper) yield(committed bool) {
	k.mu.Lock()
	if committed {
		k.backoff /= 2
	} else {
		k.backoff = min(max(2*k.backoff, backoffMin), backoffMax)
	}
	k.aheadAfter = k.book.opts.Now().Add(k.backoff/2 + rand.N(k.backoff/2+1))
	k.mu.Unlock()
	if !committed {
		time.Sleep(rand.N(conflictPause))
	}
}

// noted logs when the platform is lost and regained.
func (k *keeper) noted(err error) error {
	k.mu.Lock()
	changed := k.down != (err != nil)
	k.down = err != nil
	k.mu.Unlock()
	switch {
	case changed && err != nil:
		k.book.opts.Log.Warn("budget: lost the platform's rows.", zap.String("workspace", k.workspace),
			zap.Bool("outcome_unknown", errors.Is(err, platform.ErrUnknown)), zap.Error(err))
	case changed:
		k.book.opts.Log.Info("budget: regained the platform's rows.", zap.String("workspace", k.workspace))
	}
	return err
}

// returnAll gives back what isn't reserved, until it is taken or ctx ends.
func (k *keeper) returnAll(ctx context.Context) {
	for ctx.Err() == nil {
		k.mu.Lock()
		k.account.ReturnAll()
		step, needed := k.account.Next(k.book.opts.Now())
		k.mu.Unlock()
		if !needed {
			return
		}
		if k.noted(k.commit(ctx, step)) != nil {
			k.sleep(ctx)
		}
	}
}

func (k *keeper) sleep(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryMin):
	}
}

// promise makes the account hold to a new promise.
func (k *keeper) promise(now time.Time) allotment.Promise {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.account.Offer(now)
	k.account.Bind(p)
	return p
}

// promiseTaken takes that the platform has the promise.
func (k *keeper) promiseTaken(p allotment.Promise) {
	k.mu.Lock()
	k.account.TakenPromise(p)
	k.serveWaiters()
	waiting := len(k.waiters) > 0
	k.mu.Unlock()
	if waiting {
		k.nudge()
	}
}

// promiseDropped takes that the platform never took the newest promise.
func (k *keeper) promiseDropped() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account.DroppedPromise()
}

// isUnknown tells whether a commit may still take effect.
func isUnknown(err error) bool { return errors.Is(err, platform.ErrUnknown) }
