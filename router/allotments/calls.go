package allotments

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
	// backoffMin and backoffMax bound how long transactions for which no
	// request waits are put off after a conflict.
	backoffMin = 250 * time.Millisecond
	backoffMax = 4 * time.Second
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

// isUnknown tells whether a commit may still take effect.
func isUnknown(err error) bool { return errors.Is(err, platform.ErrUnknown) }
