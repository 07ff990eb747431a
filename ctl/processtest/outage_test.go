package processtest

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/standin/platform"
)

// fastAnswer is a generous bound on what is answered "at once": it is below
// the deadline of the calls and above the time of one platform call.
const fastAnswer = 5 * time.Second

// warm draws tokens at a router by serving for a while.
func warm(t *testing.T, r *Router) {
	t.Helper()
	load := StartLoad(r, "warm-"+r.Name, 8, 40)
	Eventually(t, r.Name+" serves", func() bool { return load.ServedCount() > 40 })
	load.Stop()
}

// While the platform is out, cached grants go on serving and actions are
// refused at once as not run. A router restarted meanwhile gets its
// configuration from its peers. Afterwards all bills are settled.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	for _, outage := range []platform.Outage{platform.OutageUnavailable, platform.OutageHang} {
		t.Run(string(outage), func(t *testing.T) {
			t.Parallel()
			testOutage(t, outage)
		})
	}
}

func testOutage(t *testing.T, outage platform.Outage) {
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 51, TokensPerSecond: 500})
	kept, restarted := f.Routers[0], f.Routers[1]
	warm(t, kept)
	f.Platform.SetAllFaults(platform.Faults{Outage: outage})

	var a StreamedResponse
	served := ChatRequest("in-outage", 20, true)
	kept.MustReadStream(served, &a)

	action := ActionRequest("in-outage-action")
	action.Deadline = WaitTimeout
	start := time.Now()
	reply := kept.MustDo(action)
	is.Equal(reply.Error.Kind, "platform_down")
	is.Equal(reply.Error.RunState, "not_run")
	is.True(reply.Error.RetryAfterMs > 0)
	is.True(time.Since(start) < fastAnswer) // refused at once
	is.Equal(f.executions(action.ID()), 0)  // not_run is true

	restarted.Kill()
	restarted.Start(t)
	restarted.WaitVersion(1) // from its peer

	f.Platform.SetAllFaults(platform.Faults{})
	Eventually(t, "the bill of the outage stands", func() bool { return f.Bills()[served.ID()].GetTokens() == a.Usage })
	Eventually(t, "the action runs after the outage", func() bool { return kept.MustDo(action).OK() })
	is.Equal(f.executions(action.ID()), 1)
	Eventually(t, "the restarted router serves", func() bool { return restarted.MustDo(ChatRequest("", 5, false)).OK() })
	Eventually(t, "no bill waits", func() bool { return kept.Vars().Ledger.WaitingBills == 0 })
	f.waitSpent()
	f.Budget()
}

// A router that is started while neither the platform nor a peer answers is
// not ready, and says why. It becomes ready with the platform.
func TestColdStartInOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 52, Centres: []string{"cluj-a"}})
	r := f.Routers[0]
	r.Kill()
	f.Platform.SetAllFaults(platform.Faults{Outage: platform.OutageUnavailable})
	r.Start(t)
	s, ok := r.Status()
	is.True(ok)
	is.True(!s.Ready)
	is.True(s.Reason != "")
	reply := r.MustDo(ChatRequest("cold", 5, false))
	is.Equal(reply.Error.Kind, "not_ready")
	is.Equal(reply.Error.RunState, "not_run")
	f.Platform.SetAllFaults(platform.Faults{})
	r.WaitReady()
	Eventually(t, "it serves", func() bool { return r.MustDo(ChatRequest("cold", 5, false)).OK() })
}
