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

var begin = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func sampleMember(centre string, number int) *pb.Member {
	name := fmt.Sprintf("router-%s-%d", centre, number)
	return &pb.Member{Name: name, DataCentre: centre, PeerAddress: name + ":8082"}
}

// fullTable returns the table of router 0 of centre a, which has had an answer
// from every other router of its data centre.
func fullTable(perCentre int, centres ...string) *Table {
	return fullTableOf(0, perCentre, centres...)
}

func fullTableOf(self, perCentre int, centres ...string) *Table {
	table := NewTable(sampleMember("a", self), nil, rand.New(rand.NewPCG(1, 2)))
	var vms []*pb.Vm
	for _, centre := range centres {
		for i := range perCentre {
			m := sampleMember(centre, i)
			vms = append(vms, &pb.Vm{Name: m.Name, DataCentre: centre, Address: m.PeerAddress, Role: pb.VmRole_VM_ROLE_ENTRY})
		}
	}
	table.SetVMs(vms, begin)
	for i := range perCentre {
		if i == self {
			continue
		}
		m := sampleMember("a", i)
		table.RecordResponse(m.PeerAddress, m, begin)
	}
	return table
}

func TestHeardIsNotAnswered(t *testing.T) {
	is := is.New(t)
	table := NewTable(sampleMember("a", 0), nil, rand.New(rand.NewPCG(1, 2)))
	other := sampleMember("a", 1)
	table.RecordHeartbeat(other, begin)
	is.Equal(len(table.Roster(begin).Others()), 0)
	is.Equal(table.Due(begin), []string{other.PeerAddress})
	is.True(table.RecordResponse(other.PeerAddress, other, begin))
	is.Equal(len(table.Roster(begin).Others()), 1)
}

func TestTwoFailuresTakeAMemberOutUntilItAnswers(t *testing.T) {
	is := is.New(t)
	table := fullTable(3, "a")
	other := sampleMember("a", 1)
	is.True(!table.RecordFailure(other.PeerAddress, begin))
	is.Equal(len(table.Roster(begin).Others()), 2)
	is.True(table.RecordFailure(other.PeerAddress, begin))
	is.Equal(len(table.Roster(begin).Others()), 1)
	table.RecordHeartbeat(other, begin)
	is.Equal(len(table.Roster(begin).Others()), 1)
	is.True(table.RecordResponse(other.PeerAddress, other, begin))
	is.Equal(len(table.Roster(begin).Others()), 2)
}

func TestNewcomersAreCalledAFewAtATime(t *testing.T) {
	is := is.New(t)
	table := fullTable(2, "a")
	var vms []*pb.Vm
	for i := range 51 {
		m := sampleMember("a", i)
		vms = append(vms, &pb.Vm{DataCentre: "a", Address: m.PeerAddress, Role: pb.VmRole_VM_ROLE_ENTRY})
	}
	table.SetVMs(vms, begin)
	is.Equal(len(table.Due(begin)), callsPerTick)
	is.True(!table.AllContacted())
}

func TestNewsIsToldFasterForAWhile(t *testing.T) {
	is := is.New(t)
	table := fullTable(51, "a")
	table.BoostHeartbeats(begin)
	is.Equal(len(table.Due(begin)), hurryCallsPerTick)
	later := begin.Add(hurryFor + time.Minute)
	is.Equal(len(table.Due(later)), callsPerTick)
}

func TestSuspectIsCalledNext(t *testing.T) {
	is := is.New(t)
	table := fullTable(51, "a")
	suspect := sampleMember("a", 33).PeerAddress
	now := begin.Add(10 * time.Second)
	table.Suspect(suspect, now)
	is.Equal(table.Due(now)[0], suspect)
}

func TestUnlistedDeadMemberIsForgotten(t *testing.T) {
	is := is.New(t)
	table := fullTable(3, "a")
	dead := sampleMember("a", 1)
	table.RecordFailure(dead.PeerAddress, begin)
	table.RecordFailure(dead.PeerAddress, begin)
	table.SetVMs(nil, begin.Add(forgetAfter/2))
	is.Equal(len(table.peers), 2)
	table.SetVMs(nil, begin.Add(2*forgetAfter))
	is.Equal(len(table.peers), 1)
}

func TestOwnDataCentreStandsFirst(t *testing.T) {
	is := is.New(t)
	r := NewRoster(sampleMember("b", 0), []*pb.Member{sampleMember("a", 1), sampleMember("b", 2), sampleMember("b", 1)})
	is.Equal(r.Others()[0].Name, "router-b-1")
	is.Equal(r.Others()[1].Name, "router-b-2")
	is.Equal(r.Others()[2].Name, "router-a-1")
}

// Calls are bounded at any size, every member gets its turn within a round, and
// only gateways call other data centres, a few members of each.
func TestCallsAreBounded(t *testing.T) {
	gatewaysSeen := 0
	for self := range 51 {
		table := fullTableOf(self, 51, "a", "b", "c", "d", "e", "f", "g")
		if table.Roster(begin).among(gatewayTask, gateways) {
			gatewaysSeen++
			checkCalls(t, table, 8+6*1.4, 6*gateways)
		} else if self < 5 {
			checkCalls(t, table, 8, 0)
		}
	}
	is.New(t).Equal(gatewaysSeen, gateways)
}

// checkCalls runs a table for a while and holds its rate of calls a second and
// the number of members of other data centres that it calls.
func checkCalls(t *testing.T, table *Table, maxRate float64, remoteMembers int) {
	is := is.New(t)
	const span = 30 * time.Second
	remote := make(map[string]bool)
	calls := 0
	for now := begin; now.Before(begin.Add(span)); now = now.Add(TickInterval) {
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
		is.True(p.dataCentre != "a" || p.answered.After(begin.Add(span-10*time.Second)))
	}
}

// Exactly the stated number of members of a data centre see themselves as
// gateways when their rosters agree.
func TestGatewaysAreFew(t *testing.T) {
	is := is.New(t)
	var members []*pb.Member
	for i := range 51 {
		members = append(members, sampleMember("a", i))
	}
	count := 0
	for i, self := range members {
		others := append(append([]*pb.Member{}, members[:i]...), members[i+1:]...)
		if NewRoster(self, others).among(gatewayTask, gateways) {
			count++
		}
	}
	is.Equal(count, gateways)
}

// A member that goes moves only its own keys, and routers with the same
// roster agree.
func TestHomeMovesOnlyTheKeysOfTheMemberThatWent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 12).Draw(t, "members")
		gone := rapid.IntRange(1, count-1).Draw(t, "gone")
		var all, left []*pb.Member
		for i := 1; i < count; i++ {
			all = append(all, sampleMember("a", i))
			if i != gone {
				left = append(left, sampleMember("a", i))
			}
		}
		before := NewRoster(sampleMember("a", 0), all)
		after := NewRoster(sampleMember("a", 0), left)
		key := rapid.String().Draw(t, "key")
		was, _ := before.Home(key)
		is, _ := after.Home(key)
		if was.Name != is.Name && was.Name != sampleMember("a", gone).Name {
			t.Fatalf("key %q moved from %s to %s, but member %d went", key, was.Name, is.Name, gone)
		}
	})
}

func TestHomesAreEven(t *testing.T) {
	is := is.New(t)
	const members, keys = 51, 190_000
	roster := fullTable(members, "a").Roster(begin)
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

// A mark that its source took back isn't caught again from a peer.
func TestLeavingMarkEndsEverywhere(t *testing.T) {
	is := is.New(t)
	a, b := NewLeavingTracker(), NewLeavingTracker()
	a.RecordFromSource("t", begin)
	now := begin
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
		roster := fullTable(members, "a").Roster(begin)
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				roster.Home("budget-0000042")
			}
		})
	}
}
