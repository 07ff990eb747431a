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

// leavingLimit is the time after which a leaving target gets no new work.
const leavingLimit = 3 * time.Second

// Three engines leave, each told by another source. After the limit none of
// them gets new work from any router, and the streams in progress end whole.
func TestLeavingTargets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 81, Centres: []string{"cluj-a"}, RoutersPerCentre: 2, EnginesPerCentre: 4})
	var streams conc.WaitGroup
	var whole atomic.Int64
	const open = 24
	for n := range open {
		streams.Go(func() {
			var a StreamedResponse
			q := ChatRequest(fmt.Sprintf("open-%d", n), 600, true)
			ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
			defer cancel()
			if err := f.Routers[n%2].ReadStream(ctx, q, &a, nil); err != nil {
				t.Errorf("%s: %v", q.IdempotencyKey, err)
				return
			}
			whole.Add(1)
		})
	}
	Eventually(t, "all streams run", func() bool { return f.totalRuns() == open })

	f.SetVMState(f.Engines[0].Name, pb.VmState_VM_STATE_LEAVING)
	f.Engines[1].SetFaults(target.Faults{Leaving: true})
	f.Engines[2].Leaving = true
	f.ApplySheet()
	time.Sleep(leavingLimit)

	var before [3]uint64
	for i := range before {
		before[i] = f.Engines[i].EngineCounts().Runs
	}
	for n := range 60 {
		is.True(f.Routers[n%2].MustDo(ChatRequest(fmt.Sprintf("new-%d", n), 2, false)).OK())
	}
	for i := range before {
		is.Equal(f.Engines[i].EngineCounts().Runs, before[i]) // VM list, own report, sheet
	}
	streams.Wait()
	is.Equal(whole.Load(), int64(open)) // streams in progress end whole
}

func (f *Fleet) totalRuns() int {
	runs := uint64(0)
	for _, g := range f.Engines {
		runs += g.EngineCounts().Runs
	}
	return int(runs)
}

// The sheet moves all traffic to the new provider, then marks the old one's
// engines as leaving. No call is cut, and the old provider gets no new work.
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
	Eventually(t, "both providers serve", func() bool { return old.EngineCounts().Runs > 8 && fresh.EngineCounts().Runs > 8 })
	f.Sheet.NewProviderPermille = 1000
	r.WaitVersion(f.ApplySheet())
	old.Leaving = true
	r.WaitVersion(f.ApplySheet())
	time.Sleep(leavingLimit)
	before := old.EngineCounts().Runs
	served := load.ServedCount()
	Eventually(t, "the load goes on", func() bool { return load.ServedCount() > served+50 })
	tally := load.Stop()
	is.Equal(tally.Interrupted, nil)
	is.Equal(len(tally.RefusalsByKind), 0)
	is.Equal(old.EngineCounts().Runs, before)
}
