package targetlimit

import (
	"github.com/prometheus/client_golang/prometheus"

	"cuminrock.example/fleet/targetlimit"
)

// Metrics counts the permits that requests needed.
type Metrics struct {
	permits *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{permits: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminrock_target_permits_total", Help: "Permits asked for to send a request to a target with a limit."}, []string{"result"})}
	registry.MustRegister(m.permits)
	return m
}

func (m *Metrics) record(p targetlimit.Permit) {
	result := "denied"
	if p.Granted {
		result = "granted"
	}
	m.permits.WithLabelValues(result).Inc()
}
