package homebudget

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts where tokens were reserved.
type Metrics struct {
	results *prometheus.CounterVec
}

// Results of reservations.
const (
	// resultRemote is a reservation at another gateway, resultElsewhere one of
	// these that was found by a search for held tokens.
	resultRemote    = "remote"
	resultElsewhere = "search"
	// resultNoResponse is a gateway that didn't respond, and resultFallback a
	// request for which none responded.
	resultNoResponse = "no_response"
	resultFallback   = "fallback"
	// resultServed is a reservation here for another gateway, resultExpired one
	// that was never settled.
	resultServed  = "served"
	resultExpired = "expired"
)

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{results: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminrock_budget_home_reservations_total", Help: "Reservations of tokens at workspaces' homes."}, []string{"result"})}
	registry.MustRegister(m.results)
	return m
}

func (m *Metrics) recordResult(result string) { m.results.WithLabelValues(result).Inc() }
