package sheet

import (
	"fmt"
	"strings"
	"testing"

	"cuminrock.example/fleet/config"
)

// benchSheet returns a sheet that declares every kind, with four budgets per
// workspace.
func benchSheet(workspaces int) []byte {
	const budgets = 4
	var b strings.Builder
	b.WriteString("record,name,workspace,service,provider,budget,kind,path,key_sha256,tokens,data_centre,address\n")
	b.WriteString("service,pool,,,old,,model,,,,,\n")
	b.WriteString("call,,,pool,,,model,v1/chat/completions,,,,\n")
	b.WriteString("target,engine-1,,pool,old,,,,,,cluj-a,10.0.0.1:9000\n")
	for i := range workspaces {
		fmt.Fprintf(&b, "workspace,w-%06d,,,,b-%06d-0,,,%064x,,,\n", i, i, i+1)
		for k := range budgets {
			fmt.Fprintf(&b, "budget,b-%06d-%d,w-%06d,,,,,,,,,\n", i, k, i)
		}
	}
	return []byte(b.String())
}

// BenchmarkSlopePlan parses a sheet and computes its plan against a configuration
// that differs in one record, which is the usual daily case.
func BenchmarkSlopePlan(b *testing.B) {
	for _, n := range []int{490, 4_900, 49_000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			data := benchSheet(n)
			view := benchView(b, data)
			changed := []byte(strings.Replace(string(data), "10.0.0.1:9000", "10.0.0.2:9000", 1))
			for b.Loop() {
				s, err := Parse(changed)
				if err != nil {
					b.Fatal(err)
				}
				plan, err := NewPlan(view, s, nil)
				if err != nil || plan.Count(Alter) != 1 {
					b.Fatal(err, plan.Count(Alter))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/workspace")
		})
	}
}

func benchView(b *testing.B, data []byte) *config.View {
	b.Helper()
	s, err := Parse(data)
	if err != nil {
		b.Fatal(err)
	}
	plan, err := NewPlan(config.Empty(), s, nil)
	if err != nil {
		b.Fatal(err)
	}
	view, err := config.Empty().Apply(plan.Change)
	if err != nil {
		b.Fatal(err)
	}
	return view
}
