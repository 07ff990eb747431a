// Package prepaid keeps what this router holds of every workspace's prepaid
// tokens in step with the platform's rows.
//
// A request passes only on tokens that are held already. Each workspace has a
// keeper, a goroutine that takes and gives back tokens one transaction at a
// time, by the rules of package allotment. A transaction without an answer is
// sent again on the same versions: the rows' versions let one of the two
// commit, and the other's refusal brings the rows as they are.
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
	"cuminrock.example/router/platform"
)

const (
	// exhaustedAfter is how long a balance must have been too low until a
	// refusal calls it exhausted: what other routers hold unused is back by then.
	exhaustedAfter = 4 * time.Second
	// refusedRetry is advised where the balance may grow again soon.
	refusedRetry = time.Second
)

// Options is what a Book works with. All fields are required.
type Options struct {
	Tables platform.Tables
	Clock  platform.Clock
	// Machine names the machine: a run of the same machine proves that the
	// runs before it have ended.
	Machine string
	// Holder names this run of the router; no other run ever has the name.
	Holder string
	// PreviousRunsEndedBy is a time at which the runs before it had ended.
	PreviousRunsEndedBy time.Time
	Metrics             *Metrics
	Log                 *zap.Logger
	Now                 func() time.Time
}

// Manager is the tokens held by this router. It is safe for concurrent use.
type Manager struct {
	opts Options

	mu      sync.Mutex
	keepers map[string]*keeper
	closed  bool
	// life ends with Close.
	life context.Context
	end  context.CancelFunc
	work conc.WaitGroup

	noter *noter
}

// NewManager returns a book that holds nothing, and begins to give back what the
// run before it on this machine left.
func NewManager(opts Options) *Manager {
	b := &Manager{opts: opts, keepers: make(map[string]*keeper)}
	b.life, b.end = context.WithCancel(context.Background())
	b.noter = newNoter(b)
	b.work.Go(b.noter.run)
	return b
}

// Reservation is a reservation. Settle ends it and is called exactly once.
type Reservation struct {
	keeper *keeper
	tokens int64
}

// Reserve sets tokens aside for a request at its most, and waits up to patience
// for them. The id is the request's, for logs. Rank says how urgent the request is, 0 the most: scarce tokens are
// kept for urgent ones. The error's kind is BudgetUnreachable or BudgetExhausted.
func (b *Manager) Reserve(ctx context.Context, id string, w *catalog.Workspace, tokens int64, rank int, patience time.Duration) (*Reservation, error) {
	if w == nil || w.PrepaidTokens == nil {
		return &Reservation{}, nil
	}
	k := b.keeper(w.Name)
	if k == nil {
		return nil, errkind.New(errkind.Draining, "this router is stopping")
	}
	err := k.reserve(ctx, &waiter{request: id, tokens: tokens, rank: rank, done: make(chan error, 1)}, *w.PrepaidTokens, patience)
	if err != nil {
		return nil, err
	}
	return &Reservation{keeper: k, tokens: tokens}, nil
}

// Settle ends the reservation; used tokens were consumed.
func (h *Reservation) Settle(used int64) {
	if h.keeper != nil {
		h.keeper.settle(h.tokens, min(used, h.tokens))
	}
}

// Apply takes the prepaid amounts of a new configuration.
func (b *Manager) Apply(c *catalog.Catalog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, k := range b.keepers {
		w := c.Workspace(name)
		if w != nil && w.PrepaidTokens != nil {
			k.setPrepaid(*w.PrepaidTokens)
		}
	}
}

// keeper returns the workspace's keeper, starting one where needed; nil after
// Close.
func (b *Manager) keeper(workspace string) *keeper {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	k := b.keepers[workspace]
	if k == nil {
		k = newKeeper(b, workspace)
		b.keepers[workspace] = k
		b.work.Go(k.run)
	}
	return k
}

// Close gives back all that isn't reserved. It returns when the platform took
// it, or with the error of ctx.
func (b *Manager) Close(ctx context.Context) error {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.end()
	keepers := b.all()
	b.work.Wait()
	var group conc.WaitGroup
	for _, k := range keepers {
		group.Go(func() { k.returnAll(ctx) })
	}
	group.Wait()
	return ctx.Err()
}

// all returns the keepers.
func (b *Manager) all() []*keeper {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Values(b.keepers))
}

// rowKeys returns the keys of the rows of a workspace and a holder.
func rowKeys(workspace, holder string) (totalKey, holderKey string) {
	prefix := "prepaid/" + workspace + "/"
	return prefix + "total", prefix + "holder." + holder
}

// shortOf makes the refusal of a request that the balance doesn't cover.
func shortOf(since, now time.Time) error {
	if !since.IsZero() && now.Sub(since) > exhaustedAfter {
		return errkind.New(errkind.BudgetExhausted, "the prepaid balance doesn't cover this request")
	}
	return errkind.New(errkind.BudgetUnreachable, "the prepaid balance doesn't cover this request now").WithRetryAfter(refusedRetry)
}
