package ledger

import (
	"context"
	"sync/atomic"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
)

const (
	// refusalTTL is how long the refusal of a fetch applies to later requests.
	refusalTTL = 500 * time.Millisecond
	// exhaustedRetryAfter is the retry delay advised if a budget is exhausted.
	exhaustedRetryAfter = 30 * time.Second
	// unreachableRetryAfter is the retry delay advised if the tokens that exist
	// cannot be reached, or if too many bills are unsettled.
	unreachableRetryAfter = 2 * time.Second
)

// Reservation is a number of tokens reserved for one run of a request. It ends
// with the first call of Settle, SettleReplicated, SettleUnknown, Release or
// HandOver; later calls have no effect.
type Reservation struct {
	l         *Ledger
	account   *account
	request   string
	workspace string
	run       string
	parts     budget.Parts
	tokens    int64
	ended     atomic.Bool
	// takenOver is true if an entry of another router covers the run.
	takenOver bool
}

// Reserve reserves tokens for a request before it is dispatched. If this router
// has too few, it fetches more from the budget's home, the platform and the
// peers, for a bounded time.
func (l *Ledger) Reserve(ctx context.Context, budgetName, workspace, requestID string, tokens int64) (*Reservation, error) {
	if err := budget.CheckAmount(tokens); err != nil {
		return nil, err
	}
	if err := l.checkAdmission(); err != nil {
		return nil, err
	}
	a := l.accounts.getOrCreate(l.self.Incarnation, budgetName)
	parts, ok := l.reserveLocal(a, tokens)
	if !ok {
		var err error
		parts, err = l.reserveWithFetch(ctx, a, tokens)
		if err != nil {
			return nil, err
		}
	}
	return &Reservation{l: l, account: a, request: requestID, workspace: workspace, parts: parts, tokens: tokens}, nil
}

func (l *Ledger) checkAdmission() error {
	if l.draining.Load() {
		return errkind.New(errkind.Draining, "this router is stopping")
	}
	if l.bills.full.Load() {
		l.counters.refusedFull.Add(1)
		return errkind.New(errkind.PlatformDown, "too many bills are waiting to be settled").WithRetryAfter(unreachableRetryAfter)
	}
	return nil
}

// reserveLocal reserves from the free tokens of this router, and starts a
// prefetch if they run low.
func (l *Ledger) reserveLocal(a *account, tokens int64) (budget.Parts, bool) {
	now := l.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rate.Add(now, tokens)
	if a.holder.Free() < tokens {
		return budget.Parts{}, false
	}
	parts, err := a.holder.Reserve(tokens)
	if err != nil {
		return budget.Parts{}, false
	}
	a.liveReservations++
	if l.policy.IsLow(a.holder.Free(), a.rate.At(now), a.horizon(l.policy)) && now.After(a.nextPrefetch) {
		l.startFetch(a)
	}
	return parts, true
}

// reserveWithFetch waits for fetches until the tokens are reserved, a fetch has
// failed, or the time limit has passed.
func (l *Ledger) reserveWithFetch(ctx context.Context, a *account, tokens int64) (budget.Parts, error) {
	ctx, cancel := context.WithTimeout(ctx, l.searchTimeout)
	defer cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending += tokens
	defer func() { a.pending -= tokens }()
	for first := true; ; first = false {
		if parts, err := a.holder.Reserve(tokens); err == nil {
			a.liveReservations++
			return parts, nil
		}
		if refusal := a.refusalFor(tokens, l.now()); refusal != nil {
			return budget.Parts{}, l.countRefusal(refusal)
		}
		if a.refusal != nil && !first {
			return budget.Parts{}, l.countRefusal(a.refusal)
		}
		if !l.awaitFetch(ctx, a) {
			return budget.Parts{}, l.countRefusal(unreachableError(a.name))
		}
	}
}

func (l *Ledger) countRefusal(e *errkind.Error) error {
	if e.Kind == errkind.BudgetExhausted {
		l.counters.refusedExhausted.Add(1)
	} else {
		l.counters.refusedUnreachable.Add(1)
	}
	return e
}

func unreachableError(name string) *errkind.Error {
	return errkind.New(errkind.BudgetUnreachable, "tokens of budget %s cannot be reached now", name).WithRetryAfter(unreachableRetryAfter)
}

func exhaustedError(name string) *errkind.Error {
	return errkind.New(errkind.BudgetExhausted, "budget %s has no tokens left", name).WithRetryAfter(exhaustedRetryAfter)
}

// Tokens returns the reserved tokens.
func (r *Reservation) Tokens() int64 { return r.tokens }

// SetRun sets the id of the engine's run, so that entries of several routers
// for one stream form one bill. Without it, each reservation is a separate run.
func (r *Reservation) SetRun(run string) { r.run = run }

// Settle bills the exact usage and frees the remaining tokens. If the usage
// exceeds the reservation, it bills the reserved tokens and returns an error.
func (r *Reservation) Settle(tokens int64) error {
	_, err := r.settle(tokens)
	return err
}

// settle ends the reservation and returns its entry, or nil if it had already
// ended.
func (r *Reservation) settle(tokens int64) (*pb.BillEntry, error) {
	if tokens < 0 || tokens > budget.MaxTokens {
		return nil, errkind.New(errkind.BadAmount, "usage of %d tokens is out of range", tokens)
	}
	if !r.ended.CompareAndSwap(false, true) {
		return nil, nil
	}
	entry := r.end(min(tokens, r.tokens), false)
	if tokens <= r.tokens {
		return entry, nil
	}
	r.l.counters.overrunTokens.Add(tokens - r.tokens)
	return entry, errkind.New(errkind.BillOverReservation, "request %s used %d tokens of %d reserved", r.request, tokens, r.tokens)
}

// Release frees the tokens of a run that did not start. For a run that was
// taken over it does nothing, because that run has started.
func (r *Reservation) Release() {
	if r.takenOver || !r.ended.CompareAndSwap(false, true) {
		return
	}
	a := r.account
	a.mu.Lock()
	a.holder.Release(&r.parts)
	a.liveReservations--
	a.mu.Unlock()
}

// SettleUnknown bills the reserved tokens as usage unknown; they stay in doubt
// until the usage is reported. A run that was taken over needs no entry,
// because its covering entry is already billed as usage unknown.
func (r *Reservation) SettleUnknown() {
	if !r.ended.CompareAndSwap(false, true) {
		return
	}
	if !r.takenOver {
		r.end(r.tokens, true)
	}
}

// end bills tokens and returns the entry. The entry is stored under the
// account's lock, so that a fence never misses it.
func (r *Reservation) end(tokens int64, unknown bool) *pb.BillEntry {
	e := budget.OutboxEntry{RequestID: r.request, RunID: r.run, Budget: r.account.name, Workspace: r.workspace, Tokens: tokens, UsageUnknown: unknown}
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !r.takenOver {
		billed, err := a.holder.Settle(&r.parts, tokens)
		if err != nil {
			panic(err) // unreachable: the amount is at most the reservation
		}
		e.Parts = billed
		a.liveReservations--
	}
	stored := r.l.bills.add(e, true)
	r.l.record(pb.EventKind_EVENT_KIND_BILLED, a.name, r.request, "", tokens)
	return stored
}
