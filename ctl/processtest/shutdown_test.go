package processtest

import (
	"testing"

	"github.com/matryer/is"
)

// A graceful stop under load must not interrupt requests: each one that the
// router has received gets its answer, and one that crosses the close of its
// connection was never received. The stop must settle all bills, return all
// grants and exit with code 0.
func TestGracefulStopUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 21})
	var loads []*Load
	for _, r := range f.Routers {
		loads = append(loads, StartLoad(r, r.Name, 12, 40))
	}
	Eventually(t, "both routers serve requests", func() bool { return loads[0].ServedCount() > 12 && loads[1].ServedCount() > 12 })
	served, sum := 0, int64(0)
	for i, r := range f.Routers {
		r.Terminate()
		is.Equal(r.ExitCode(), 0)
		results := loads[i].Stop()
		is.Equal(results.brokenResponses(), nil)             // no response was interrupted
		is.Equal(r.ReceivedCount(), results.answeredCount()) // every request received was answered
		t.Logf("%s: requests that crossed the close of their connection: %v", r.Name, results.Interrupted)
		served += len(results.UsageByRequest)
		sum += results.TotalUsage()
	}
	bills := f.WaitBills(served)
	is.Equal(len(bills), served)
	b := f.Budget()
	is.Equal(b.Spent, sum)
	is.Equal(b.Granted, int64(0)) // all grants were returned
	is.Equal(b.InDoubt, int64(0))
	is.Equal(b.Free, b.Prepaid-sum)
}

// A second SIGTERM during a graceful stop, as an impatient operator sends it,
// must abort the stop and be reported by exit code 1.
func TestSecondSignalAbortsShutdown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 22, Centres: []string{"cluj-a"}, TokensPerSecond: 10})
	r := f.Routers[0]
	load := StartLoad(r, "cut", 2, 300)
	Eventually(t, "the streams are running", func() bool { return r.Vars().Streams == 2 })
	r.Terminate()
	Eventually(t, "the health check reports not ready", func() bool { return !r.Ready() })
	r.Terminate()
	is.Equal(r.ExitCode(), 1)
	is.Equal(load.Stop().ServedCount(), 0)
	f.Budget()
}
