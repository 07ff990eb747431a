package targetlimit

import (
	"github.com/prometheus/client_golang/prometheus"

	"cuminrock.example/fleet/targetlimit"
)

// Metrics counts the permits that requests needed, and the cold periods of targets.
type Metrics struct {
	permits, coldPermits, coldPeriods *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminrock_target_permits_total", Help: "Permits asked for to send a request to a target with a limit."}, []string{"result"}),
		coldPermits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminrock_cold_target_permits_total", Help: "Permits asked for to send a request to a cold target."}, []string{"result"}),
		coldPeriods: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminrock_cold_periods_total", Help: "Times that a target began to count as cold, by cause."}, []string{"cause"}),
	}
	registry.MustRegister(m.permits, m.coldPermits, m.coldPeriods)
	return m
}

func (m *Metrics) record(p targetlimit.Permit) { m.permits.WithLabelValues(resultOf(p)).Inc() }

func (m *Metrics) recordCold(p targetlimit.Permit) { m.coldPermits.WithLabelValues(resultOf(p)).Inc() }

// resultOf returns the label of a permit that was asked for.
func resultOf(p targetlimit.Permit) string {
	if p.Granted {
		return "granted"
	}
	return "denied"
}
