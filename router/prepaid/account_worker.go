package prepaid

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cuminrock.example/fleet/allotment"
	"cuminrock.example/router/wait"
)

const (
	// checkInterval is how often a worker checks for a surplus to return.
	checkInterval = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the random delay after a failed call.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// accountWorker manages the allotment of one workspace. Its goroutine makes one
// platform call at a time; requests that need more tokens wait in waiters.
type accountWorker struct {
	manager   *Manager
	workspace string
	wakeup    signal

	mu      sync.Mutex
	account allotment.Account
	waiters []*waiter
	// rowsFresh is true when the rows were read after the newest waiter was added.
	rowsFresh bool
	// platformDown is true when the platform didn't answer the last call.
	platformDown bool
	// consecutiveConflicts counts the conflicts since the last committed
	// transaction; only the worker's goroutine uses it. prefetchAfter is the time
	// until which transactions are deferred when no request waits.
	consecutiveConflicts int
	prefetchAfter        time.Time
	// callStartedAt is when the call in progress started; zero without one.
	callStartedAt time.Time
	// insufficientSince is when the balance first didn't cover a request; zero
	// while it covers all requests.
	insufficientSince time.Time
}

func newAccountWorker(m *Manager, workspace string) *accountWorker {
	aw := &accountWorker{manager: m, workspace: workspace, wakeup: newSignal()}
	aw.account.SetKeepForAllSizes(m.opts.ByPriority)
	return aw
}

func (aw *accountWorker) setPrepaid(tokens int64) {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	aw.account.SetPrepaid(tokens)
}

func (aw *accountWorker) settle(reserved, used int64) {
	aw.mu.Lock()
	aw.account.Settle(reserved, used)
	aw.serveWaiters()
	aw.mu.Unlock()
}

// run manages the account until the manager is closed.
func (aw *accountWorker) run() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-aw.manager.ctx.Done():
			return
		case <-aw.wakeup:
		case <-ticker.C:
		}
		aw.reconcile()
	}
}

// reconcile makes calls until none is needed or one fails.
func (aw *accountWorker) reconcile() {
	for {
		again, err := aw.reconcileOnce(context.Background())
		if err != nil {
			aw.waitBeforeRetry()
			return
		}
		if !again {
			return
		}
	}
}

// waitBeforeRetry waits after a failed call, to limit the load on the platform, and
// schedules the next try if requests are waiting.
func (aw *accountWorker) waitBeforeRetry() {
	if !wait.For(aw.manager.ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay)) {
		return
	}
	aw.mu.Lock()
	waiting := len(aw.waiters) > 0
	aw.mu.Unlock()
	if waiting {
		aw.wakeup.notify()
	}
}

// reconcileOnce takes the next action. It reports whether another may be needed.
func (aw *accountWorker) reconcileOnce(ctx context.Context) (again bool, err error) {
	next, txn := aw.nextAction()
	switch next {
	case actionRead:
		return true, aw.timedCall(func() error { return aw.read(ctx) })
	case actionCommit:
		return true, aw.timedCall(func() error { return aw.commit(ctx, txn) })
	case actionRefuse:
		return true, nil
	case actionWriteNote:
		aw.manager.noteWriter.wakeup.notify()
		return false, nil
	default:
		return false, nil
	}
}

// action is the next action of a worker.
type action uint8

const (
	// actionNone waits for the next notification or check.
	actionNone action = iota
	// actionRead reads the rows.
	actionRead
	// actionCommit commits a transaction.
	actionCommit
	// actionRefuse means that a waiter was refused; others may remain.
	actionRefuse
	// actionWriteNote asks for a new note, since the usage bound of the last one
	// blocks the first waiter.
	actionWriteNote
)

// nextAction serves the waiters from the tokens held, and returns what to do for
// those that remain.
func (aw *accountWorker) nextAction() (action, allotment.Transaction) {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	aw.serveWaiters()
	now := aw.manager.opts.Now()
	waiting := len(aw.waiters) > 0
	if !waiting && !aw.platformDown && aw.account.Synced() && now.Before(aw.prefetchAfter) {
		return actionNone, allotment.Transaction{}
	}
	if waiting && aw.account.BlockedByBound(aw.waiters[0].tokens, now) {
		return actionWriteNote, allotment.Transaction{}
	}
	txn, needed := aw.account.NextTransaction(now)
	switch {
	case waiting && !aw.account.Synced(), aw.account.Stale(now):
		return actionRead, txn
	case needed:
		return actionCommit, txn
	case waiting && aw.rowsFresh:
		aw.refuseLast()
		return actionRefuse, txn
	case waiting, aw.platformDown:
		return actionRead, txn
	default:
		return actionNone, txn
	}
}

// returnAll returns the tokens that aren't reserved, until that is committed or ctx
// ends.
func (aw *accountWorker) returnAll(ctx context.Context) {
	for ctx.Err() == nil {
		aw.mu.Lock()
		aw.account.ReturnAll()
		txn, needed := aw.account.NextTransaction(aw.manager.opts.Now())
		aw.mu.Unlock()
		if !needed {
			return
		}
		if aw.trackAvailability(aw.commit(ctx, txn)) != nil {
			wait.For(ctx, minRetryDelay)
		}
	}
}
