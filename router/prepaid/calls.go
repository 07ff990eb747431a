package prepaid

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/allotment"
	"cuminrock.example/router/platform"
)

const (
	// callTimeout bounds one call to the platform.
	callTimeout = 1500 * time.Millisecond
	// conflictPause bounds the random wait after a conflict.
	conflictPause = 10 * time.Millisecond
	// contended is the number of conflicts in a row that tells of others who
	// write the same rows now.
	contended = 3
	// backoffMin and backoffMax bound how long transactions for which no
	// request waits are then put off; it doubles maxDoublings times at most.
	backoffMin   = 100 * time.Millisecond
	backoffMax   = 4 * time.Second
	maxDoublings = 10
)

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
func (k *keeper) commit(ctx context.Context, step allotment.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	total, holder := rowKeys(k.workspace, k.book.opts.Holder)
	resp, err := k.book.opts.Tables.Commit(ctx, encodeStep(step, total, holder))
	k.book.opts.Metrics.called(callCommit, resp.GetCommitted(), err)
	if err != nil {
		return err
	}
	defer k.yield(resp.Committed)
	if resp.Committed {
		k.done(step, resp.Version)
		return nil
	}
	rows, err := mergeRows(step.Before, resp.Conflicts, total, holder)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account.Sync(rows, k.book.opts.Now())
	return nil
}

// done takes a step that the platform made.
func (k *keeper) done(step allotment.Transaction, version uint64) {
	rows := step.After
	rows.TotalVersion, rows.HolderVersion = version, version
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account.OnCommitted(rows, step, k.book.opts.Now())
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

// yield makes routers that write the same rows come apart. A first conflict is
// mostly due to rows that others wrote some time ago, and says nothing of who
// writes now. After several in a row, transactions for which no request waits are
// put off, for longer with each further one, and others wait a little.
func (k *keeper) yield(committed bool) {
	if committed {
		k.conflicts = 0
		return
	}
	k.conflicts++
	if k.conflicts >= contended {
		backoff := min(backoffMin<<min(k.conflicts-contended, maxDoublings), backoffMax)
		k.mu.Lock()
		k.aheadAfter = k.book.opts.Now().Add(backoff/2 + rand.N(backoff/2))
		k.mu.Unlock()
	}
	time.Sleep(rand.N(conflictPause))
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

// isUnknown tells whether a commit may still take effect.
func isUnknown(err error) bool { return errors.Is(err, platform.ErrUnknown) }
