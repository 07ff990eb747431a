package policysim

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

var tableSeedFlag = flag.Int64("table", 0, "seed of the whole table; 0 skips it")

// TestTable writes the whole table:
//
//	go test ./budget/policysim -run Table -table 1
func TestTable(t *testing.T) {
	if *tableSeedFlag == 0 {
		t.Skip("no -table")
	}
	is := is.New(t)
	for _, r := range WriteTable(os.Stdout, *tableSeedFlag) {
		is.Equal(r.Overspent, int64(0))
	}
}

// In a short partition nothing is overspent, and excess refusals are below a
// tenth of the even split's. With a crash nothing is overspent either.
func TestShortPartition(t *testing.T) {
	is := is.New(t)
	s := Scenario{Name: "short", Partition: 2 * time.Minute, NearlyExhausted: true, BeforeFault: 20 * time.Minute, AfterFault: 5 * time.Minute}
	results := Measure(s, 7)
	evenSplit, best := results[1], results[len(results)-1]
	is.Equal(evenSplit.Policy, "even split by router")
	is.Equal(best.Policy, "best version, vm_gone")
	is.True(best.ExcessRefusals*10 < evenSplit.ExcessRefusals)
	s.Crashes = 1
	for _, r := range append(results, Measure(s, 8)...) {
		is.Equal(r.Overspent, int64(0))
	}
}
