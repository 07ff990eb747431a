package crashwatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"cuminrock.example/fleet/quarantine"
)

// Metrics counts crashes of targets, and what is refused because of them.
type Metrics struct {
	parts     prometheus.Gauge
	requests  prometheus.Gauge
	crashes   prometheus.Counter
	unchecked prometheus.Counter
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		parts: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cuminrock_quarantined_prompt_parts", Help: "Prompt parts that are refused because they crash targets."}),
		requests: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cuminrock_quarantined_requests", Help: "Requests that are refused because they crash targets."}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminrock_target_crashes_total", Help: "Answers that were lost because their target ended."}),
		unchecked: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminrock_lost_answers_unchecked_total", Help: "Lost answers whose targets weren't checked, because too many were waiting."}),
	}
	registry.MustRegister(m.parts, m.requests, m.crashes, m.unchecked)
	return m
}

// count sets the gauges of what is refused.
func (m *Metrics) count(refusals []quarantine.Refusal) {
	parts, requests := 0, 0
	for _, r := range refusals {
		if r.Kind() == quarantine.WholeRequest {
			requests += len(r.Traits)
		} else {
			parts += len(r.Traits)
		}
	}
	m.parts.Set(float64(parts))
	m.requests.Set(float64(requests))
}
