package memberlist

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

var startTime = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func testMember(centre string, number int) *pb.Member {
	name := fmt.Sprintf("router-%s-%d", centre, number)
	return &pb.Member{Name: name, DataCentre: centre, PeerAddress: name + ":8082"}
}

// newFullTable returns the table of router 0 of data centre a, after a successful
// call to every other router of its data centre.
func newFullTable(perCentre int, centres ...string) *Table {
	return newFullTableOf(0, perCentre, centres...)
}

func newFullTableOf(self, perCentre int, centres ...string) *Table {
	table := NewTable(testMember("a", self), nil, rand.New(rand.NewPCG(1, 2)))
	var vms []*pb.Vm
	for _, centre := range centres {
		for i := range perCentre {
			m := testMember(centre, i)
			vms = append(vms, &pb.Vm{Name: m.Name, DataCentre: centre, Address: m.PeerAddress, Role: pb.VmRole_VM_ROLE_ENTRY})
		}
	}
	table.SetVMs(vms, startTime)
	for i := range perCentre {
		if i == self {
			continue
		}
		m := testMember("a", i)
		table.RecordResponse(m.PeerAddress, m, startTime)
	}
	return table
}

func TestIncomingHeartbeatDoesNotMakeMemberLive(t *testing.T) {
	is := is.New(t)
	table := NewTable(testMember("a", 0), nil, rand.New(rand.NewPCG(1, 2)))
	other := testMember("a", 1)
	table.RecordHeartbeat(other, startTime)
	is.Equal(len(table.Roster(startTime).Others()), 0)
	is.Equal(table.Due(startTime), []string{other.PeerAddress})
	is.True(table.RecordResponse(other.PeerAddress, other, startTime))
	is.Equal(len(table.Roster(startTime).Others()), 1)
}

func TestTwoFailuresMarkMemberDownUntilItResponds(t *testing.T) {
	is := is.New(t)
	table := newFullTable(3, "a")
	other := testMember("a", 1)
	is.True(!table.RecordFailure(other.PeerAddress, startTime))
	is.Equal(len(table.Roster(startTime).Others()), 2)
	is.True(table.RecordFailure(other.PeerAddress, startTime))
	is.Equal(len(table.Roster(startTime).Others()), 1)
	table.RecordHeartbeat(other, startTime)
	is.Equal(len(table.Roster(startTime).Others()), 1)
	is.True(table.RecordResponse(other.PeerAddress, other, startTime))
	is.Equal(len(table.Roster(startTime).Others()), 2)
}

func TestCallsToNewMembersAreBoundedPerTick(t *testing.T) {
	is := is.New(t)
	table := newFullTable(2, "a")
	var vms []*pb.Vm
	for i := range 51 {
		m := testMember("a", i)
		vms = append(vms, &pb.Vm{DataCentre: "a", Address: m.PeerAddress, Role: pb.VmRole_VM_ROLE_ENTRY})
	}
	table.SetVMs(vms, startTime)
	is.Equal(len(table.Due(startTime)), callsPerTick)
	is.True(!table.AllContacted())
}

func TestBoostHeartbeatsIsTemporary(t *testing.T) {
	is := is.New(t)
	table := newFullTable(51, "a")
	table.BoostHeartbeats(startTime)
	is.Equal(len(table.Due(startTime)), boostedCallsPerTick)
	later := startTime.Add(boostDuration + time.Minute)
	is.Equal(len(table.Due(later)), callsPerTick)
}

func TestSuspectedMemberIsCalledNext(t *testing.T) {
	is := is.New(t)
	table := newFullTable(51, "a")
	suspect := testMember("a", 33).PeerAddress
	now := startTime.Add(10 * time.Second)
	table.Suspect(suspect, now)
	is.Equal(table.Due(now)[0], suspect)
}

func TestUnlistedDownMemberIsRemoved(t *testing.T) {
	is := is.New(t)
	table := newFullTable(3, "a")
	down := testMember("a", 1)
	table.RecordFailure(down.PeerAddress, startTime)
	table.RecordFailure(down.PeerAddress, startTime)
	table.SetVMs(nil, startTime.Add(removeAfter/2))
	is.Equal(len(table.peers), 2)
	table.SetVMs(nil, startTime.Add(2*removeAfter))
	is.Equal(len(table.peers), 1)
}

func TestOthersListsOwnDataCentreFirst(t *testing.T) {
	is := is.New(t)
	r := NewRoster(testMember("b", 0), []*pb.Member{testMember("a", 1), testMember("b", 2), testMember("b", 1)})
	is.Equal(r.Others()[0].Name, "router-b-1")
	is.Equal(r.Others()[1].Name, "router-b-2")
	is.Equal(r.Others()[2].Name, "router-a-1")
}

// The call rate must be bounded at any size, every local member must be called
// within a round, and only border routers may call other data centres, and there
// only a few members of each.
func TestCallRateIsBounded(t *testing.T) {
	borderRoutersSeen := 0
	for self := range 51 {
		table := newFullTableOf(self, 51, "a", "b", "c", "d", "e", "f", "g")
		if table.Roster(startTime).isAmongTop(borderRouterKey, borderRouterCount) {
			borderRoutersSeen++
			checkCallRate(t, table, 8+6*1.4, 6*borderRouterCount)
		} else if self < 5 {
			checkCallRate(t, table, 8, 0)
		}
	}
	is.New(t).Equal(borderRoutersSeen, borderRouterCount)
}

// checkCallRate runs a table for 30 simulated seconds. It checks the number of
// calls per second, the number of members of other data centres that it calls
// and that each local member was called in the last 10 seconds.
func checkCallRate(t *testing.T, table *Table, maxRate float64, remoteMembers int) {
	is := is.New(t)
	const span = 30 * time.Second
	remote := make(map[string]bool)
	calls := 0
	for now := startTime; now.Before(startTime.Add(span)); now = now.Add(TickInterval) {
		for _, address := range table.Due(now) {
			calls++
			p := table.peers[address]
			if p.dataCentre != "a" {
				remote[address] = true
			}
			table.RecordResponse(address, &pb.Member{Name: address, DataCentre: p.dataCentre, PeerAddress: address}, now)
		}
	}
	is.True(float64(calls)/span.Seconds() <= maxRate)
	is.Equal(len(remote), remoteMembers)
	for _, p := range table.peers {
		is.True(p.dataCentre != "a" || p.lastResponse.After(startTime.Add(span-10*time.Second)))
	}
}

// If the rosters of a data centre agree, exactly borderRouterCount of its
// members consider themselves border routers.
func TestNumberOfBorderRouters(t *testing.T) {
	is := is.New(t)
	var members []*pb.Member
	for i := range 51 {
		members = append(members, testMember("a", i))
	}
	count := 0
	for i, self := range members {
		others := append(append([]*pb.Member{}, members[:i]...), members[i+1:]...)
		if NewRoster(self, others).isAmongTop(borderRouterKey, borderRouterCount) {
			count++
		}
	}
	is.Equal(count, borderRouterCount)
}

// The removal of a member must move only the keys that it owned.
func TestHomeMovesOnlyKeysOfRemovedMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 12).Draw(t, "members")
		removed := rapid.IntRange(1, count-1).Draw(t, "removed")
		var all, remaining []*pb.Member
		for i := 1; i < count; i++ {
			all = append(all, testMember("a", i))
			if i != removed {
				remaining = append(remaining, testMember("a", i))
			}
		}
		before := NewRoster(testMember("a", 0), all)
		after := NewRoster(testMember("a", 0), remaining)
		key := rapid.String().Draw(t, "key")
		homeBefore, _ := before.Home(key)
		homeAfter, _ := after.Home(key)
		if homeBefore.Name != homeAfter.Name && homeBefore.Name != testMember("a", removed).Name {
			t.Fatalf("key %q moved from %s to %s, but only member %d was removed", key, homeBefore.Name, homeAfter.Name, removed)
		}
	})
}

func TestHomeSpreadsKeysEvenly(t *testing.T) {
	is := is.New(t)
	const members, keys = 51, 190_000
	roster := newFullTable(members, "a").Roster(startTime)
	count := make(map[string]int)
	for i := range keys {
		home, _ := roster.Home(fmt.Sprintf("budget-%07d", i))
		count[home.Name]++
	}
	for _, n := range count {
		is.True(n > keys/members*9/10 && n < keys/members*11/10)
	}
	is.Equal(len(count), members)
}

// Peers that exchange heartbeats must not keep a mark alive after its source
// has stopped reporting it.
func TestLeavingMarkExpiresOnAllPeers(t *testing.T) {
	is := is.New(t)
	a, b := NewLeavingTracker(), NewLeavingTracker()
	a.RecordFromSource("t", startTime)
	now := startTime
	for range 1000 {
		for _, target := range a.HeartbeatTargets(now) {
			b.RecordFromPeer(target, now)
		}
		for _, target := range b.HeartbeatTargets(now) {
			a.RecordFromPeer(target, now)
		}
		now = now.Add(100 * time.Millisecond)
	}
	is.Equal(len(a.Snapshot(now).Identifiers()), 0)
	is.Equal(len(b.Snapshot(now).Identifiers()), 0)
}

func BenchmarkHome(b *testing.B) {
	for _, members := range []int{2, 12, 51} {
		roster := newFullTable(members, "a").Roster(startTime)
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				roster.Home("budget-0000042")
			}
		})
	}
}
