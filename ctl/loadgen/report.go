package loadgen

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Percentiles holds percentiles of times in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// microsPerMilli converts the histograms' microseconds to milliseconds.
const microsPerMilli = 1000

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	return Percentiles{
		Count: h.TotalCount(),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		P999:  at(99.9),
		Max:   float64(h.Max()) / microsPerMilli,
	}
}

// RefusalCount is the number of requests that were refused or unreachable with
// one error kind.
type RefusalCount struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// Report is the report of one load against one destination.
type Report struct {
	Destination Destination `json:"goal"`
	Seconds     float64     `json:"seconds"`
	// Requests is the sum of the six counts that follow, one for each verdict.
	Requests    int            `json:"requests"`
	Whole       int            `json:"whole"`
	Refused     int            `json:"refused"`
	Broken      int            `json:"broken"`
	Crossed     int            `json:"crossed"`
	Altered     int            `json:"altered"`
	Unreachable int            `json:"unreachable"`
	Refusals    []RefusalCount `json:"refusals,omitempty"`
	// Tokens is the number of streamed tokens in all responses.
	Tokens          int     `json:"tokens"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// MeanInFlight and MaxInFlight are numbers of requests in flight.
	MeanInFlight float64 `json:"mean_open"`
	MaxInFlight  int     `json:"max_open"`
	// FirstToken is the time from the planned arrival to the first token, Gap the
	// time between two tokens and Plain the time from the planned arrival to the
	// end of a plain response. All cover complete responses after the warm-up.
	FirstToken Percentiles `json:"first_token"`
	Gap        Percentiles `json:"gap"`
	Plain      Percentiles `json:"plain"`
	// LoadCPUCores is the CPU usage of the load generator's own process and
	// RouterCPUCores that of the routers, in cores.
	LoadCPUCores   float64 `json:"load_cpu_cores"`
	RouterCPUCores float64 `json:"router_cpu_cores,omitempty"`
}

// Overhead is the latency that the routers add to a direct run, in milliseconds.
type Overhead struct {
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`
	GapP95        float64 `json:"gap_p95_ms"`
}

// Compare returns the overhead of routed over direct.
func Compare(direct, routed *Report) Overhead {
	return Overhead{
		FirstTokenP50: routed.FirstToken.P50 - direct.FirstToken.P50,
		FirstTokenP99: routed.FirstToken.P99 - direct.FirstToken.P99,
		GapP95:        routed.Gap.P95 - direct.Gap.P95,
	}
}

// Passed reports whether every request got a complete response or was refused.
func (r *Report) Passed() bool {
	return r.Broken+r.Crossed+r.Altered+r.Unreachable == 0
}

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%s: %d requests in %.1f s, %.0f in flight on average, %d at most\n", r.Destination.Name, r.Requests, r.Seconds, r.MeanInFlight, r.MaxInFlight)
	fmt.Fprintf(w, "  whole %d, refused %d, broken %d, crossed %d, altered %d, unreachable %d\n", r.Whole, r.Refused, r.Broken, r.Crossed, r.Altered, r.Unreachable)
	for _, k := range r.Refusals {
		fmt.Fprintf(w, "    %s %d\n", k.Kind, k.Count)
	}
	fmt.Fprintf(w, "  tokens %d, %.0f per second; cores: load %.2f, routers %.2f\n", r.Tokens, r.TokensPerSecond, r.LoadCPUCores, r.RouterCPUCores)
	r.FirstToken.writeText(w, "first token")
	r.Gap.writeText(w, "token gap")
	r.Plain.writeText(w, "plain call")
}

func (p Percentiles) writeText(w io.Writer, name string) {
	if p.Count == 0 {
		return
	}
	fmt.Fprintf(w, "  %-11s ms p50 %.3f  p95 %.3f  p99 %.3f  p99.9 %.3f  max %.3f  (%d)\n", name, p.P50, p.P95, p.P99, p.P999, p.Max, p.Count)
}

// WriteText writes the overhead as text.
func (o Overhead) WriteText(w io.Writer) {
	fmt.Fprintf(w, "the routers add: first token p50 %.3f ms, p99 %.3f ms; token gap p95 %.3f ms\n", o.FirstTokenP50, o.FirstTokenP99, o.GapP95)
}
