// Package reachability finds out whether this gateway is cut off from all targets, and
// when it no longer is. Package fleet/reachability decides.
//
// It follows the attempts to connect to targets and what is awaited from them. When one
// fails, a connection is reset, or nothing has arrived for a while, it connects to other
// targets. While the gateway is cut off, it keeps trying, so that the end of the cut is
// noticed within probeInterval.
package reachability

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/reachability"
	"cuminrock.example/router/wait"
)

const (
	// checkWitnesses is the number of witnesses of a check. The first one is tried
	// alone, as it usually responds.
	checkWitnesses = 3
	// minCheckInterval is the time between two checks that weren't caused by a failure to
	// connect.
	minCheckInterval = time.Second
	// probeInterval is the time between two checks while the gateway is cut off.
	probeInterval = 250 * time.Millisecond
	// silenceLimit is how long nothing may arrive from any target, while responses to
	// silenceMinRequests requests are awaited, until a check is made.
	silenceLimit       = 400 * time.Millisecond
	silenceMinRequests = 2
	// silencePollInterval is how often that is looked at.
	silencePollInterval = 100 * time.Millisecond
)

// Options configures a Monitor. All fields are required.
type Options struct {
	// Connect makes a connection to a target's address and closes it. Its result is
	// passed to Monitor.RecordConnect, too.
	Connect func(ctx context.Context, address string) error
	// Targets returns all known targets.
	Targets func() []placement.Target
	// OnChange is told when the gateway is cut off, and when it no longer is.
	OnChange func(cutOff bool)
	Metrics  *Metrics
	Log      *zap.Logger
	Now      func() time.Time
}

// Metrics shows whether the gateway is cut off.
type Metrics struct {
	cutOff prometheus.Gauge
	checks prometheus.Counter
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		cutOff: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cuminrock_cut_off_from_targets", Help: "1 while no target can be reached."}),
		checks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminrock_reachability_checks_total", Help: "Checks whether any target can be reached."}),
	}
	registry.MustRegister(m.cutOff, m.checks)
	return m
}

func (m *Metrics) setCutOff(cutOff bool) {
	value := 0.0
	if cutOff {
		value = 1
	}
	m.cutOff.Set(value)
}

// Monitor knows whether the gateway is cut off from all targets. It is safe for
// concurrent use.
type Monitor struct {
	Options
	traffic traffic
	wakeup  chan struct{}

	mu    sync.Mutex
	state *reachability.State
	// checkedAt is when the last check began.
	checkedAt time.Time
	// verdict is closed when the check that is due or running has ended; nil if none is.
	verdict chan struct{}
}

// New returns a monitor of a gateway that reaches targets.
func New(opts Options) *Monitor {
	return &Monitor{Options: opts, state: reachability.NewState(), wakeup: make(chan struct{}, 1)}
}

// CutOff reports whether no target can be reached.
func (m *Monitor) CutOff() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.CutOff()
}

// RecordConnect records the result of an attempt to connect to a target. It is a hook
// of exchange.Pool.
func (m *Monitor) RecordConnect(address string, began time.Time, err error) {
	if err == nil {
		m.update(func(s *reachability.State, now time.Time) { s.RecordConnected(now) })
		return
	}
	m.update(func(s *reachability.State, now time.Time) {
		if s.RecordFailure(address, began, now) {
			m.scheduleCheck()
		}
	})
}

// Suspect makes a check soon, unless there was one a moment ago.
func (m *Monitor) Suspect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Now().Sub(m.checkedAt) >= minCheckInterval {
		m.scheduleCheck()
	}
}

// scheduleCheck makes Run check, unless it is about to. The lock is held.
func (m *Monitor) scheduleCheck() {
	if m.verdict != nil || m.state.CutOff() {
		return
	}
	m.verdict = make(chan struct{})
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// AwaitVerdict waits for the check that is due or running, if any, and reports whether
// no target can be reached.
func (m *Monitor) AwaitVerdict(ctx context.Context) bool {
	m.mu.Lock()
	verdict := m.verdict
	m.mu.Unlock()
	if verdict != nil {
		select {
		case <-verdict:
		case <-ctx.Done():
		}
	}
	return m.CutOff()
}

// Run makes checks until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	ticker := time.NewTicker(silencePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wakeup:
			m.check(ctx)
		case <-ticker.C:
			if m.traffic.silent(m.Now()) {
				m.Suspect()
			}
		}
		for m.CutOff() && wait.For(ctx, probeInterval) {
			m.check(ctx)
		}
	}
}

// check connects to witnesses and decides.
func (m *Monitor) check(ctx context.Context) {
	m.Metrics.checks.Inc()
	began := m.Now()
	reached := m.ReachesOther(ctx, "")
	m.update(func(s *reachability.State, _ time.Time) {
		m.checkedAt = began
		if !reached && ctx.Err() == nil {
			s.RecordNoWitness(began)
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.verdict != nil {
		close(m.verdict)
		m.verdict = nil
	}
}

// ReachesOther reports whether a target at another address than the given one can be
// reached now.
func (m *Monitor) ReachesOther(ctx context.Context, address string) bool {
	m.mu.Lock()
	witnesses := m.state.Witnesses(m.Targets(), address, checkWitnesses, m.Now())
	m.mu.Unlock()
	if len(witnesses) == 0 {
		return false
	}
	return m.reachesAny(ctx, witnesses[:1]) || m.reachesAny(ctx, witnesses[1:])
}

// reachesAny connects to all of the targets at once and reports whether one can be
// reached.
func (m *Monitor) reachesAny(ctx context.Context, targets []placement.Target) bool {
	results := make([]error, len(targets))
	var connecting conc.WaitGroup
	for i, t := range targets {
		connecting.Go(func() { results[i] = m.Connect(ctx, t.Address) })
	}
	connecting.Wait()
	for _, err := range results {
		if err == nil {
			return true
		}
	}
	return false
}

// update changes the state, and tells of a cut that has begun or ended.
func (m *Monitor) update(change func(s *reachability.State, now time.Time)) {
	m.mu.Lock()
	before := m.state.CutOff()
	change(m.state, m.Now())
	after := m.state.CutOff()
	m.Metrics.setCutOff(after)
	m.mu.Unlock()
	if before == after {
		return
	}
	m.Log.Warn("reachability: targets can be reached again, or none can be.", zap.Bool("cut_off", after))
	m.OnChange(after)
}
