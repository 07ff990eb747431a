package processtest

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"cuminrock.example/standin/platform"
)

// cutOff cuts a data centre off from the platform and from its peers.
func (f *Fleet) cutOff(centre string) {
	f.t.Helper()
	f.Platform.SetFaults(centre, platform.Faults{Outage: platform.OutageHang})
	for _, r := range f.Routers {
		r.PeerProxy.Partition()
	}
}

func (f *Fleet) heal(centre string) {
	f.t.Helper()
	f.Platform.SetFaults(centre, platform.Faults{})
	for _, r := range f.Routers {
		r.PeerProxy.Heal()
	}
}

// watchVersion fails the test when a router shows a lower version of the
// configuration than before.
func watchVersion(t *testing.T, r *Router) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var watch conc.WaitGroup
	watch.Go(func() {
		highest := uint64(0)
		for ctx.Err() == nil {
			s, ok := r.Status()
			if ok && s.ConfigVersion < highest {
				t.Errorf("%s reverted from version %d to %d", r.Name, highest, s.ConfigVersion)
			}
			highest = max(highest, s.ConfigVersion)
			time.Sleep(pollInterval)
		}
	})
	return func() {
		cancel()
		watch.Wait()
	}
}

// A data centre is cut off from the platform and its peers while the budget
// is topped up and a change is accepted on the other side. It serves what it
// holds; nothing is overspent; its configuration doesn't revert and catches
// up.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 61, PrepaidTokens: 60_000, TokensPerSecond: 500})
	near, far := f.Routers[0], f.Routers[1]
	warm(t, near)
	warm(t, far)
	stopBudget := f.watchBudget()
	stopVersion := watchVersion(t, far)
	f.cutOff(far.Centre)

	var a StreamedResponse
	held := ChatRequest("held", 20, true)
	far.MustReadStream(held, &a) // out of what it holds

	f.Sheet.TopUps = append(f.Sheet.TopUps, TopUp{ID: "second", Tokens: 20_000})
	f.Engines[1].Leaving = true
	version := f.ApplySheet()
	near.WaitVersion(version)
	s, _ := far.Status()
	is.Equal(s.ConfigVersion, version-1) // it can't know

	loads := []*Load{StartLoad(near, "near", 16, 40), StartLoad(far, "far", 16, 40)}
	for i, r := range []*Router{near, far} {
		Eventually(t, r.Name+" has no tokens in reach", func() bool {
			return loads[i].refusals("budget_exhausted")+loads[i].refusals("budget_unreachable") > 0
		})
	}
	f.heal(far.Centre)
	far.WaitVersion(version)
	f.WaitConverged()
	tallies := []*CallResults{loads[0].Stop(), loads[1].Stop()}
	for _, y := range tallies {
		is.Equal(y.Interrupted, nil)
		is.True(y.ServedCount() > 0) // both sides served
	}
	Eventually(t, "the bill of the cut stands", func() bool { return f.Bills()[held.ID()].GetTokens() == a.Usage })
	Eventually(t, "no bill waits", func() bool { return far.Vars().Ledger.WaitingBills == 0 })
	f.waitSpent()
	stopVersion()
	stopBudget()
	t.Logf("cut off: %d served there, %d at the other side; %v", tallies[1].ServedCount(), tallies[0].ServedCount(), f.Budget())
}

// Peers are cut in one direction only: one router is called by nobody and
// calls all. Both serve, take a change, and see each other again afterwards.
func TestCutInOneDirection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 62, Centres: []string{"cluj-a"}, RoutersPerCentre: 2, EnginesPerCentre: 2})
	mute := f.Routers[0]
	mute.PeerProxy.Partition()
	Eventually(t, "the other router misses the mute one", func() bool {
		s, ok := f.Routers[1].Status()
		return ok && len(s.Members) == 0
	})
	f.Engines[0].Leaving = true
	version := f.ApplySheet()
	for _, r := range f.Routers {
		r.WaitVersion(version)
		is.True(r.MustDo(ChatRequest("one-way-"+r.Name, 10, false)).OK())
	}
	mute.PeerProxy.Heal()
	f.WaitConverged()
	f.WaitBills(2)
}
