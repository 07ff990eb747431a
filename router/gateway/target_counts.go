package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"cuminrock.example/fleet/placement"
)

// targetCounts is the metric of the known targets by service and version.
type targetCounts struct {
	gauges *prometheus.GaugeVec
}

func newTargetCounts(registry prometheus.Registerer) targetCounts {
	c := targetCounts{gauges: prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "cuminrock_targets", Help: "Known targets."}, []string{"service", "version"})}
	registry.MustRegister(c.gauges)
	return c
}

// set counts the targets anew.
func (c targetCounts) set(targets []placement.Target) {
	c.gauges.Reset()
	for _, t := range targets {
		c.gauges.WithLabelValues(t.Service, t.Version).Inc()
	}
}
