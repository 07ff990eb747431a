package admission

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"cuminrock.example/fleet/admission"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
)

// slots is an Estimator of targets that have a slot free after a time; a negative time
// means that nothing is known.
type slots struct{ free atomic.Int64 }

func (s *slots) Estimate(*placement.Request) admission.Estimate {
	free := time.Duration(s.free.Load())
	if free < 0 {
		return admission.Estimate{}
	}
	return admission.Estimate{Known: true, At: time.Now(), SlotFree: free, FirstEvent: free + 10*time.Millisecond}
}

// newGate returns a gate whose targets have a slot free after a time. A request has just
// been started, so that the gate makes no trial.
func newGate(free time.Duration) (*Gate, *slots) {
	s := &slots{}
	g := New(Options{ServiceApplies: func(string) bool { return true }, Estimator: s, Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(), Now: time.Now})
	admit(context.Background(), g, 9).ticket.Placed()
	s.free.Store(int64(free))
	return g, s
}

type admitted struct {
	ticket  *Ticket
	refusal *errkind.Error
}

// admit asks for a slot for a request with a latency goal of 0.8 s, and 10 s left.
func admit(ctx context.Context, g *Gate, rank int) admitted {
	now := time.Now()
	ticket, refusal := g.Admit(ctx, "1", admission.Request{Rank: rank, Cost: 1, Arrived: now, Deadline: now.Add(10 * time.Second), Goal: 800 * time.Millisecond}, &placement.Request{Service: "s", Now: now})
	return admitted{ticket, refusal}
}

// admitLater does it on another goroutine, and waits until that waits.
func admitLater(ctx context.Context, g *Gate, rank int) <-chan admitted {
	result := make(chan admitted, 1)
	go func() { result <- admit(ctx, g, rank) }()
	synctest.Wait()
	return result
}

// Guards against a free slot that a waiting request isn't given until its wait ends.
func TestWaitingRequestGetsASlotThatBecomesFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, targets := newGate(50 * time.Millisecond)
		result := admitLater(context.Background(), g, 0)
		time.Sleep(25 * time.Millisecond)
		targets.free.Store(0)
		got := <-result
		is.Equal(got.refusal, nil)
		is.True(got.ticket.Waited <= 25*time.Millisecond+pollInterval)
	})
}

// Guards against estimates that disappear while requests wait: these are sent at once.
func TestMissingEstimateEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, targets := newGate(50 * time.Millisecond)
		first, second := admitLater(context.Background(), g, 0), admitLater(context.Background(), g, 1)
		targets.free.Store(-1)
		is.True((<-first).ticket.Waited <= pollInterval)
		is.True((<-second).ticket.Waited <= pollInterval)
		is.Equal(admit(context.Background(), g, 0).ticket.Waited, time.Duration(0))
	})
}

// Guards against places in the queue that callers keep who left.
func TestCallerThatLeavesIsRemovedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGate(50 * time.Millisecond)
		ctx, leave := context.WithCancel(context.Background())
		result := admitLater(ctx, g, 0)
		is.Equal(g.services["s"].queue.Len(), 1)
		leave()
		got := <-result
		is.True(got.ticket == nil && got.refusal == nil)
		is.Equal(g.services["s"].queue.Len(), 0)
		is.Equal(len(g.services["s"].waiting), 0)
	})
}

// Guards against a planned stop that interrupts waiting requests, or refuses later ones.
func TestStopSendsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGate(50 * time.Millisecond)
		result := admitLater(context.Background(), g, 0)
		g.Stop()
		is.True((<-result).ticket != nil)
		is.True(admit(context.Background(), g, 9).ticket != nil)
	})
}

// Guards against refusals that don't tell for how long no slot is expected, or name another
// cause.
func TestRefusalsTellWhenASlotIsExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, targets := newGate(2 * time.Second)
		refusal := admit(context.Background(), g, 2).refusal
		is.Equal(refusal.Kind, errkind.NoSlot)
		is.Equal(refusal.RetryAfter, 2*time.Second)
		targets.free.Store(int64(20 * time.Second))
		is.Equal(admit(context.Background(), g, 2).refusal.Kind, errkind.DeadlineTooShort)
	})
}

// Guards against callers that all come back to a long shortage of tokens after the same
// short time.
func TestTokenRefusalsGrowWithTheShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGate(0)
		first := g.TokensRefused("w", 100, 0, 0, time.Minute)
		time.Sleep(4 * time.Second)
		second := g.TokensRefused("w", 100, 0, 0, time.Minute)
		is.True(first < 500*time.Millisecond)
		is.True(second >= 4*time.Second && second <= 5*time.Second)
		is.True(g.TokensRefused("w", 100, 3, 0, time.Minute) > second) // less urgent
		g.TokensReserved("w", 100)
		is.True(g.TokensRefused("w", 100, 0, 0, time.Minute) < 500*time.Millisecond)
	})
}

// Guards against requests that nothing decides on while others arrive, end and leave at the
// same time.
func TestConcurrentRequestsAreAllDecided(t *testing.T) {
	is := is.New(t)
	g, targets := newGate(time.Millisecond)
	var group conc.WaitGroup
	var decided atomic.Int64
	for i := range 300 {
		group.Go(func() {
			ctx, leave := context.WithTimeout(context.Background(), time.Duration(i%100+1)*time.Millisecond)
			defer leave()
			targets.free.Store(int64(i%3) * int64(time.Millisecond))
			got := admit(ctx, g, i%4)
			if got.ticket != nil || got.refusal != nil || ctx.Err() != nil {
				decided.Add(1)
			}
			got.ticket.Placed()
			got.ticket.FirstEvent()
			got.ticket.Ended()
		})
	}
	group.Wait()
	is.Equal(decided.Load(), int64(300))
	is.Equal(len(g.services["s"].waiting), 0)
	is.Equal(g.services["s"].queue.Len(), 0)
}
