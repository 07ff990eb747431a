package admission

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminrock.example/fleet/admission"
)

// Label values of results.
const (
	resultStarted  = "started"
	resultSlots    = "slots"
	resultDeadline = "deadline"
	resultLeft     = "left"
)

// Metrics counts the requests that were subject to admission.
type Metrics struct {
	requests *prometheus.CounterVec
	waited   prometheus.Histogram
	waiting  *prometheus.GaugeVec
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminrock_admission_total", Help: "Requests that were admitted, refused, or whose callers left while they waited."}, []string{"result"}),
		waited: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cuminrock_admission_wait_seconds", Help: "Time that requests waited for a slot at this gateway.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 12)}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cuminrock_admission_waiting", Help: "Requests that wait for a slot at this gateway."}, []string{"service"}),
	}
	registry.MustRegister(m.requests, m.waited, m.waiting)
	return m
}

func (m *Metrics) record(result string, waited time.Duration) {
	m.requests.WithLabelValues(result).Inc()
	if result != resultLeft {
		m.waited.Observe(waited.Seconds())
	}
}

func (m *Metrics) setWaiting(service string, n int) {
	m.waiting.WithLabelValues(service).Set(float64(n))
}

func resultOf(d admission.Decision) string {
	switch d.Verdict {
	case admission.RefuseSlots:
		return resultSlots
	case admission.RefuseDeadline:
		return resultDeadline
	default:
		return resultStarted
	}
}
