package ledger

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/router/wait"
)

const (
	// maxBills and maxDraws bound one transaction; copies and own bills together
	// may reach 2*maxBills.
	maxBills = 200
	maxDraws = 100
	// maxCommitTries is how often one batch is tried before the writer backs
	// off.
	maxCommitTries = 6
	// slowCommit is the commit duration above which the platform counts as slow.
	slowCommit = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after failures.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxCachedRows bounds the rows cached between transactions.
	maxCachedRows = 20_000
)

// drawResult is the outcome of a draw.
type drawResult uint8

const (
	// drawFailed means that the platform did not confirm the draw in time.
	drawFailed drawResult = iota
	drawDone
	drawExhausted
	drawUnknownBudget
)

// drawRequest is a draw queued for the writer.
type drawRequest struct {
	account    *account
	need, want int64
	// drawnTotal is the known total of the grant, and free the free tokens of
	// the account, at the time of the request.
	drawnTotal int64
	free       int64
	result     drawResult
	done       chan struct{}
}

// operation is a less frequent change, such as a return or a fence. apply may
// run several times, each time against a new transaction; the result is sent to
// done after the commit.
type operation struct {
	apply func(t *budget.Txn) error
	done  chan error
}

// writer commits a router's transactions one at a time. Only changes made with
// commitChange bypass it.
type writer struct {
	l       *Ledger
	limiter *rate.Limiter
	cache   *budget.Cache
	wakeup  chan struct{}
	backoff time.Duration
	// slow is true if the last commit failed or took longer than slowCommit.
	slow bool
	// round counts the batches collected.
	round uint64

	mu          sync.Mutex
	draws       []*drawRequest
	operations  []*operation
	txnCounters budget.Counters
}

func newWriter(l *Ledger, writesPerSecond int) *writer {
	if writesPerSecond <= 0 {
		writesPerSecond = defaultWritesPerSecond
	}
	return &writer{
		l:       l,
		limiter: rate.NewLimiter(rate.Limit(writesPerSecond), 1),
		cache:   budget.NewCache(),
		wakeup:  make(chan struct{}, 1),
	}
}

// draw requests tokens and waits for the outcome or the end of the context. A
// draw for a prefetch (need 0) goes with the next settlement.
func (w *writer) draw(ctx context.Context, a *account, need, want int64) drawResult {
	a.mu.Lock()
	drawnTotal := a.holder.TotalDrawn(*w.l.grant.Load())
	free := a.holder.Free()
	a.drawTried = true
	a.mu.Unlock()
	req := &drawRequest{account: a, need: need, want: want, drawnTotal: drawnTotal, free: free, done: make(chan struct{})}
	w.mu.Lock()
	w.draws = append(w.draws, req)
	w.mu.Unlock()
	if need > 0 {
		w.wake()
	}
	select {
	case <-req.done:
		return req.result
	case <-ctx.Done():
		w.dropDraw(req)
		return drawFailed
	}
}

func (w *writer) dropDraw(dropped *drawRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, req := range w.draws {
		if req == dropped {
			w.draws = append(w.draws[:i], w.draws[i+1:]...)
			return
		}
	}
}

// do runs an operation in the next transaction and waits for its commit.
func (w *writer) do(ctx context.Context, apply func(t *budget.Txn) error) error {
	op := &operation{apply: apply, done: make(chan error, 1)}
	w.mu.Lock()
	w.operations = append(w.operations, op)
	w.mu.Unlock()
	w.wake()
	select {
	case err := <-op.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *writer) wake() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// run commits transactions until the context ends: at once if a draw that is
// needed or an operation is queued, and for bills once per settle interval.
func (w *writer) run(ctx context.Context) {
	w.register(ctx)
	for ctx.Err() == nil {
		w.waitForWork(ctx)
		if err := w.limiter.Wait(ctx); err != nil {
			return
		}
		b := w.collect()
		if b.empty() {
			continue
		}
		w.backOff(ctx, w.commit(ctx, b))
	}
}

func (w *writer) waitForWork(ctx context.Context) {
	timer := time.NewTimer(w.l.jittered(w.l.settleInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.wakeup:
	case <-timer.C:
	}
}

// backOff resets the backoff after a success. After an error it increases the
// backoff, fails the queued draws and waits with jitter.
func (w *writer) backOff(ctx context.Context, err error) {
	if err == nil {
		w.backoff = 0
		return
	}
	w.l.counters.commitErrors.Add(1)
	if w.backoff == 0 {
		w.l.log.Warn("ledger: platform does not commit transactions; backing off", zap.Error(err))
		w.l.record(pb.EventKind_EVENT_KIND_PLATFORM_DOWN, "", "", err.Error(), 0)
	}
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.failDraws()
	wait.For(ctx, w.l.jittered(w.backoff))
}

// failDraws fails all queued draws, so that their requests are refused now
// rather than at their timeout.
func (w *writer) failDraws() {
	w.mu.Lock()
	draws := w.draws
	w.draws = nil
	w.mu.Unlock()
	for _, req := range draws {
		close(req.done)
	}
}
