package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Outage is how an outage of the whole platform appears to callers.
type Outage string

// The kinds of outage.
const (
	// OutageNone means that calls are served.
	OutageNone Outage = ""
	// OutageRefuse fails each call with ResourceExhausted before processing
	// it.
	OutageRefuse Outage = "refuse"
	// OutageUnavailable fails each call with Unavailable, as a broken
	// connection does.
	OutageUnavailable Outage = "unavailable"
	// OutageHang never responds.
	OutageHang Outage = "hang"
)

// Faults are the faults of one listener. The zero value is a healthy platform.
type Faults struct {
	// Outage applies to every call.
	Outage Outage `json:"outage,omitempty"`
	// LatencyMs and JitterMs delay every call, in milliseconds; the jitter is
	// uniformly distributed.
	LatencyMs int64 `json:"latency_ms,omitempty"`
	JitterMs  int64 `json:"jitter_ms,omitempty"`
	// DropResponsePermille of the commits take effect but their response is
	// dropped.
	DropResponsePermille int `json:"lose_answer_permille,omitempty"`
	// DropResponseNext is the number of upcoming commits that do so regardless
	// of DropResponsePermille.
	DropResponseNext int `json:"lose_answer_next,omitempty"`
	// LateCommitPermille of the commits take effect LateCommitDelayMs
	// milliseconds after the caller gave up.
	LateCommitPermille int   `json:"late_commit_permille,omitempty"`
	LateCommitDelayMs  int64 `json:"late_by_ms,omitempty"`
	// LateCommitNext is the number of upcoming commits that do so regardless
	// of LateCommitPermille.
	LateCommitNext int `json:"late_commit_next,omitempty"`
	// VMListLagMs is the age of the VM list that is returned, in milliseconds.
	VMListLagMs int64 `json:"vm_lag_ms,omitempty"`
}

// permilleScale is 100 percent in permille.
const permilleScale = 1000

func (f Faults) check() error {
	switch f.Outage {
	case OutageNone, OutageRefuse, OutageUnavailable, OutageHang:
	default:
		return trace.BadParameter("outage: unknown value %q", f.Outage)
	}
	if min(f.LatencyMs, f.JitterMs, f.LateCommitDelayMs, f.VMListLagMs) < 0 {
		return trace.BadParameter("latency_ms, jitter_ms, late_by_ms and vm_lag_ms must not be negative")
	}
	if max(f.DropResponsePermille, f.LateCommitPermille) > permilleScale {
		return trace.BadParameter("lose_answer_permille and late_commit_permille must not exceed %d", permilleScale)
	}
	return nil
}

// commitFault is the fault that is injected into one commit.
type commitFault int

const (
	commitFaultNone commitFault = iota
	commitFaultDropResponse
	commitFaultLate
)

// faultInjector applies the faults of one listener.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
	// changed is closed when the faults are replaced, so that a call that
	// hangs sees the end of the outage.
	changed chan struct{}
}

func newFaultInjector(seed uint64, index int) *faultInjector {
	return &faultInjector{rng: rand.New(rand.NewPCG(seed, uint64(index))), changed: make(chan struct{})}
}

func (inj *faultInjector) set(f Faults) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.faults = f
	close(inj.changed)
	inj.changed = make(chan struct{})
}

func (inj *faultInjector) get() Faults {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.faults
}

// beforeCall delays or fails one call before the platform processes it.
func (inj *faultInjector) beforeCall(ctx context.Context) error {
	for {
		faults, changed, delay := inj.sampleCall()
		switch faults.Outage {
		case OutageRefuse:
			return status.Error(codes.ResourceExhausted, "injected outage")
		case OutageUnavailable:
			return status.Error(codes.Unavailable, "injected outage")
		case OutageHang:
			select {
			case <-ctx.Done():
				return status.FromContextError(ctx.Err()).Err()
			case <-changed:
				continue
			}
		}
		return sleep(ctx, delay)
	}
}

// sampleCall returns the active faults, the channel that is closed when they
// are replaced, and a sampled latency for one call.
func (inj *faultInjector) sampleCall() (Faults, <-chan struct{}, time.Duration) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	delayMs := inj.faults.LatencyMs
	if inj.faults.JitterMs > 0 {
		delayMs += inj.rng.Int64N(inj.faults.JitterMs + 1)
	}
	return inj.faults, inj.changed, time.Duration(delayMs) * time.Millisecond
}

// nextCommitFault returns the fault for the next commit, and the delay if the
// commit is to take effect late.
func (inj *faultInjector) nextCommitFault() (commitFault, time.Duration) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	delay := time.Duration(inj.faults.LateCommitDelayMs) * time.Millisecond
	if inj.shouldInject(&inj.faults.DropResponseNext, inj.faults.DropResponsePermille) {
		return commitFaultDropResponse, 0
	}
	if inj.shouldInject(&inj.faults.LateCommitNext, inj.faults.LateCommitPermille) {
		return commitFaultLate, delay
	}
	return commitFaultNone, 0
}

// shouldInject uses up the count of upcoming faults first, then samples by
// permille.
func (inj *faultInjector) shouldInject(next *int, permille int) bool {
	if *next > 0 {
		*next--
		return true
	}
	return permille > 0 && inj.rng.IntN(permilleScale) < permille
}

// sleep waits for d, or returns an error once ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-timer.C:
		return nil
	}
}
