package budgetlab

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

var tableSeed = flag.Int64("table", 0, "seed of the whole table; 0 skips it")

// The whole table: go test ./budget/budgetlab -run Table -table 1
func TestTable(t *testing.T) {
	if *tableSeed == 0 {
		t.Skip("no -table")
	}
	is := is.New(t)
	for _, r := range Table(os.Stdout, *tableSeed) {
		is.Equal(r.Overspent, int64(0))
	}
}

// A short partition in which nothing may be overspent, for CI.
func TestShortPartition(t *testing.T) {
	is := is.New(t)
	s := Scenario{Name: "short", Partition: time.Minute, Deaths: 1}
	results := Measure(s, 7)
	for _, r := range results[1:] {
		is.Equal(r.Overspent, int64(0))
	}
	even, best := results[1], results[len(results)-1]
	is.Equal(best.Policy, "best version, vm_gone")
	is.True(best.Excess*10 < even.Excess)
}
