package processtest

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/standin/platform"
)

// maxRefusalTime is a generous bound on an immediate refusal. It is below the
// deadline of the calls and above the duration of one platform call.
const maxRefusalTime = 5 * time.Second

// warmUp makes a router draw a grant by serving requests for a while.
func warmUp(t *testing.T, r *Router) {
	t.Helper()
	load := StartLoad(r, "warm-"+r.Name, 8, 40)
	Eventually(t, r.Name+" serves requests", func() bool { return load.ServedCount() > 40 })
	load.Stop()
}

// During a platform outage, a router must serve model calls from the grants that
// it holds and refuse actions immediately as not run. A router restarted during
// the outage must get its configuration from a peer. After the outage all bills
// must be settled.
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
	running, restarted := f.Routers[0], f.Routers[1]
	warmUp(t, running)
	f.Platform.SetAllFaults(platform.Faults{Outage: outage})

	var stream StreamedResponse
	served := ChatRequest("in-outage", 20, true)
	running.MustReadStream(served, &stream)

	action := ActionRequest("in-outage-action")
	action.Deadline = WaitTimeout
	start := time.Now()
	response := running.MustDo(action)
	is.Equal(response.Error.Kind, "platform_down")
	is.Equal(response.Error.RunState, "not_run")
	is.True(response.Error.RetryAfterMs > 0)
	is.True(time.Since(start) < maxRefusalTime) // refused immediately
	is.Equal(f.executions(action.ID()), 0)      // not_run is correct

	restarted.Kill()
	restarted.Start(t)
	restarted.WaitVersion(1) // received from its peer

	f.Platform.SetAllFaults(platform.Faults{})
	Eventually(t, "the request served during the outage is billed", func() bool { return f.Bills()[served.ID()].GetTokens() == stream.Usage })
	Eventually(t, "the action runs after the outage", func() bool { return running.MustDo(action).OK() })
	is.Equal(f.executions(action.ID()), 1)
	Eventually(t, "the restarted router serves requests", func() bool { return restarted.MustDo(ChatRequest("", 5, false)).OK() })
	Eventually(t, "no bill is waiting", func() bool { return running.Vars().Ledger.WaitingBills == 0 })
	f.waitBillsMatchSpent()
	f.Budget()
}

// A router that starts while neither the platform nor a peer responds must report
// that it isn't ready, with a reason, and refuse calls as not run. It must become
// ready when the platform is available again.
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
	response := r.MustDo(ChatRequest("cold", 5, false))
	is.Equal(response.Error.Kind, "not_ready")
	is.Equal(response.Error.RunState, "not_run")
	f.Platform.SetAllFaults(platform.Faults{})
	r.WaitReady()
	Eventually(t, "the router serves requests", func() bool { return r.MustDo(ChatRequest("cold", 5, false)).OK() })
}
