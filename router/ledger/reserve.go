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
	// refusalHold is how long a search's refusal stands for later requests.
	refusalHold = 500 * time.Millisecond
	// exhaustedRetryAfter is advised where a budget has nothing left.
	exhaustedRetryAfter = 30 * time.Second
	// unreachableRetryAfter is advised where tokens exist out of reach.
	unreachableRetryAfter = 2 * time.Second
)

// Reservation is a number of tokens set aside for one run of a request. It
// ends with one call of Settle, Release, Unknown or HandOver; later calls
// change nothing.
type Reservation struct {
	l         *Ledger
	account   *account
	request   string
	workspace string
	run       string
	parts     budget.Parts
	tokens    int64
	ended     atomic.Bool
	// taken is true where an entry of another router covers the run.
	taken bool
}

// Reserve sets tokens aside for a request before it is dispatched. Where too
// few are here it looks for more at the budget's home, the platform and the
// peers, for a bounded time.
func (l *Ledger) Reserve(ctx context.Context, budgetName, workspace, requestID string, tokens int64) (*Reservation, error) {
	if err := budget.CheckAmount(tokens); err != nil {
		return nil, err
	}
	if err := l.admits(); err != nil {
		return nil, err
	}
	a := l.accounts.get(l.self.Incarnation, budgetName)
	parts, ok := l.reserveHere(a, tokens)
	if !ok {
		var err error
		parts, err = l.reserveSearching(ctx, a, tokens)
		if err != nil {
			return nil, err
		}
	}
	return &Reservation{l: l, account: a, request: requestID, workspace: workspace, parts: parts, tokens: tokens}, nil
}

func (l *Ledger) admits() error {
	if l.draining.Load() {
		return errkind.New(errkind.Draining, "this router is stopping")
	}
	if l.box.full.Load() {
		l.counters.refusedFull.Add(1)
		return errkind.New(errkind.PlatformDown, "too many bills wait for the platform").WithRetryAfter(unreachableRetryAfter)
	}
	return nil
}

// reserveHere reserves out of what is here and fetches ahead of need.
func (l *Ledger) reserveHere(a *account, tokens int64) (budget.Parts, bool) {
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
	a.outstanding++
	if l.policy.IsLow(a.holder.Free(), a.rate.At(now), a.horizon(l.policy)) && now.After(a.fetchAhead) {
		l.startFetch(a)
	}
	return parts, true
}

// reserveSearching waits for searches until the tokens are here or it is
// known that they can't be had in time.
func (l *Ledger) reserveSearching(ctx context.Context, a *account, tokens int64) (budget.Parts, error) {
	ctx, cancel := context.WithTimeout(ctx, l.search)
	defer cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting += tokens
	defer func() { a.waiting -= tokens }()
	for first := true; ; first = false {
		if parts, err := a.holder.Reserve(tokens); err == nil {
			a.outstanding++
			return parts, nil
		}
		if refusal := a.refuses(tokens, l.now()); refusal != nil {
			return budget.Parts{}, l.refused(refusal)
		}
		if a.refusal != nil && !first {
			return budget.Parts{}, l.refused(a.refusal)
		}
		if !l.awaitFetch(ctx, a) {
			return budget.Parts{}, l.refused(unreachable(a.name))
		}
	}
}

func (l *Ledger) refused(e *errkind.Error) error {
	if e.Kind == errkind.BudgetExhausted {
		l.counters.refusedExhausted.Add(1)
	} else {
		l.counters.refusedUnreachable.Add(1)
	}
	return e
}

func unreachable(name string) *errkind.Error {
	return errkind.New(errkind.BudgetUnreachable, "tokens of budget %s can't be reached now", name).WithRetryAfter(unreachableRetryAfter)
}

func exhausted(name string) *errkind.Error {
	return errkind.New(errkind.BudgetExhausted, "budget %s has no tokens left", name).WithRetryAfter(exhaustedRetryAfter)
}

// Tokens returns the reserved tokens.
func (r *Reservation) Tokens() int64 { return r.tokens }

// SetRun names the engine's run, so that entries of several routers about one
// stream make one bill. Without it each reservation is a run of its own.
func (r *Reservation) SetRun(run string) { r.run = run }

// Settle bills the exact usage and frees the rest. Usage beyond the
// reservation is an error; the bill is then the reservation.
func (r *Reservation) Settle(tokens int64) error {
	_, err := r.settle(tokens)
	return err
}

// settle ends the reservation and returns the entry; nil where it had ended.
func (r *Reservation) settle(tokens int64) (*pb.BillEntry, error) {
	if tokens < 0 || tokens > budget.MaxTokens {
		return nil, errkind.New(errkind.BadAmount, "usage of %d tokens", tokens)
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

// Release frees the tokens of a run that didn't start. A run that was taken
// over has started.
func (r *Reservation) Release() {
	if r.taken || !r.ended.CompareAndSwap(false, true) {
		return
	}
	a := r.account
	a.mu.Lock()
	a.holder.Release(&r.parts)
	a.outstanding--
	a.mu.Unlock()
}

// SettleUnknown bills the bound, held in doubt until the usage is known. For a run
// that was taken over, its covering entry does that already.
func (r *Reservation) SettleUnknown() {
	if !r.ended.CompareAndSwap(false, true) {
		return
	}
	if !r.taken {
		r.end(r.tokens, true)
	}
}

// end bills tokens and returns the entry. It is kept under the account's
// lock, so that a fence never misses it.
func (r *Reservation) end(tokens int64, unknown bool) *pb.BillEntry {
	e := budget.OutboxEntry{RequestID: r.request, RunID: r.run, Budget: r.account.name, Workspace: r.workspace, Tokens: tokens, UsageUnknown: unknown}
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !r.taken {
		billed, err := a.holder.Settle(&r.parts, tokens)
		if err != nil {
			panic(err) // The amount was checked against the reservation.
		}
		e.Parts = billed
		a.outstanding--
	}
	kept := r.l.box.add(e, true)
	r.l.record(pb.EventKind_EVENT_KIND_BILLED, a.name, r.request, "", tokens)
	return kept
}
