// Package retry decides whether a failed call is sent again.
//
// A call is sent again only if that is safe: it is idempotent, or the failure
// proves that it wasn't run. A Budget limits the retries of all requests
// together to a fraction of the requests, so that they can't multiply the load
// of failing targets. Backoff has full jitter (Brooker, "Exponential Backoff
// and Jitter", AWS Architecture Blog, 2015).
package retry

import (
	"sync/atomic"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// budgetUnit is one retry in the fixed-point representation of a budget.
const budgetUnit = 1000

// Budget is a token bucket that requests fill and retries drain. It is safe for
// concurrent use.
type Budget struct {
	permille int64
	capacity int64
	tokens   atomic.Int64
}

// NewBudget returns a budget that allows permille retries per 1,000 requests.
// It starts with burst retries and accumulates at most that many.
func NewBudget(permille, burst int) *Budget {
	b := &Budget{permille: int64(permille), capacity: int64(burst) * budgetUnit}
	b.tokens.Store(b.capacity)
	return b
}

// Deposit counts one request.
func (b *Budget) Deposit() {
	for {
		old := b.tokens.Load()
		next := min(old+b.permille, b.capacity)
		if old == next || b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// Withdraw takes one retry. It returns false if none is left.
func (b *Budget) Withdraw() bool {
	if b.tokens.Add(-budgetUnit) >= 0 {
		return true
	}
	b.tokens.Add(budgetUnit)
	return false
}

// Refund gives back a retry that wasn't used.
func (b *Budget) Refund() {
	for {
		old := b.tokens.Load()
		if b.tokens.CompareAndSwap(old, min(old+budgetUnit, b.capacity)) {
			return
		}
	}
}

// Policy limits the retries of one request.
type Policy struct {
	// MaxAttempts is the maximum number of sends of one request.
	MaxAttempts int
	// MinBackoff and MaxBackoff bound the upper limit of the random backoff,
	// which doubles with each attempt.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MinRemaining is the time to the deadline, after the backoff, below which
	// a retry can't be answered any more.
	MinRemaining time.Duration
}

// DefaultPolicy returns the policy of the router daemon.
func DefaultPolicy() Policy {
	return Policy{
		MaxAttempts:  4,
		MinBackoff:   10 * time.Millisecond,
		MaxBackoff:   250 * time.Millisecond,
		MinRemaining: 20 * time.Millisecond,
	}
}

// Failure is one failed send.
type Failure struct {
	// Attempts counts the sends so far, from 1 for the first.
	Attempts int
	// Call is the kind of the call that was sent.
	Call pb.CallKind
	// Kind is the kind of the failure.
	Kind errkind.Kind
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
	// Random is a random number for the jitter.
	Random uint64
}

// Next returns the backoff before the next send, or false if the failure is
// final. It withdraws from the budget only if it returns true.
func (p Policy) Next(b *Budget, f Failure) (time.Duration, bool) {
	if f.Attempts >= p.MaxAttempts || !retryable(f.Call, f.Kind) {
		return 0, false
	}
	delay := p.backoff(f)
	if f.Remaining < delay+p.MinRemaining {
		return 0, false
	}
	return delay, b.Withdraw()
}

// backoff returns a random time below the limit of the attempt.
func (p Policy) backoff(f Failure) time.Duration {
	bound := min(p.MinBackoff<<min(f.Attempts-1, 16), p.MaxBackoff)
	return time.Duration(f.Random % uint64(bound))
}

// retryable reports whether another send is safe and may succeed.
func retryable(call pb.CallKind, kind errkind.Kind) bool {
	switch kind {
	case errkind.TargetUnreachable, errkind.TargetRefused:
		return true
	case errkind.TargetFailed, errkind.TargetSilent, errkind.AnswerMismatch:
		return call == pb.CallKind_CALL_KIND_LOOKUP || call == pb.CallKind_CALL_KIND_MODEL
	default:
		return false
	}
}
