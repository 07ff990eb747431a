package location_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/forwarding"
	"cuminrock.example/fleet/home"
	"cuminrock.example/fleet/location"
	"cuminrock.example/fleet/placement"
)

func TestIntersectionOfHomeRegions(t *testing.T) {
	is := is.New(t)
	is.True(location.NewHomes() == nil) // no restriction
	a, b := location.NewHomes("eu", "us"), location.NewHomes("us", "asia")
	is.Equal(a.And(b).Names(), []string{"us"})
	is.Equal(a.And(nil).Names(), a.Names())
	is.Equal(location.Homes(nil).And(b).Names(), b.Names())
	is.True(location.Homes(nil).And(nil) == nil)
	none := location.NewHomes("eu").And(location.NewHomes("us"))
	is.True(none != nil && len(none) == 0) // not the set of all
}

func TestDataCentresOfUnknownRegionGetNoRequestsWithHomeRegions(t *testing.T) {
	is := is.New(t)
	regions := location.Regions{"a": "eu", "b": "us", "c": "eu", "x": ""}
	eu := location.NewHomes("eu", "")
	is.True(regions.Allow(eu, "a") && !regions.Allow(eu, "b") && !regions.Allow(eu, "x") && !regions.Allow(eu, "y"))
	is.True(regions.Allow(nil, "y"))
	is.True(location.Regions(nil).Allow(nil, "a") && !location.Regions(nil).Allow(eu, "a"))
	is.True(regions.MayCarry(eu, "b", "a"))  // into a home region
	is.True(regions.MayCarry(eu, "b", "b"))  // within the data centre
	is.True(!regions.MayCarry(eu, "a", "b")) // to neither
	us := location.NewHomes("us")
	is.True(regions.MayCarry(us, "a", "c"))  // within a region
	is.True(!regions.MayCarry(us, "x", "y")) // two unknown ones may differ
	is.True(regions.MayCarry(nil, "a", "y"))
}

// homeFaults are what is wrong in a variant of the gateway.
type homeFaults struct {
	// union joins the regions of route and workspace in place of intersecting them.
	union bool
	// unknownIsHome takes a data centre whose region isn't known for a home.
	unknownIsHome bool
	// retriesUnchecked picks the targets of repeated sends without regard to regions.
	retriesUnchecked bool
	// forwardsUnchecked chooses gateways without regard to regions.
	forwardsUnchecked bool
	// copiesUnchecked names sources of copies without regard to regions.
	copiesUnchecked bool
}

// homeCounts is what a run has seen: requests at targets, bodies at gateways and copies
// that break the rule, and requests refused although a home region has targets.
type homeCounts struct {
	targets, bodies, copies, refused, served, refusedForGood int
}

var (
	simRegions = location.Regions{"dc0": "eu", "dc1": "us", "dc2": "eu", "dc3": "asia"} // not dc4
	homeSets   = []location.Homes{nil, location.NewHomes("eu"), location.NewHomes("us", "asia"), location.NewHomes("eu", "us"), location.NewHomes("moon")}
)

func allowed(route, workspace location.Homes, dc string) bool {
	in := func(homes location.Homes) bool {
		region, known := simRegions[dc]
		_, found := homes[region]
		return homes == nil || known && found
	}
	return in(route) && in(workspace)
}

// senderStep selects the gateways that send requests, about thirty in all data centres.
func senderStep(n int) int { return n/30 + 1 }

// simulateHomes sends requests with all pairs of home regions from some of n gateways. Each
// request is sent a second time after a failure, and is passed on as by a gateway that is
// cut off from the targets.
func simulateHomes(n int, wrong homeFaults) homeCounts {
	var counts homeCounts
	random := rand.New(rand.NewPCG(uint64(n), 1))
	var gateways []home.Gateway
	for i := range n {
		gateways = append(gateways, home.Gateway{Name: fmt.Sprint("g", i), DataCentre: fmt.Sprint("dc", i%5), PeerAddress: fmt.Sprint(i)})
	}
	var targets []placement.Target
	for i := range 20 {
		targets = append(targets, placement.Target{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprint(i), DataCentre: fmt.Sprint("dc", i%5)})
	}
	known := simRegions
	if wrong.unknownIsHome {
		known = location.Regions{"dc0": "eu", "dc1": "us", "dc2": "eu", "dc3": "asia", "dc4": "eu"}
	}
	for i := 0; i < n; i += senderStep(n) {
		self := gateways[i]
		table, others := placement.New(self.DataCentre), forwarding.NewInRegions(self, known)
		table.SetRegions(known)
		table.Update(targets, epoch)
		others.Update(gateways)
		for i, route := range homeSets {
			for j, workspace := range homeSets {
				homes := route.And(workspace)
				if wrong.union && route != nil && workspace != nil {
					homes = location.NewHomes(append(route.Names(), workspace.Names()...)...)
				}
				now := epoch.Add(time.Minute + time.Duration(i*len(homeSets)+j)*time.Second)
				counts.serve(&simRequest{table, others, homes, route, workspace, self, random.Uint64N(5) + 1, wrong, now})
			}
		}
	}
	return counts
}

// simRequest is one request with the home regions of its route and workspace, and with
// those that its gateway applies.
type simRequest struct {
	table            *placement.Table
	others           *forwarding.Table
	homes            location.Homes
	route, workspace location.Homes
	self             home.Gateway
	affinity         uint64
	wrong            homeFaults
	now              time.Time
}

func (c *homeCounts) serve(s *simRequest) {
	possible := false
	for _, dc := range []string{"dc0", "dc1", "dc2", "dc3", "dc4"} {
		possible = possible || allowed(s.route, s.workspace, dc)
	}
	r := &placement.Request{Service: "s", Affinity: s.affinity, SharedTokens: 1000, PromptTokens: 1100, Homes: s.homes, Now: s.now}
	refusal := s.table.RefusedByLocation(r)
	if refusal != nil {
		if possible {
			c.refused++
		} else if refusal.RetryAfter > 0 {
			c.refusedForGood++
		}
		return
	}
	for attempt := range 2 {
		if attempt == 1 && s.wrong.retriesUnchecked {
			r.Homes = nil
		}
		lease, err := s.table.Pick(r)
		if err != nil {
			c.refused++
			return
		}
		c.check(s, lease)
		if s.wrong.copiesUnchecked {
			c.checkCopy(s, s.uncheckedSource(*r))
		}
		r.Exclude = append(r.Exclude, lease.Target().ID)
		lease.Done(placement.Failed, s.now)
	}
}

// check checks where a request is sent to, copied from and passed on through.
func (c *homeCounts) check(s *simRequest, lease *placement.Lease) {
	c.served++
	target := lease.Target()
	if !allowed(s.route, s.workspace, target.DataCentre) {
		c.targets++
	}
	c.checkCopy(s, lease.Source())
	homes := s.homes
	if s.wrong.forwardsUnchecked {
		homes = nil
	}
	var tried []home.Gateway
	for range 6 {
		offer := s.others.PickWithin(homes, target.ID, target.DataCentre, tried, s.now)
		if offer == nil {
			break
		}
		tried = append(tried, offer.Gateway)
		offer.Release()
		via := offer.Gateway.DataCentre
		sameRegion := via == s.self.DataCentre || simRegions[via] != "" && simRegions[via] == simRegions[s.self.DataCentre]
		if !sameRegion && !allowed(s.route, s.workspace, via) {
			c.bodies++
		}
	}
}

func (c *homeCounts) checkCopy(s *simRequest, source *placement.Target) {
	if source != nil && !allowed(s.route, s.workspace, source.DataCentre) {
		c.copies++
	}
}

// uncheckedSource returns the source of a copy for the same request without home regions.
func (s *simRequest) uncheckedSource(r placement.Request) *placement.Target {
	r.Homes = nil
	lease, err := s.table.Pick(&r)
	if err != nil {
		return nil
	}
	defer lease.Done(placement.Neutral, s.now)
	return lease.Source()
}

func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	for _, n := range []int{7, 300} {
		is := is.New(t)
		counts := simulateHomes(n, homeFaults{})
		t.Logf("%d gateways: %+v", n, counts)
		is.Equal([]int{counts.targets, counts.bodies, counts.copies, counts.refused}, []int{0, 0, 0, 0})
		senders := (n + senderStep(n) - 1) / senderStep(n)
		is.Equal(counts.served, 2*14*senders) // of 25 pairs, 14 have a region in common with targets
		is.Equal(counts.refusedForGood, 11*senders)
	}
}

func TestFaultyVariantsLeaveTheHomeRegions(t *testing.T) {
	for _, n := range []int{7, 300} {
		is := is.New(t)
		is.True(simulateHomes(n, homeFaults{union: true}).targets > 0)
		is.True(simulateHomes(n, homeFaults{unknownIsHome: true}).targets > 0)
		is.True(simulateHomes(n, homeFaults{retriesUnchecked: true}).targets > 0)
		is.True(simulateHomes(n, homeFaults{forwardsUnchecked: true}).bodies > 0)
		is.True(simulateHomes(n, homeFaults{copiesUnchecked: true}).copies > 0)
	}
}
