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
	// maxCallRate is the highest mean number of calls a second that a router
	// makes, whatever the size of the fleet.
	maxCallRate = 10.0
	// maxByteRate is the highest mean rate of message bytes a second of a
	// router, both directions of its own calls, without the transport's part.
	maxByteRate = 4096.0
	// leavingLimit is the time in which all routers know of a leaving target.
	leavingLimit = 3 * time.Second
	// deathLimit is the time in which a dead router is out of the rosters.
	deathLimit = 12 * time.Second
)

// perCentre sets the size of the fleet that TestRates measures, over seven
// data centres.
var perCentre = flag.Int("per-centre", 4, "routers in each data centre")

// TestRates holds the cost of a router's calls, and the time until a version
// is in force everywhere, with the platform in reach of all data centres and
// of one only, in simulated time.
func TestRates(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		const settle, span = 30 * time.Second, 20 * time.Second
		f := startFleet(t, ctx, *perCentre, "a", "b", "c", "d", "e", "f", "g")
		time.Sleep(settle)
		calls, bytes, reads := f.counts()
		time.Sleep(span)
		laterCalls, laterBytes, laterReads := f.counts()
		perRouter := span.Seconds() * float64(len(f.routers))
		callRate := float64(laterCalls-calls) / perRouter
		byteRate := float64(laterBytes-bytes) / perRouter
		t.Logf("%d routers: %.1f calls/s and %.0f message bytes/s a router, %.1f platform calls/s of all",
			len(f.routers), callRate, byteRate, float64(laterReads-reads)/span.Seconds())
		is.True(callRate <= maxCallRate)
		is.True(byteRate <= maxByteRate)

		first := f.slowest(2, 12)
		f.setCut(func(from, to *router) bool { return to == nil && from.self.DataCentre != "a" })
		second := f.slowest(12, 22)
		t.Logf("in force within %s, with the platform in reach of one data centre only %s", first, second)
		is.True(first <= inForceLimit)
		is.True(second <= inForceLimit)

		leaving := f.leavingTime()
		dead := f.deathTime()
		t.Logf("leaving target known everywhere within %s, dead router out of all rosters within %s", leaving, dead)
		is.True(leaving <= leavingLimit)
		is.True(dead <= deathLimit)
	})
}

// leavingTime returns when all routers know of a target whose own report one
// router saw.
func (f *fleet) leavingTime() time.Duration {
	target := &pb.Target{Name: "model-pool-old-01"}
	f.routers[0].members.MarkLeaving(target.Name)
	return f.until(func(r *router) bool { return r.members.LeavingTargets().Contains(target) })
}

// deathTime returns when a router that was killed is out of all rosters of its
// data centre.
func (f *fleet) deathTime() time.Duration {
	dead := f.routers[len(f.routers)-1]
	dead.kill()
	f.routers = f.routers[:len(f.routers)-1]
	return f.until(func(r *router) bool {
		return r.self.DataCentre != dead.self.DataCentre || !slices.Contains(names(r), dead.self.Name)
	})
}

// until returns the time until a condition holds at all routers.
func (f *fleet) until(holds func(r *router) bool) time.Duration {
	begin := time.Now()
	for slices.ContainsFunc(f.routers, func(r *router) bool { return !holds(r) }) {
		time.Sleep(10 * time.Millisecond)
		if time.Since(begin) > time.Minute {
			f.t.Fatal("the condition doesn't come to hold")
		}
	}
	return time.Since(begin)
}

// counts returns the calls between routers, their bytes, and the calls to the
// platform so far.
func (n *network) counts() (calls, bytes, platformCalls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls, n.bytes, n.platform.CallCount()
}

// slowest accepts versions and returns the longest time until one was in force
// at all routers.
func (f *fleet) slowest(from, to uint64) time.Duration {
	var longest time.Duration
	for version := from; version < to; version++ {
		f.accept(version)
		longest = max(longest, f.inForceWithin(10*time.Second, version, f.routers...))
		time.Sleep(time.Duration(version) * 137 * time.Millisecond)
	}
	return longest
}
