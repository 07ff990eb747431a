package processtest

import (
	"testing"

	"github.com/matryer/is"
)

// A planned stop under load cuts no request, settles all bills, returns all
// grants and exits 0.
func TestPlannedStopUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 21})
	var loads []*Load
	for _, r := range f.Routers {
		loads = append(loads, StartLoad(r, r.Name, 12, 40))
	}
	Eventually(t, "both routers serve", func() bool { return loads[0].ServedCount() > 12 && loads[1].ServedCount() > 12 })
	served, sum := 0, int64(0)
	for i, r := range f.Routers {
		r.Terminate()
		is.Equal(r.ExitCode(), 0)
		tally := loads[i].Stop()
		is.Equal(tally.Interrupted, nil) // no answer was cut
		served += len(tally.UsageByRequest)
		sum += tally.TotalUsage()
	}
	bills := f.WaitBills(served)
	is.Equal(len(bills), served)
	b := f.Budget()
	is.Equal(b.Spent, sum)
	is.Equal(b.Granted, int64(0)) // all grants were returned
	is.Equal(b.InDoubt, int64(0))
	is.Equal(b.Free, b.Prepaid-sum)
}

// A second signal, as an impatient operator sends it, ends the stop and says
// so by the exit code.
func TestSecondSignalCutsStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 22, Centres: []string{"cluj-a"}, TokensPerSecond: 10})
	r := f.Routers[0]
	load := StartLoad(r, "cut", 2, 300)
	Eventually(t, "streams run", func() bool { return r.Vars().Streams == 2 })
	r.Terminate()
	Eventually(t, "the balancer is told", func() bool { return !r.Ready() })
	r.Terminate()
	is.Equal(r.ExitCode(), 1)
	is.Equal(load.Stop().ServedCount(), 0)
	f.Budget()
}
