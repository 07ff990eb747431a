package configwatch_test

import (
	"context"
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

const (
	// maxCallsPerSecond is the highest mean rate of calls made by a router,
	// whatever the size of the fleet.
	maxCallsPerSecond = 10.0
	// maxBytesPerSecond is the highest mean rate of message bytes of a router,
	// in both directions of its own calls, without transport overhead.
	maxBytesPerSecond = 4096.0
	// leavingLimit is the time within which all routers must know that a target
	// is leaving.
	leavingLimit = 3 * time.Second
	// deadRouterLimit is the time within which a dead router must be out of all
	// rosters of its data centre.
	deadRouterLimit = 12 * time.Second
)

// perCentre sets the number of routers in each of the seven data centres of
// TestRates.
var perCentre = flag.Int("per-centre", 4, "routers in each data centre")

// TestRates bounds the rate of a router's calls and message bytes, and the
// times until a version is in force everywhere (with the platform reachable
// from all data centres and from one only), until a leaving target is known
// everywhere, and until a dead router is out of all rosters. It runs in
// simulated time.
func TestRates(t *testing.T) {
	runSimulated(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		const warmUp, span = 30 * time.Second, 20 * time.Second
		f := startFleet(t, ctx, *perCentre, "a", "b", "c", "d", "e", "f", "g")
		time.Sleep(warmUp)
		calls, bytes, reads := f.counts()
		time.Sleep(span)
		laterCalls, laterBytes, laterReads := f.counts()
		perRouter := span.Seconds() * float64(len(f.routers))
		callRate := float64(laterCalls-calls) / perRouter
		byteRate := float64(laterBytes-bytes) / perRouter
		t.Logf("%d routers: %.1f calls/s and %.0f message bytes/s a router, %.1f platform calls/s of all",
			len(f.routers), callRate, byteRate, float64(laterReads-reads)/span.Seconds())
		is.True(callRate <= maxCallsPerSecond)
		is.True(byteRate <= maxBytesPerSecond)

		first := f.maxPropagationTime(2, 12)
		f.setPartition(func(from, to *router) bool { return to == nil && from.self.DataCentre != "a" })
		second := f.maxPropagationTime(12, 22)
		t.Logf("in force within %s, with the platform in reach of one data centre only %s", first, second)
		is.True(first <= inForceLimit)
		is.True(second <= inForceLimit)

		leavingKnown := f.leavingPropagationTime()
		removed := f.deadRouterRemovalTime()
		t.Logf("leaving target known everywhere within %s, dead router out of all rosters within %s", leavingKnown, removed)
		is.True(leavingKnown <= leavingLimit)
		is.True(removed <= deadRouterLimit)
	})
}

// leavingPropagationTime returns the time until all routers know of a leaving
// target that reported itself to one router.
func (f *fleet) leavingPropagationTime() time.Duration {
	target := &pb.Target{Name: "model-pool-old-01"}
	f.routers[0].members.MarkLeaving(target.Name)
	return f.timeUntil(func(r *router) bool { return r.members.LeavingTargets().Contains(target) })
}

// deadRouterRemovalTime kills a router and returns the time until it is out of
// all rosters of its data centre.
func (f *fleet) deadRouterRemovalTime() time.Duration {
	dead := f.routers[len(f.routers)-1]
	dead.kill()
	f.routers = f.routers[:len(f.routers)-1]
	return f.timeUntil(func(r *router) bool {
		return r.self.DataCentre != dead.self.DataCentre || !slices.Contains(memberNames(r), dead.self.Name)
	})
}

// timeUntil returns the time until a condition holds at all routers.
func (f *fleet) timeUntil(holds func(r *router) bool) time.Duration {
	begin := time.Now()
	for slices.ContainsFunc(f.routers, func(r *router) bool { return !holds(r) }) {
		time.Sleep(10 * time.Millisecond)
		if time.Since(begin) > time.Minute {
			f.t.Fatal("the condition didn't hold within a minute")
		}
	}
	return time.Since(begin)
}

// counts returns the number of calls between routers, their message bytes, and
// the number of platform calls so far.
func (n *network) counts() (calls, bytes, platformCalls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.callCount, n.messageBytes, n.platform.CallCount()
}

// maxPropagationTime accepts several versions and returns the longest time
// until one was in force at all routers.
func (f *fleet) maxPropagationTime(from, to uint64) time.Duration {
	var longest time.Duration
	for version := from; version < to; version++ {
		f.accept(version)
		longest = max(longest, f.inForceWithin(10*time.Second, version, f.routers...))
		time.Sleep(time.Duration(version) * 137 * time.Millisecond)
	}
	return longest
}
