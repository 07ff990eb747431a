package gateway

import (
	"context"
	"errors"
	"os"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
)

// connectionCounts is the metric of the connections that were made to targets, by
// result.
type connectionCounts struct {
	counters *prometheus.CounterVec
}

func newConnectionCounts(registry prometheus.Registerer) connectionCounts {
	c := connectionCounts{counters: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cuminrock_target_connections_total", Help: "Attempts to connect to targets, by result."}, []string{"result"})}
	registry.MustRegister(c.counters)
	return c
}

// record counts an attempt to connect.
func (c connectionCounts) record(err error) {
	c.counters.WithLabelValues(connectResult(err)).Inc()
}

// connectResult returns the label of an attempt to connect.
func connectResult(err error) string {
	switch {
	case err == nil:
		return "connected"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return "timed_out"
	default:
		return "failed"
	}
}
