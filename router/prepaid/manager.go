// Package prepaid manages this router's allotments: the part of every
// workspace's prepaid tokens that the router has taken from the platform's rows
// and may spend without asking again.
//
// A request is admitted only on tokens that the router already holds. Each
// workspace has an accountWorker, a goroutine that takes and returns tokens one
// transaction at a time, by the rules of package allotment. A transaction
// without a response is sent again with the same row versions as conditions, so
// that only one of the two can commit; the conflict of the other returns the
// current rows.
package prepaid

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platformclient"
)

const (
	// exhaustedAfter is how long a balance must have been too low before a
	// refusal calls it exhausted. By then other routers have returned the tokens
	// that they held unused.
	exhaustedAfter = 4 * time.Second
	// insufficientRetryAfter is the Retry-After of a refusal while the balance may
	// soon grow again.
	insufficientRetryAfter = time.Second
)

// Options configures a Manager. All fields are required.
type Options struct {
	Tables platformclient.TableStore
	Clock  platformclient.Clock
	// Machine identifies the machine and its listening address. A process that
	// runs under this name proves that all earlier ones have ended.
	Machine string
	// Holder identifies this run of the router and is never reused by another run.
	Holder string
	// PreviousRunsEndedBy is a time by which all earlier runs on this machine had
	// ended.
	PreviousRunsEndedBy time.Time
	// ByPriority makes requests that wait for tokens get them, and be refused, in the order
	// of their priority instead of their arrival, and keeps scarce tokens for more urgent
	// requests of any size. It may be false.
	ByPriority bool
	Metrics    *Metrics
	Log        *zap.Logger
	Now        func() time.Time
}

// Manager reserves tokens from the allotments that this router holds. It is safe
// for concurrent use.
type Manager struct {
	opts Options

	mu      sync.Mutex
	workers map[string]*accountWorker
	closed  bool
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup

	noteWriter *noteWriter
	gate       platformGate
}

// NewManager returns a manager without any tokens. It starts to return the
// unused tokens of the previous run on this machine.
func NewManager(opts Options) *Manager {
	m := &Manager{opts: opts, workers: make(map[string]*accountWorker), gate: newPlatformGate()}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.noteWriter = newNoteWriter(m)
	m.wg.Go(m.noteWriter.run)
	return m
}

// Reservation is a number of tokens set aside for one request.
type Reservation interface {
	// Settle ends the reservation, of which used tokens were consumed. It must
	// be called exactly once.
	Settle(used int64)
}

// Unlimited is the reservation of a request that no prepaid amount limits.
type Unlimited struct{}

// Settle implements Reservation.
func (Unlimited) Settle(int64) {}

// heldReservation is a reservation of tokens that this router holds.
type heldReservation struct {
	worker *accountWorker
	tokens int64
}

// Reserve sets aside the most tokens that a request can consume, and waits up to
// maxWait for them. The id is the request's, for logs. Rank is the priority of
// the request, 0 the most urgent; scarce tokens are kept for urgent requests. The
// kind of the error is BudgetUnreachable or BudgetExhausted, or Draining after
// Close. A workspace without a prepaid amount has no limit.
func (m *Manager) Reserve(ctx context.Context, id string, w *catalog.Workspace, tokens int64, rank int, maxWait time.Duration) (Reservation, error) {
	if !Limited(w) {
		return Unlimited{}, nil
	}
	aw := m.worker(w.Name)
	if aw == nil {
		return nil, errkind.New(errkind.Draining, "this router is stopping")
	}
	err := aw.reserve(ctx, &waiter{requestID: id, tokens: tokens, rank: rank, result: make(chan error, 1)}, *w.PrepaidTokens, maxWait)
	if err != nil {
		return nil, err
	}
	return &heldReservation{worker: aw, tokens: tokens}, nil
}

// ReserveHeld sets tokens aside only if this router holds enough already. It
// makes no call and doesn't count as demand at this router.
func (m *Manager) ReserveHeld(w *catalog.Workspace, tokens int64, rank int) (Reservation, bool) {
	if !Limited(w) {
		return Unlimited{}, true
	}
	aw := m.knownWorker(w.Name)
	if aw == nil || !aw.reserveHeld(tokens, rank, *w.PrepaidTokens) {
		return nil, false
	}
	return &heldReservation{worker: aw, tokens: tokens}, true
}

// Limited reports whether a prepaid amount limits the workspace, which may be
// nil.
func Limited(w *catalog.Workspace) bool { return w != nil && w.PrepaidTokens != nil }

// Settle implements Reservation.
func (r *heldReservation) Settle(used int64) {
	r.worker.settle(r.tokens, min(used, r.tokens))
}

// Apply sets the prepaid amounts of a new configuration.
func (m *Manager) Apply(c *catalog.Catalog) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, aw := range m.workers {
		w := c.Workspace(name)
		if w != nil && w.PrepaidTokens != nil {
			aw.setPrepaid(*w.PrepaidTokens)
		}
	}
}

// worker returns the worker of the workspace and starts it when needed. It
// returns nil after Close.
func (m *Manager) worker(workspace string) *accountWorker {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil
	}
	aw := m.workers[workspace]
	if aw == nil {
		aw = newAccountWorker(m, workspace)
		m.workers[workspace] = aw
		m.wg.Go(aw.run)
	}
	return aw
}

// knownWorker returns the worker of the workspace, or nil if there is none or the
// manager is closed.
func (m *Manager) knownWorker(workspace string) *accountWorker {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil
	}
	return m.workers[workspace]
}

// Close returns all tokens that aren't reserved to the platform. It returns once
// they are committed, or the error of ctx.
func (m *Manager) Close(ctx context.Context) error {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	workers := m.allWorkers()
	m.wg.Wait()
	var group conc.WaitGroup
	for _, aw := range workers {
		group.Go(func() { aw.returnAll(ctx) })
	}
	group.Wait()
	return ctx.Err()
}

// allWorkers returns the workers of all workspaces.
func (m *Manager) allWorkers() []*accountWorker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Values(m.workers))
}

// rowKeys returns the keys of a workspace's total row and of a holder's row.
func rowKeys(workspace, holder string) (totalKey, holderKey string) {
	prefix := "prepaid/" + workspace + "/"
	return prefix + "total", prefix + "holder." + holder
}

// insufficientError returns the refusal of a request that the balance doesn't cover; since
// is when the balance was first too low, or zero. If waiters are served by priority, the
// Retry-After is as long as the balance has been too low, so that callers don't come back
// again and again.
func (m *Manager) insufficientError(since, now time.Time) error {
	short := time.Duration(0)
	if !since.IsZero() {
		short = now.Sub(since)
	}
	retryAfter := insufficientRetryAfter
	if m.opts.ByPriority {
		retryAfter = max(retryAfter, short)
	}
	if short <= exhaustedAfter {
		return errkind.New(errkind.BudgetUnreachable, "the prepaid balance doesn't cover this request now").WithRetryAfter(retryAfter)
	}
	exhausted := errkind.New(errkind.BudgetExhausted, "the prepaid balance doesn't cover this request")
	if m.opts.ByPriority {
		return exhausted.WithRetryAfter(retryAfter)
	}
	return exhausted
}
