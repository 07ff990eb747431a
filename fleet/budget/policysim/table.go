package policysim

import (
	"fmt"
	"io"
)

// Measure runs all candidates in one scenario. The first one is the oracle pool,
// against which the others' excess refusals are counted.
func Measure(s Scenario, seed int64) []Result {
	var results []Result
	for _, c := range Candidates() {
		r := Run(s, c, seed)
		if len(results) > 0 {
			pool := results[0]
			r.ExcessRefusals = r.FalseRefusals + r.ExhaustedRefusals - pool.FalseRefusals - pool.ExhaustedRefusals
		}
		results = append(results, r)
	}
	return results
}

// WriteTable measures all scenarios and writes one row per scenario and
// candidate.
func WriteTable(w io.Writer, seed int64) []Result {
	var results []Result
	fmt.Fprintf(w, "seed %d; refusals per 100,000 requests: momentary = refused although covered at that moment,\n", seed)
	fmt.Fprintf(w, "side = of these, covered on the request's side of the network, excess = beyond the oracle pool's\n")
	fmt.Fprintf(w, "%-24s %-26s %9s %9s %10s %10s %10s %10s %10s %8s\n",
		"scenario", "policy", "requests", "overspent", "momentary", "side", "excess", "doubt end", "doubt max", "writes/s")
	for _, s := range Scenarios() {
		for _, r := range Measure(s, seed) {
			results = append(results, r)
			fmt.Fprintf(w, "%-24s %-26s %9d %9d %10.1f %10.1f %10.1f %10d %10d %8.2f\n",
				r.Scenario, r.Policy, r.Requests, r.Overspent, r.Per100k(r.FalseRefusals), r.Per100k(r.FalseRefusalsReachable),
				r.Per100k(r.ExcessRefusals), r.InDoubt, r.InDoubtPeak, r.WritesPerSecond)
		}
	}
	return results
}
