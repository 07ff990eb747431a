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
	// tick is how often a keeper looks for a surplus.
	tick = 500 * time.Millisecond
	// retryMin and retryMax bound the random wait after a failed call.
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
)

// keeper holds one workspace's tokens: a goroutine that makes one call at a
// time, and the requests that wait for it.
type keeper struct {
	book      *Manager
	workspace string
	waker     waker

	mu      sync.Mutex
	account allotment.Account
	waiters []*waiter
	// fresh says that the rows were read after the newest waiter came.
	fresh bool
	// down says that the platform didn't answer the last call.
	down bool
	// conflicts counts the conflicts in a row; only the keeper's goroutine uses
	// it. aheadAfter is until when transactions ahead of requests are put off.
	conflicts  int
	aheadAfter time.Time
	// callBegan is when the call in progress began; zero without one.
	callBegan time.Time
	// shortSince is when the balance first didn't cover a request; zero while
	// it covers them.
	shortSince time.Time
}

func newKeeper(b *Manager, workspace string) *keeper {
	return &keeper{book: b, workspace: workspace, waker: newWaker()}
}

func (k *keeper) setPrepaid(tokens int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account.SetPrepaid(tokens)
}

func (k *keeper) settle(reserved, used int64) {
	k.mu.Lock()
	k.account.Settle(reserved, used)
	k.serveWaiters()
	k.mu.Unlock()
}

// run keeps the account until the book closes.
func (k *keeper) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-k.book.life.Done():
			return
		case <-k.waker:
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
	if !wait.For(k.book.life, retryMin+rand.N(retryMax-retryMin)) {
		return
	}
	k.mu.Lock()
	waiting := len(k.waiters) > 0
	k.mu.Unlock()
	if waiting {
		k.waker.wake()
	}
}

// turn makes one call where one is needed, and tells whether to look again.
func (k *keeper) turn(ctx context.Context) (again bool, err error) {
	next, step := k.decide()
	switch next {
	case actRead:
		return true, k.timed(func() error { return k.read(ctx) })
	case actCommit:
		return true, k.timed(func() error { return k.commit(ctx, step) })
	case actRefuse:
		return true, nil
	case actNote:
		k.book.noter.waker.wake()
		return false, nil
	default:
		return false, nil
	}
}

// act is what a keeper does next.
type act uint8

const (
	// actNone waits for a wake or a tick.
	actNone act = iota
	// actRead reads the rows.
	actRead
	// actCommit makes a transaction.
	actCommit
	// actRefuse has refused a waiter; there may be others.
	actRefuse
	// actNote waits for a note, since a promise forbids what waits.
	actNote
)

// decide serves the waiters from what is held, and says what to do for those
// that are left.
func (k *keeper) decide() (act, allotment.Transaction) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.serveWaiters()
	now := k.book.opts.Now()
	waiting := len(k.waiters) > 0
	if !waiting && !k.down && k.account.Synced() && now.Before(k.aheadAfter) {
		return actNone, allotment.Transaction{}
	}
	if waiting && k.account.BlockedByBound(k.waiters[0].tokens, now) {
		return actNote, allotment.Transaction{}
	}
	step, needed := k.account.NextTransaction(now)
	switch {
	case waiting && !k.account.Synced(), k.account.Stale(now):
		return actRead, step
	case needed:
		return actCommit, step
	case waiting && k.fresh:
		k.refuseNewest()
		return actRefuse, step
	case waiting, k.down:
		return actRead, step
	default:
		return actNone, step
	}
}

// returnAll gives back what isn't reserved, until it is taken or ctx ends.
func (k *keeper) returnAll(ctx context.Context) {
	for ctx.Err() == nil {
		k.mu.Lock()
		k.account.ReturnAll()
		step, needed := k.account.NextTransaction(k.book.opts.Now())
		k.mu.Unlock()
		if !needed {
			return
		}
		if k.noted(k.commit(ctx, step)) != nil {
			wait.For(ctx, retryMin)
		}
	}
}
