package prepaid

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/allotment"
	"cuminrock.example/router/platformclient"
)

const (
	// callTimeout bounds one call to the platform.
	callTimeout = 1500 * time.Millisecond
	// maxConflictDelay bounds the random delay after a conflict.
	maxConflictDelay = 10 * time.Millisecond
	// contentionThreshold is the number of consecutive conflicts from which on
	// other routers are taken to be writing the same rows at this time.
	contentionThreshold = 3
	// backoffMin and backoffMax bound the backoff of transactions for which no
	// request waits. The backoff doubles at most maxBackoffDoublings times.
	backoffMin          = 100 * time.Millisecond
	backoffMax          = 4 * time.Second
	maxBackoffDoublings = 10
)

// read reads the rows. The holder's row is read only the first time, since only
// this run writes it; if a delayed commit changed it, the next transaction
// conflicts and returns the current row.
func (aw *accountWorker) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	total, holder := rowKeys(aw.workspace, aw.manager.opts.Holder)
	keys := []string{total, holder}
	known, synced := aw.knownRows()
	if synced {
		keys = keys[:1]
	}
	found, err := aw.manager.opts.Tables.Read(ctx, keys...)
	aw.manager.opts.Metrics.recordCall(callRead, true, err)
	if err != nil {
		return err
	}
	rows, err := mergeRows(known, found, total, holder)
	if err != nil {
		return err
	}
	aw.mu.Lock()
	defer aw.mu.Unlock()
	aw.account.Sync(rows, aw.manager.opts.Now())
	aw.rowsFresh = true
	return nil
}

// knownRows returns the rows as last read, and whether they were ever read.
func (aw *accountWorker) knownRows() (allotment.Rows, bool) {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	return aw.account.Rows(), aw.account.Synced()
}

// commit sends a transaction to the platform. After a conflict the account takes
// the current rows from the response.
func (aw *accountWorker) commit(ctx context.Context, txn allotment.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	total, holder := rowKeys(aw.workspace, aw.manager.opts.Holder)
	resp, err := aw.manager.opts.Tables.Commit(ctx, encodeTransaction(txn, total, holder))
	aw.manager.opts.Metrics.recordCall(callCommit, resp.GetCommitted(), err)
	if err != nil {
		return err
	}
	defer aw.backOff(resp.Committed)
	if resp.Committed {
		aw.applyCommitted(txn, resp.Version)
		return nil
	}
	rows, err := mergeRows(txn.Before, resp.Conflicts, total, holder)
	if err != nil {
		return err
	}
	aw.mu.Lock()
	defer aw.mu.Unlock()
	aw.account.Sync(rows, aw.manager.opts.Now())
	return nil
}

// applyCommitted updates the account after a transaction was committed.
func (aw *accountWorker) applyCommitted(txn allotment.Transaction, version uint64) {
	rows := txn.After
	rows.TotalVersion, rows.HolderVersion = version, version
	aw.mu.Lock()
	defer aw.mu.Unlock()
	aw.account.OnCommitted(rows, txn, aw.manager.opts.Now())
}

// timedCall makes a call through the gate, and records its start time and whether
// the platform answered.
func (aw *accountWorker) timedCall(call func() error) error {
	now := aw.manager.opts.Now
	err := aw.manager.gate.do(now, func() error {
		aw.setCallStart(now())
		defer aw.setCallStart(time.Time{})
		return call()
	})
	return aw.trackAvailability(err)
}

func (aw *accountWorker) setCallStart(t time.Time) {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	aw.callStartedAt = t
}

// backOff delays this worker after a conflict, so that routers that write the same
// rows spread out in time. A first conflict is mostly due to rows that others
// changed some time ago, and doesn't show that they are writing now. After
// several consecutive conflicts, transactions for which no request waits are
// deferred with an exponential backoff. Every conflict adds a short random delay.
func (aw *accountWorker) backOff(committed bool) {
	if committed {
		aw.consecutiveConflicts = 0
		return
	}
	aw.consecutiveConflicts++
	if aw.consecutiveConflicts >= contentionThreshold {
		backoff := min(backoffMin<<min(aw.consecutiveConflicts-contentionThreshold, maxBackoffDoublings), backoffMax)
		aw.mu.Lock()
		aw.prefetchAfter = aw.manager.opts.Now().Add(backoff/2 + rand.N(backoff/2))
		aw.mu.Unlock()
	}
	time.Sleep(rand.N(maxConflictDelay))
}

// trackAvailability records whether the platform answered, and logs each change. It
// returns err.
func (aw *accountWorker) trackAvailability(err error) error {
	aw.mu.Lock()
	changed := aw.platformDown != (err != nil)
	aw.platformDown = err != nil
	aw.mu.Unlock()
	switch {
	case changed && err != nil:
		aw.manager.opts.Log.Warn("budget: lost the platform's rows.", zap.String("workspace", aw.workspace),
			zap.Bool("outcome_unknown", errors.Is(err, platformclient.ErrOutcomeUnknown)), zap.Error(err))
	case changed:
		aw.manager.opts.Log.Info("budget: regained the platform's rows.", zap.String("workspace", aw.workspace))
	}
	return err
}

// isOutcomeUnknown reports whether the commit that failed may still take effect.
func isOutcomeUnknown(err error) bool { return errors.Is(err, platformclient.ErrOutcomeUnknown) }
