// Package retry decides whether a failed call is sent again.
//
// A call is sent again only if that can do no harm: it is idempotent, or the
// failure proves that it wasn't run. Retries of all requests together are
// bounded by a Budget in proportion to requests, so that they can't multiply
// the load of targets that fail. Waits have full jitter (Brooker, "Exponential
// Backoff and Jitter", AWS Architecture Blog, 2015).
package retry

import (
	"sync/atomic"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// budgetUnit is one retry in a budget's fixed point.
const budgetUnit = 1000

// Budget is a token bucket that requests fill and retries drain. It is safe for
// concurrent use.
type Budget struct {
	permille int64
	capacity int64
	tokens   atomic.Int64
}

// NewBudget returns a budget of permille retries per 1,000 requests, with a
// burst of retries saved up at the start and at most.
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

// Withdraw takes one retry. It reports false when none is left.
func (b *Budget) Withdraw() bool {
	if b.tokens.Add(-budgetUnit) >= 0 {
		return true
	}
	b.tokens.Add(budgetUnit)
	return false
}

// Policy bounds the retries of one request.
type Policy struct {
	// MaxAttempts is the highest number of sends of one request.
	MaxAttempts int
	// MinBackoff and MaxWait bound the wait before a retry; it doubles between.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// MinRemaining is the time below which a retry can't be answered any more.
	MinRemaining time.Duration
}

// DefaultPolicy returns the policy of the daemon.
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
	// Attempts counts the sends so far, from 1.
	Attempts int
	// Call is what was sent.
	Call pb.CallKind
	// Kind is how it failed.
	Kind errkind.Kind
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
	// Random is a random number for the jitter.
	Random uint64
}

// Next returns how long to wait before the next send, and false when the
// failure is final. It withdraws from the budget only when it returns true.
func (p Policy) Next(b *Budget, f Failure) (time.Duration, bool) {
	if f.Attempts >= p.MaxAttempts || !repeatable(f.Call, f.Kind) {
		return 0, false
	}
	wait := p.wait(f)
	if f.Remaining < wait+p.MinRemaining {
		return 0, false
	}
	return wait, b.Withdraw()
}

// wait returns a random time below the doubled bound.
func (p Policy) wait(f Failure) time.Duration {
	bound := min(p.MinBackoff<<min(f.Attempts-1, 16), p.MaxBackoff)
	return time.Duration(f.Random % uint64(bound))
}

// repeatable tells whether another send can do no harm and may succeed.
func repeatable(call pb.CallKind, kind errkind.Kind) bool {
	switch kind {
	case errkind.TargetUnreachable, errkind.TargetRefused:
		return true
	case errkind.TargetFailed, errkind.TargetSilent, errkind.AnswerMismatch:
		return call == pb.CallKind_CALL_KIND_LOOKUP || call == pb.CallKind_CALL_KIND_MODEL
	default:
		return false
	}
}
