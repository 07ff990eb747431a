package relay

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/placement"
)

// Guards against requests that are placed by expected work without a trace of why, and
// against such traces of requests that aren't.
func TestPlacementByExpectedWorkIsLoggedAndCounted(t *testing.T) {
	is := is.New(t)
	answer := outcome{status: 200, body: "id: 1\ndata: x\n\nid: 2\ndata: y\n\n", load: &placement.Load{Running: 1, Slots: 4, PacePercent: 100}}
	core, logs := observer.New(zap.InfoLevel)
	r := newRelay(&catalog.Route{Name: "chat", Kind: catalog.Stream, MaxAttempts: 1}, &upstream{outcomes: []outcome{answer, answer}})
	r.Log = zap.New(core)
	for range 2 {
		out := serveWith(context.Background(), r, &Request{ID: "1", Prompt: &Prompt{InputTokens: 100, MaxOutputTokens: 50}})
		is.True(out.finished)
	}
	done := logs.FilterMessage("relay: request done.").All()
	_, before := done[0].ContextMap()["placement"]
	is.True(!before) // no target had reported how long work takes
	logged := done[1].ContextMap()["placement"].(map[string]any)
	is.Equal(logged["choice"], "scan")
	is.Equal(logged["unread_tokens"], int64(100))
	is.Equal(testutil.CollectAndCount(r.Metrics.FirstEventRatio), 1)
	is.Equal(testutil.ToFloat64(r.Metrics.Placements.WithLabelValues("scan", "true")), 1.0)
}
