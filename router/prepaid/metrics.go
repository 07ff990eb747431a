package prepaid

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the calls to the platform for budgets, and how they ended.
type Metrics struct {
	calls *prometheus.CounterVec
	// refused counts reservations refused, by reason.
	refused *prometheus.CounterVec
}

// The calls and their ends, as labels.
const (
	callRead   = "read"
	callCommit = "commit"
	callNote   = "note"

	endDone     = "done"
	endConflict = "conflict"
	endFailed   = "failed"

	refusedShort       = "short"
	refusedUnreachable = "unreachable"
)

// NewMetrics returns metrics that the registry serves.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminrock_budget_calls_total", Help: "Calls to the platform for budgets."}, []string{"call", "end"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminrock_budget_refused_total", Help: "Reservations refused."}, []string{"reason"}),
	}
	registry.MustRegister(m.calls, m.refused)
	return m
}

// called counts a call. Committed is false for a transaction whose conditions
// didn't hold.
func (m *Metrics) called(call string, committed bool, err error) {
	end := endDone
	switch {
	case err != nil:
		end = endFailed
	case !committed:
		end = endConflict
	}
	m.calls.WithLabelValues(call, end).Inc()
}
