package homebudget

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/router/platformclient/platformfake"
)

// Pattern: 300 gateways share 40 workspaces of very different size, and all lose
// the platform for 8 seconds, twice. A gateway sees a request for a workspace
// every eight seconds, so what it would hold by itself is of no use. At most 5 in
// 100 requests may be refused, and the calls to the platform stay far below what
// 300 gateways and 40 workspaces would make by retrying each for itself.
func TestFleetServesThroughOutagesOfThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const perSecond, balanceSeconds = 600, 60
		workspaces, pick := skewedWorkspaces(40, perSecond*balanceSeconds)
		tables := &slowTables{Fake: &platformfake.Fake{}}
		fleet := newFleet(tables, 5, 60, workspaces)
		l := &load{fleet: fleet, perSecond: perSecond, pick: pick, random: rand.New(rand.NewPCG(1, 2)), consumed: make(map[string]int64)}
		sent, refused := l.run(6 * time.Second)
		for range 2 {
			tables.SetDown(true)
			before := tables.calls.Load()
			n, r := l.run(8 * time.Second)
			t.Logf("outage: %d of %d refused, %d calls", r, n, tables.calls.Load()-before)
			tables.SetDown(false)
			sent, refused = sent+n, refused+r
			n, r = l.run(4 * time.Second)
			sent, refused = sent+n, refused+r
		}
		t.Logf("%d of %d refused, %d calls in all", refused, sent, tables.calls.Load())
		is.True(refused*100 <= sent*5)
		is.True(tables.calls.Load() < 30_000)
		for _, w := range workspaces {
			is.True(l.consumed[w.Name] <= *w.PrepaidTokens)
		}
		fleet.close()
	})
}

// Pattern: the home of a workspace stops responding. The other gateways of the
// data centre agree on the next one, and requests are served with little delay.
func TestNextHomeServesWhenTheFirstIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		prepaidTokens := int64(1_000_000)
		w := &catalog.Workspace{Name: "w", PrepaidTokens: &prepaidTokens}
		fleet := newFleet(&platformfake.Fake{}, 1, 5, []*catalog.Workspace{w})
		l := &load{fleet: fleet, perSecond: 50, random: rand.New(rand.NewPCG(1, 2)), consumed: make(map[string]int64),
			pick: func(*rand.Rand) (*catalog.Workspace, int64) { return w, 100 }}
		_, refused := l.run(3 * time.Second)
		is.Equal(refused, 0)
		call := fleet.gateways[0].budgets.Homes.Pick("w", "dc0", nil, time.Now())
		call.Release()
		fleet.network.setDead(call.Gateway().PeerAddress, true)
		_, refused = l.run(5 * time.Second)
		is.Equal(refused, 0)
		fleet.network.setDead(call.Gateway().PeerAddress, false)
		fleet.close()
	})
}

// Pattern: the balance is nearly spent, and what is left is held by the home of
// another data centre, while the platform has nothing to give.
func TestTokensHeldInAnotherDataCentreAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		prepaidTokens := int64(1000)
		w := &catalog.Workspace{Name: "w", PrepaidTokens: &prepaidTokens}
		tables := &platformfake.Fake{}
		fleet := newFleet(tables, 2, 3, []*catalog.Workspace{w})
		first := fleet.gateways[0]
		reservation, err := first.budgets.Reserve(context.Background(), "a", w, 900, 0, reserveWait)
		is.NoErr(err)
		tables.SetDown(true)
		reservation.Settle(100)
		time.Sleep(time.Second)
		other := fleet.gateways[len(fleet.gateways)-1]
		_, err = other.budgets.Reserve(context.Background(), "b", w, 400, 0, reserveWait)
		is.NoErr(err)
		tables.SetDown(false)
		fleet.close()
	})
}

// Pattern: a gateway with steady demand finds the balance short, while the home of
// its own data centre holds what it needs.
func TestTokensHeldAtTheOwnHomeAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		prepaidTokens := int64(1000)
		w := &catalog.Workspace{Name: "w", PrepaidTokens: &prepaidTokens}
		fleet := newFleet(&platformfake.Fake{}, 1, 3, []*catalog.Workspace{w})
		call := fleet.gateways[0].budgets.Homes.Pick("w", "dc0", nil, time.Now())
		call.Release()
		var owner, busy *testGateway
		for _, g := range fleet.gateways {
			if g.Name == call.Gateway().Name {
				owner = g
			} else {
				busy = g
			}
		}
		reservation, err := owner.budgets.Reserve(context.Background(), "a", w, 1000, 0, reserveWait)
		is.NoErr(err)
		reservation.Settle(100)
		for range 100 {
			busy.budgets.demand.Record("w", time.Now())
		}
		reservation, err = busy.budgets.Reserve(context.Background(), "b", w, 400, 0, reserveWait)
		if err == nil {
			reservation.Settle(400)
		}
		fleet.close()
		is.NoErr(err)
	})
}

// A refusal for lack of tokens isn't tried at further gateways of the data centre,
// and a stopping home is passed over.
func TestRefusalsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		prepaidTokens := int64(1000)
		w := &catalog.Workspace{Name: "w", PrepaidTokens: &prepaidTokens}
		fleet := newFleet(&platformfake.Fake{}, 1, 3, []*catalog.Workspace{w})
		for _, g := range fleet.gateways {
			_, err := g.budgets.Reserve(context.Background(), "a", w, 2000, 0, reserveWait)
			is.True(err != nil)
			is.True(status.Code(err) == codes.Unknown) // an error of package errkind
		}
		holders := 0
		for _, g := range fleet.gateways {
			if _, held := g.manager.ReserveHeld(w, 0, 0); held {
				holders++
			}
		}
		is.Equal(holders, 1) // only the home knows the workspace
		call := fleet.gateways[0].budgets.Homes.Pick("w", "dc0", nil, time.Now())
		call.Release()
		fleet.network.servers[call.Gateway().PeerAddress].RefuseNew()
		is.NoErr(fleet.network.servers[call.Gateway().PeerAddress].Drain(context.Background()))
		for _, g := range fleet.gateways {
			if g.Name == call.Gateway().Name {
				is.NoErr(g.manager.Close(context.Background()))
			}
		}
		for _, g := range fleet.gateways {
			if g.Name == call.Gateway().Name {
				continue
			}
			reservation, err := g.budgets.Reserve(context.Background(), "b", w, 100, 0, reserveWait)
			is.NoErr(err)
			reservation.Settle(100)
		}
		fleet.close()
	})
}
