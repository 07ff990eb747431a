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
	// mostBills and mostDraws bound one transaction.
	mostBills = 200
	mostDraws = 100
	// mostTries is how often one batch is tried before the writer backs off.
	mostTries = 6
	// slowCommit is the duration from which the platform counts as slow.
	slowCommit = 300 * time.Millisecond
	// firstBackoff and lastBackoff bound the delay after failures.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 5 * time.Second
	// mostCachedRows bounds the rows kept between transactions.
	mostCachedRows = 20_000
)

// drawResult is how a draw ended.
type drawResult uint8

const (
	// drawFailed means that the platform didn't answer in time.
	drawFailed drawResult = iota
	drawDone
	drawExhausted
	drawUnknownBudget
)

// wish is a draw that waits for the writer.
type wish struct {
	account    *account
	need, want int64
	// known is the grant's total and held what was free, when the wish was
	// made.
	known  int64
	held   int64
	result drawResult
	done   chan struct{}
}

// operation is a rarer change, such as a return or a fence. It runs against
// the transaction as often as needed and reports after its commit.
type operation struct {
	apply func(t *budget.Txn) error
	done  chan error
}

// writer makes all of a router's transactions, one at a time.
type writer struct {
	l       *Ledger
	limiter *rate.Limiter
	cache   *budget.Cache
	kick    chan struct{}
	backoff time.Duration
	slow    bool
	turn    uint64

	mu         sync.Mutex
	wishes     []*wish
	operations []*operation
	audit      budget.Counters
}

func newWriter(l *Ledger, writesPerSecond int) *writer {
	if writesPerSecond <= 0 {
		writesPerSecond = defaultWritesPerSecond
	}
	return &writer{
		l:       l,
		limiter: rate.NewLimiter(rate.Limit(writesPerSecond), 1),
		cache:   budget.NewCache(),
		kick:    make(chan struct{}, 1),
	}
}

// draw asks for tokens and waits for the outcome or the context's end. A draw
// ahead of need goes with the next settlement.
func (w *writer) draw(ctx context.Context, a *account, need, want int64) drawResult {
	a.mu.Lock()
	known := a.holder.TotalDrawn(*w.l.grant.Load())
	held := a.holder.Free()
	a.drew = true
	a.mu.Unlock()
	wish := &wish{account: a, need: need, want: want, known: known, held: held, done: make(chan struct{})}
	w.mu.Lock()
	w.wishes = append(w.wishes, wish)
	w.mu.Unlock()
	if need > 0 {
		w.wake()
	}
	select {
	case <-wish.done:
		return wish.result
	case <-ctx.Done():
		w.drop(wish)
		return drawFailed
	}
}

func (w *writer) drop(gone *wish) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, wish := range w.wishes {
		if wish == gone {
			w.wishes = append(w.wishes[:i], w.wishes[i+1:]...)
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
	case w.kick <- struct{}{}:
	default:
	}
}

// run makes transactions until the context ends: at once where a draw or an
// operation waits, and for bills once per settle interval.
func (w *writer) run(ctx context.Context) {
	w.register(ctx)
	for ctx.Err() == nil {
		w.wait(ctx)
		if err := w.limiter.Wait(ctx); err != nil {
			return
		}
		b := w.collect()
		if b.empty() {
			continue
		}
		w.after(ctx, w.commit(ctx, b))
	}
}

func (w *writer) wait(ctx context.Context) {
	timer := time.NewTimer(w.l.jittered(w.l.settle))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.kick:
	case <-timer.C:
	}
}

// after backs off with jitter while the platform fails.
func (w *writer) after(ctx context.Context, err error) {
	if err == nil {
		w.backoff = 0
		return
	}
	w.l.counters.commitErrors.Add(1)
	if w.backoff == 0 {
		w.l.log.Warn("ledger: platform doesn't take transactions", zap.Error(err))
		w.l.record(pb.EventKind_EVENT_KIND_PLATFORM_DOWN, "", "", err.Error(), 0)
	}
	w.backoff = min(max(2*w.backoff, firstBackoff), lastBackoff)
	w.failWishes()
	wait.For(ctx, w.l.jittered(w.backoff))
}

// failWishes ends all waiting draws, so that their requests are refused now
// rather than at their timeout.
func (w *writer) failWishes() {
	w.mu.Lock()
	wishes := w.wishes
	w.wishes = nil
	w.mu.Unlock()
	for _, wish := range wishes {
		close(wish.done)
	}
}
