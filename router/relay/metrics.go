package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// noRoute is the route label of requests that match no route.
const noRoute = "none"

// Metrics counts requests, their outcomes and their sends to targets.
type Metrics struct {
	// Refusals counts refused requests that haven't run, by cause.
	Refusals *prometheus.CounterVec
	// Requests counts finished requests by route and outcome.
	Requests *prometheus.CounterVec
	// Duration and FirstByte are latencies in seconds, by route.
	Duration, FirstByte *prometheus.HistogramVec
	// Sends counts requests sent to targets, Resends those beyond the first send
	// of a request.
	Sends, Resends prometheus.Counter
	// Breaks counts answers of targets that ended early.
	Breaks prometheus.Counter
	// Unbuffered counts answers that were forwarded as they were read, for want of room.
	Unbuffered prometheus.Counter
	// EarlyEnds counts attempts that ended before their answer was complete, by who ended
	// them.
	EarlyEnds *prometheus.CounterVec
	// Replacements counts searches for a target that takes the place of a silent one.
	Replacements *prometheus.CounterVec
	// RetriesDenied counts failures that weren't retried because the retry budget
	// was used up.
	RetriesDenied prometheus.Counter
	// RefusedByLocation counts requests that no data centre may get.
	RefusedByLocation prometheus.Counter
	// Placements counts sends to targets that were picked by expected work, by why the
	// target was a candidate and whether it is in another data centre.
	Placements *prometheus.CounterVec
	// FirstEventRatio is the actual time to the first event over the expected one.
	FirstEventRatio *prometheus.HistogramVec
	// Resumptions counts streams that callers took up, by how their version was found.
	Resumptions *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with the registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12)
	m := &Metrics{
		Refusals: newRefusals(registry),
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminrock_requests_total", Help: "Finished requests."}, []string{"route", "outcome"}),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cuminrock_request_seconds", Help: "Time to the end of the answer.", Buckets: buckets}, []string{"route"}),
		FirstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cuminrock_first_byte_seconds", Help: "Time to the first byte of the answer.", Buckets: buckets}, []string{"route"}),
		Sends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminrock_sends_total", Help: "Requests sent to targets."}),
		Resends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminrock_resends_total", Help: "Requests sent to a further target."}),
		Unbuffered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminrock_unbuffered_answers_total", Help: "Complete answers that were forwarded as they were read, for want of room."}),
		Breaks: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminrock_broken_answers_total", Help: "Answers of targets that ended early."}),
		EarlyEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminrock_attempts_ended_early_total", Help: "Sends to targets that ended before their answer was complete, by who ended them."}, []string{"ended_by"}),
		Replacements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminrock_replacements_total", Help: "Searches for a target that takes the place of a silent one, by result."}, []string{"result"}),
		RetriesDenied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminrock_retries_denied_total", Help: "Retries that the retry budget forbade."}),
		RefusedByLocation: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminrock_refused_by_location_total", Help: "Requests refused because no data centre may get them."}),
		Resumptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminrock_resumptions_total", Help: "Streams that callers took up, by how their version was found."}, []string{"origin"}),
	}
	m.Placements = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminrock_placements_total", Help: "Sends to targets that were picked by expected work."}, []string{"choice", "remote"})
	m.FirstEventRatio = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cuminrock_first_event_actual_to_expected_ratio", Help: "Actual time to the first event over the expected one.",
		Buckets: prometheus.ExponentialBuckets(0.125, 2, 9)}, []string{"route"})
	registry.MustRegister(m.Requests, m.Duration, m.FirstByte, m.Sends, m.Resends, m.Breaks, m.Unbuffered, m.EarlyEnds, m.Replacements, m.RetriesDenied, m.RefusedByLocation, m.Resumptions, m.Placements, m.FirstEventRatio)
	return m
}

// recordDone records a finished request.
func (m *Metrics) recordDone(p *proxiedRequest, took time.Duration) {
	route := noRoute
	if p.admittedRequest != nil {
		route = p.route.Name
	}
	m.Requests.WithLabelValues(route, p.outcome).Inc()
	m.Duration.WithLabelValues(route).Observe(took.Seconds())
	if p.firstByte > 0 {
		m.FirstByte.WithLabelValues(route).Observe(p.firstByte.Seconds())
	}
	m.Sends.Add(float64(p.sends))
	m.Resends.Add(float64(max(0, p.sends-1)))
}
