package prepaid

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the platform calls for prepaid budgets by result, and the refused
// reservations.
type Metrics struct {
	calls *prometheus.CounterVec
	// refused counts refused reservations by reason.
	refused *prometheus.CounterVec
}

// Label values: calls, their results, and reasons of refusals.
const (
	callRead   = "read"
	callCommit = "commit"
	callNote   = "note"

	resultDone     = "done"
	resultConflict = "conflict"
	resultFailed   = "failed"

	reasonInsufficient = "short"
	reasonUnreachable  = "unreachable"
)

// NewMetrics returns metrics that are registered with the registry.
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

// recordCall counts a call. Committed is false for a transaction whose conditions
// were not met.
func (m *Metrics) recordCall(call string, committed bool, err error) {
	result := resultDone
	switch {
	case err != nil:
		result = resultFailed
	case !committed:
		result = resultConflict
	}
	m.calls.WithLabelValues(call, result).Inc()
}
