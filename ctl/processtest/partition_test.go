package processtest

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"cuminrock.example/standin/platform"
)

// partition disconnects a data centre from the platform. It stops the peer
// traffic to all routers.
func (f *Fleet) partition(centre string) {
	f.t.Helper()
	f.Platform.SetFaults(centre, platform.Faults{Outage: platform.OutageHang})
	for _, r := range f.Routers {
		r.PeerProxy.Partition()
	}
}

func (f *Fleet) healPartition(centre string) {
	f.t.Helper()
	f.Platform.SetFaults(centre, platform.Faults{})
	for _, r := range f.Routers {
		r.PeerProxy.Heal()
	}
}

// watchVersion fails the test if a router reports a lower configuration version
// than before. It runs until the returned function is called.
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

// A data centre is disconnected from the platform and its peers while the budget
// is topped up and a configuration change is accepted on the other side. It must
// go on serving from the grants that it holds and must not overspend. Its
// configuration must not revert, and must catch up after the partition.
func TestDataCentrePartitioned(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 61, PrepaidTokens: 60_000, TokensPerSecond: 500})
	connected, isolated := f.Routers[0], f.Routers[1]
	warmUp(t, connected)
	warmUp(t, isolated)
	stopBudget := f.watchBudget()
	stopVersion := watchVersion(t, isolated)
	f.partition(isolated.Centre)

	var response StreamedResponse
	duringPartition := ChatRequest("held", 20, true)
	isolated.MustReadStream(duringPartition, &response) // served from the grants that it holds

	f.Sheet.TopUps = append(f.Sheet.TopUps, TopUp{ID: "second", Tokens: 20_000})
	f.Engines[1].Leaving = true
	version := f.ApplySheet()
	connected.WaitVersion(version)
	s, _ := isolated.Status()
	is.Equal(s.ConfigVersion, version-1) // the change can't have reached it

	loads := []*Load{StartLoad(connected, "near", 16, 40), StartLoad(isolated, "far", 16, 40)}
	for i, r := range []*Router{connected, isolated} {
		Eventually(t, r.Name+" refuses requests for lack of tokens", func() bool {
			return loads[i].refusalCount("budget_exhausted")+loads[i].refusalCount("budget_unreachable") > 0
		})
	}
	f.healPartition(isolated.Centre)
	isolated.WaitVersion(version)
	f.WaitConverged()
	results := []*CallResults{loads[0].Stop(), loads[1].Stop()}
	for _, r := range results {
		is.Equal(r.Interrupted, nil)
		is.True(r.ServedCount() > 0) // both sides served
	}
	Eventually(t, "the request served during the partition is billed", func() bool { return f.Bills()[duringPartition.ID()].GetTokens() == response.Usage })
	Eventually(t, "no bill is waiting", func() bool { return isolated.Vars().Ledger.WaitingBills == 0 })
	f.waitBillsMatchSpent()
	stopVersion()
	stopBudget()
	t.Logf("partition: %d served by the isolated router, %d by the connected one; %v", results[1].ServedCount(), results[0].ServedCount(), f.Budget())
}

// Peer traffic is interrupted in one direction only: one router can call its peer
// but can't be called. Both routers must serve requests, apply a configuration
// change and list each other as members again afterwards.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 62, Centres: []string{"cluj-a"}, RoutersPerCentre: 2, EnginesPerCentre: 2})
	unreachable := f.Routers[0]
	unreachable.PeerProxy.Partition()
	Eventually(t, "the other router no longer lists the unreachable one", func() bool {
		s, ok := f.Routers[1].Status()
		return ok && len(s.Members) == 0
	})
	f.Engines[0].Leaving = true
	version := f.ApplySheet()
	for _, r := range f.Routers {
		r.WaitVersion(version)
		is.True(r.MustDo(ChatRequest("one-way-"+r.Name, 10, false)).OK())
	}
	unreachable.PeerProxy.Heal()
	f.WaitConverged()
	f.WaitBills(2)
}
