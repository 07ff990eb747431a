package processtest

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/standin/target"
)

// leavingTimeout is the time after which a leaving target must not get new
// requests.
const leavingTimeout = 3 * time.Second

// Three engines leave, each announced by a different source: the VM list, the
// engine's own report and the sheet. After leavingTimeout no router may send them
// new requests, and the streams in progress must complete.
func TestLeavingTargets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 81, Centres: []string{"cluj-a"}, RoutersPerCentre: 2, EnginesPerCentre: 4})
	var streams conc.WaitGroup
	var completed atomic.Int64
	const open = 24
	for n := range open {
		streams.Go(func() {
			var stream StreamedResponse
			q := ChatRequest(fmt.Sprintf("open-%d", n), 600, true)
			ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
			defer cancel()
			if err := f.Routers[n%2].ReadStream(ctx, q, &stream, nil); err != nil {
				t.Errorf("%s: %v", q.IdempotencyKey, err)
				return
			}
			completed.Add(1)
		})
	}
	Eventually(t, "all streams are running", func() bool { return f.totalEngineRuns() == open })

	f.SetVMState(f.Engines[0].Name, pb.VmState_VM_STATE_LEAVING)
	f.Engines[1].SetFaults(target.Faults{Leaving: true})
	f.Engines[2].Leaving = true
	f.ApplySheet()
	time.Sleep(leavingTimeout)

	var before [3]uint64
	for i := range before {
		before[i] = f.Engines[i].EngineCounts().Runs
	}
	for n := range 60 {
		is.True(f.Routers[n%2].MustDo(ChatRequest(fmt.Sprintf("new-%d", n), 2, false)).OK())
	}
	for i := range before {
		is.Equal(f.Engines[i].EngineCounts().Runs, before[i]) // announced by VM list, own report and sheet
	}
	streams.Wait()
	is.Equal(completed.Load(), int64(open)) // streams in progress complete
}

func (f *Fleet) totalEngineRuns() int {
	runs := uint64(0)
	for _, g := range f.Engines {
		runs += g.EngineCounts().Runs
	}
	return int(runs)
}

// The sheet moves all traffic to the new provider and then marks the engines of
// the old one as leaving. No call may be interrupted or refused, and the old
// provider must not get new requests.
func TestOldProviderRetired(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 82, Centres: []string{"cluj-a"}, EnginesPerCentre: 2})
	old, fresh := f.Engines[0], f.Engines[1]
	r := f.Routers[0]
	fresh.Provider = NewProvider
	f.Sheet.NewProviderPermille = 500
	r.WaitVersion(f.ApplySheet())
	load := StartLoad(r, "move", 8, 20)
	Eventually(t, "both providers serve requests", func() bool { return old.EngineCounts().Runs > 8 && fresh.EngineCounts().Runs > 8 })
	f.Sheet.NewProviderPermille = 1000
	r.WaitVersion(f.ApplySheet())
	old.Leaving = true
	r.WaitVersion(f.ApplySheet())
	time.Sleep(leavingTimeout)
	before := old.EngineCounts().Runs
	served := load.ServedCount()
	Eventually(t, "the load continues", func() bool { return load.ServedCount() > served+50 })
	results := load.Stop()
	is.Equal(results.Interrupted, nil)
	is.Equal(len(results.RefusalsByKind), 0)
	is.Equal(old.EngineCounts().Runs, before)
}
