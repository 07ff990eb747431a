package prepaid

import (
	"errors"
	"sync"
	"time"

	"cuminrock.example/fleet/breaker"
)

const (
	// minGateClosed and maxGateClosed bound how long no call for tokens is made
	// after the platform failed to answer one.
	minGateClosed = 100 * time.Millisecond
	maxGateClosed = time.Second
)

// errGateClosed means that no call was made, since the platform failed to answer
// the last ones.
var errGateClosed = errors.New("the platform failed to answer the last calls")

// platformGate limits the calls of all workers of a router to a platform that
// doesn't answer: they make one call at a time, at growing intervals, until one
// is answered. Without it, the retries of all workers of all routers would keep
// an overloaded platform overloaded after the cause has ended. It is safe for
// concurrent use.
type platformGate struct {
	mu      sync.Mutex
	breaker breaker.Breaker
}

func newPlatformGate() platformGate {
	return platformGate{breaker: breaker.New(minGateClosed, maxGateClosed)}
}

// do makes a call, or returns errGateClosed.
func (g *platformGate) do(now func() time.Time, call func() error) error {
	probe, accepted := g.enter(now())
	if !accepted {
		return errGateClosed
	}
	err := call()
	g.leave(probe, err, now())
	return err
}

func (g *platformGate) enter(now time.Time) (probe, accepted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.breaker.Accepts(now) {
		return false, false
	}
	return g.breaker.Begin(), true
}

// leave records the result of a call. The failures of calls that were in progress
// together count once.
func (g *platformGate) leave(probe bool, err error, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if probe {
		g.breaker.EndProbe()
	}
	switch {
	case err == nil:
		g.breaker.Reset()
	case probe || g.breaker.Closed():
		g.breaker.RecordFailure(now)
	}
}
