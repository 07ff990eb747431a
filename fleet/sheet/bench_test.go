package sheet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminrock.example/fleet/config"
)

// largeSheet returns a sheet with the given numbers of workspaces and budgets, one
// top-up per workspace and one traffic split for all workspaces.
func largeSheet(workspaces, budgets int) string {
	var b strings.Builder
	b.WriteString("record,name,workspace,service,provider,budget,kind,path,key_sha256,permille,tokens,data_centre,address\n")
	b.WriteString("service,model-pool,,,old,,model,,,,,,\n")
	b.WriteString("call,,,model-pool,,,model,v1/chat/completions,,,,,\n")
	b.WriteString("target,old-1,,model-pool,old,,,,,,,cluj-a,10.0.0.1:9000\n")
	b.WriteString("target,new-1,,model-pool,new,,,,,,,cluj-a,10.0.0.2:9000\n")
	fmt.Fprintf(&b, "shift,,*,model-pool,old,,,,,500,,,\n")
	fmt.Fprintf(&b, "shift,,*,model-pool,new,,,,,500,,,\n")
	for i := range workspaces {
		fmt.Fprintf(&b, "workspace,workspace-%06d,,,,budget-%07d,,,%064d,,,,\n", i, i, i)
		fmt.Fprintf(&b, "top-up,top-up-%06d,,,,budget-%07d,,,,,1000,,\n", i, i)
	}
	for i := range budgets {
		fmt.Fprintf(&b, "budget,budget-%07d,workspace-%06d,,,,,,,,,,\n", i, i%workspaces)
	}
	return b.String()
}

func BenchmarkSheet(b *testing.B) {
	for _, workspaces := range []int{490, 4_900, 49_000} {
		is := is.New(b)
		text := []byte(largeSheet(workspaces, workspaces*19/5))
		s, err := Parse(text)
		is.NoErr(err)
		plan, err := NewPlan(config.Empty(), s, nil)
		is.NoErr(err)
		view, err := config.Empty().Apply(plan.Change)
		is.NoErr(err)
		b.Run(fmt.Sprintf("workspaces=%d/parse", workspaces), func(b *testing.B) {
			for b.Loop() {
				_, err := Parse(text)
				is.NoErr(err)
			}
		})
		b.Run(fmt.Sprintf("workspaces=%d/plan-unchanged", workspaces), func(b *testing.B) {
			for b.Loop() {
				plan, err := NewPlan(view, s, nil)
				is.NoErr(err)
				is.True(plan.Change == nil)
			}
		})
	}
}
