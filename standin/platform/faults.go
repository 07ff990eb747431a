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

// Outage is how the platform fails as a whole.
type Outage string

// The outages.
const (
	// OutageNone is a platform that answers.
	OutageNone Outage = ""
	// OutageRefuse refuses each call before it looks at it.
	OutageRefuse Outage = "refuse"
	// OutageUnavailable answers as a broken connection does.
	OutageUnavailable Outage = "unavailable"
	// OutageHang never answers.
	OutageHang Outage = "hang"
)

// Faults are the faults of one door. The zero value is a healthy platform.
type Faults struct {
	// Outage is the failure of every call.
	Outage Outage `json:"outage,omitempty"`
	// LatencyMs and JitterMs delay every call, in milliseconds; the jitter is
	// uniform.
	LatencyMs int64 `json:"latency_ms,omitempty"`
	JitterMs  int64 `json:"jitter_ms,omitempty"`
	// DropResponsePermille of the commits take effect and are not answered.
	DropResponsePermille int `json:"lose_answer_permille,omitempty"`
	// DropResponseNext commits do so next, whatever the permille.
	DropResponseNext int `json:"lose_answer_next,omitempty"`
	// LateCommitPermille of the commits take effect LateByMs milliseconds
	// after the caller gave up.
	LateCommitPermille int   `json:"late_commit_permille,omitempty"`
	LateCommitDelayMs  int64 `json:"late_by_ms,omitempty"`
	// LateCommitNext commits do so next, whatever the permille.
	LateCommitNext int `json:"late_commit_next,omitempty"`
	// VMListLagMs is the age of the VM list that is answered, in milliseconds.
	VMListLagMs int64 `json:"vm_lag_ms,omitempty"`
}

// permilleWhole is the whole of which a permille is a part.
const permilleWhole = 1000

func (f Faults) check() error {
	switch f.Outage {
	case OutageNone, OutageRefuse, OutageUnavailable, OutageHang:
	default:
		return trace.BadParameter("outage: unknown value %q", f.Outage)
	}
	if min(f.LatencyMs, f.JitterMs, f.LateCommitDelayMs, f.VMListLagMs) < 0 {
		return trace.BadParameter("a time is negative")
	}
	if max(f.DropResponsePermille, f.LateCommitPermille) > permilleWhole {
		return trace.BadParameter("a permille is above %d", permilleWhole)
	}
	return nil
}

// commitFate is what happens to one commit.
type commitFate int

const (
	fateAnswered commitFate = iota
	fateAnswerLost
	fateLate
)

// gate applies the faults of one door.
type gate struct {
	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
	// changed is closed when the faults are replaced, so that a call that
	// hangs sees the end of the outage.
	changed chan struct{}
}

func newGate(seed uint64, door int) *gate {
	return &gate{rng: rand.New(rand.NewPCG(seed, uint64(door))), changed: make(chan struct{})}
}

func (g *gate) set(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *gate) get() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

// enter delays or fails one call before the platform looks at it.
func (g *gate) enter(ctx context.Context) error {
	for {
		faults, changed, delay := g.draw()
		switch faults.Outage {
		case OutageRefuse:
			return status.Error(codes.ResourceExhausted, "outage")
		case OutageUnavailable:
			return status.Error(codes.Unavailable, "outage")
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

func (g *gate) draw() (Faults, <-chan struct{}, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delayMs := g.faults.LatencyMs
	if g.faults.JitterMs > 0 {
		delayMs += g.rng.Int64N(g.faults.JitterMs + 1)
	}
	return g.faults, g.changed, time.Duration(delayMs) * time.Millisecond
}

// commitFate decides what happens to the next commit, and the delay of a
// late one.
func (g *gate) commitFate() (commitFate, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	late := time.Duration(g.faults.LateCommitDelayMs) * time.Millisecond
	if g.hit(&g.faults.DropResponseNext, g.faults.DropResponsePermille) {
		return fateAnswerLost, 0
	}
	if g.hit(&g.faults.LateCommitNext, g.faults.LateCommitPermille) {
		return fateLate, late
	}
	return fateAnswered, 0
}

// hit counts down a number of ordered faults, then draws by permille.
func (g *gate) hit(next *int, permille int) bool {
	if *next > 0 {
		*next--
		return true
	}
	return permille > 0 && g.rng.IntN(permilleWhole) < permille
}

// sleep waits for d or until the caller gave up.
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
