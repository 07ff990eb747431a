package loadgen

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Percentiles are times in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// microsPerMilli converts the histograms' unit.
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

// RefusalCount is how many requests were refused with one kind.
type RefusalCount struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// Report is the report of one load against one goal.
type Report struct {
	Destination Destination `json:"goal"`
	Seconds     float64     `json:"seconds"`
	// Requests is the sum of the six counts that follow.
	Requests    int            `json:"requests"`
	Whole       int            `json:"whole"`
	Refused     int            `json:"refused"`
	Broken      int            `json:"broken"`
	Crossed     int            `json:"crossed"`
	Altered     int            `json:"altered"`
	Unreachable int            `json:"unreachable"`
	Refusals    []RefusalCount `json:"refusals,omitempty"`
	// Tokens is streamed tokens of all answers.
	Tokens          int     `json:"tokens"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	// MeanInFlight and MaxOpen are requests in progress.
	MeanInFlight float64 `json:"mean_open"`
	MaxInFlight  int     `json:"max_open"`
	// FirstToken is from the planned arrival, Gap is between tokens, Plain is
	// whole plain calls; all are of whole answers after the warm-up.
	FirstToken Percentiles `json:"first_token"`
	Gap        Percentiles `json:"gap"`
	Plain      Percentiles `json:"plain"`
	// LoadCPUCores is the processor time of the load's own process and
	// RouterCPUCores that of the routers, as parts of a core.
	LoadCPUCores   float64 `json:"load_cpu_cores"`
	RouterCPUCores float64 `json:"router_cpu_cores,omitempty"`
}

// Overhead is what the routers add to the times of a direct phase, in
// milliseconds.
type Overhead struct {
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`
	GapP95        float64 `json:"gap_p95_ms"`
}

// Compare returns what routed adds to direct.
func Compare(direct, routed *Report) Overhead {
	return Overhead{
		FirstTokenP50: routed.FirstToken.P50 - direct.FirstToken.P50,
		FirstTokenP99: routed.FirstToken.P99 - direct.FirstToken.P99,
		GapP95:        routed.Gap.P95 - direct.Gap.P95,
	}
}

// Passed tells whether every request was answered whole or refused.
func (p *Report) Passed() bool {
	return p.Broken+p.Crossed+p.Altered+p.Unreachable == 0
}

// WriteText writes the report for people.
func (p *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%s: %d requests in %.1f s, %.0f open on average, %d at most\n", p.Destination.Name, p.Requests, p.Seconds, p.MeanInFlight, p.MaxInFlight)
	fmt.Fprintf(w, "  whole %d, refused %d, broken %d, crossed %d, altered %d, unreachable %d\n", p.Whole, p.Refused, p.Broken, p.Crossed, p.Altered, p.Unreachable)
	for _, k := range p.Refusals {
		fmt.Fprintf(w, "    %s %d\n", k.Kind, k.Count)
	}
	fmt.Fprintf(w, "  tokens %d, %.0f a second; cores: load %.2f, routers %.2f\n", p.Tokens, p.TokensPerSecond, p.LoadCPUCores, p.RouterCPUCores)
	p.FirstToken.writeText(w, "first token")
	p.Gap.writeText(w, "token gap")
	p.Plain.writeText(w, "plain call")
}

func (p Percentiles) writeText(w io.Writer, name string) {
	if p.Count == 0 {
		return
	}
	fmt.Fprintf(w, "  %-11s ms p50 %.3f  p95 %.3f  p99 %.3f  p99.9 %.3f  max %.3f  (%d)\n", name, p.P50, p.P95, p.P99, p.P999, p.Max, p.Count)
}

// WriteText writes the comparison for people.
func (a Overhead) WriteText(w io.Writer) {
	fmt.Fprintf(w, "the routers add: first token p50 %.3f ms, p99 %.3f ms; token gap p95 %.3f ms\n", a.FirstTokenP50, a.FirstTokenP99, a.GapP95)
}
