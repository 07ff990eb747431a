package policysim

import (
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

var writesFlag = flag.Bool("writes", false, "count platform writes over a grid of loads")

// TestWritesGrid prints the platform rates over a grid of loads:
//
//	go test -v ./budget/policysim -run Writes -writes
func TestWritesGrid(t *testing.T) {
	if !*writesFlag {
		t.Skip("no -writes")
	}
	fmt.Printf("%8s %8s %9s %8s %8s %8s %8s %8s\n", "routers", "active", "requests", "txn/s", "tried/s", "rows/s", "bills/s", "reads/s")
	base := Load{Routers: 360, DataCentres: 7, ActiveBudgets: 2000, RequestsPerSecond: 4000, SettleEvery: 2, Seconds: 60}
	for _, set := range []func(l *Load){
		func(*Load) {},
		func(l *Load) { l.Routers = 180 },
		func(l *Load) { l.Routers = 90 },
		func(l *Load) { l.ActiveBudgets = 20 },
		func(l *Load) { l.ActiveBudgets = 200 },
		func(l *Load) { l.ActiveBudgets = 10_000 },
		func(l *Load) { l.RequestsPerSecond = 2000 },
		func(l *Load) { l.RequestsPerSecond = 1000 },
		func(l *Load) { l.RequestsPerSecond = 100 },
	} {
		l := base
		set(&l)
		w := MeasurePlatformRates(l, 1)
		fmt.Printf("%8d %8d %9d %8.1f %8.1f %8.0f %8.0f %8.1f\n", l.Routers, l.ActiveBudgets, l.RequestsPerSecond, w.Transactions, w.Attempts, w.Rows, w.Bills, w.Reads)
	}
}

// Once every home is busy, the transaction rate doesn't grow with requests: it
// is bounded by the number of homes and their settle interval.
func TestWritesAreBoundedByHomes(t *testing.T) {
	is := is.New(t)
	l := Load{Routers: 60, DataCentres: 3, ActiveBudgets: 200, RequestsPerSecond: 300, SettleEvery: 2, Seconds: 10}
	w := MeasurePlatformRates(l, 1)
	l.RequestsPerSecond = 600
	twice := MeasurePlatformRates(l, 1)
	is.True(w.Transactions > 0)
	is.True(twice.Transactions < w.Transactions*1.1)
	is.True(twice.Transactions <= float64(l.Routers)/float64(l.SettleEvery)*1.1)
}
