package crashwatch

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts crashes of targets, and what is refused because of them.
type Metrics struct {
	quarantined prometheus.Gauge
	crashes     prometheus.Counter
	unchecked   prometheus.Counter
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		quarantined: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cuminrock_quarantined_prompt_parts", Help: "Prompt parts that are refused because they crash targets."}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminrock_target_crashes_total", Help: "Answers that were lost because their target ended."}),
		unchecked: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminrock_lost_answers_unchecked_total", Help: "Lost answers whose targets weren't checked, because too many were waiting."}),
	}
	registry.MustRegister(m.quarantined, m.crashes, m.unchecked)
	return m
}
