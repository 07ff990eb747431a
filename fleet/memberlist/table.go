// Package memberlist implements the membership protocol of the routers: it decides
// which members a router sends heartbeats to and which routers it considers
// live.
//
// A router calls the members of its own data centre in turn, at a bounded
// rate. A few members of each data centre, its border routers, also call the
// other data centres. A router considers a member live while its own calls to
// the member succeed. An incoming heartbeat makes its sender known and carries
// updates, but it proves nothing about the opposite direction. So a one-way
// partition removes a member only from the rosters of routers that can't reach
// it.
//
// Safety doesn't depend on a roster: at worst, two routers that disagree do
// unnecessary work. The package does no I/O: callers pass in the time and the
// random source.
package memberlist

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

const (
	// TickInterval is the interval at which callers should call Due.
	TickInterval = 250 * time.Millisecond
	// callsPerTick is the maximum number of calls to the own data centre in one
	// tick.
	callsPerTick = 2
	// boostDuration is how long calls are made at a higher rate after
	// BoostHeartbeats, and boostedCallsPerTick is that rate.
	boostDuration       = 2 * time.Second
	boostedCallsPerTick = 4
	// minCallInterval is the minimum time between two calls to the same member,
	// before jitter. It is also the first backoff after a failed call.
	minCallInterval = 500 * time.Millisecond
	// remoteInterval is the average time between two calls of a border router to
	// the same other data centre.
	remoteInterval = time.Second
	// borderRouterCount is the number of members of a data centre that call the
	// other data centres.
	borderRouterCount = 3
	// borderRouterKey is the rendezvous hashing key that selects the border
	// routers.
	borderRouterKey = "gateway"
	// failuresUntilDown is the number of consecutive failed calls after which a
	// member is down.
	failuresUntilDown = 2
	// maxBackoff is the maximum time between two calls to a member that is down.
	maxBackoff = 8 * time.Second
	// remoteTTL is how long a member of another data centre is considered live
	// after the last exchange with it.
	remoteTTL = 30 * time.Second
	// removeAfter is how long a member that is down and not listed stays in the
	// table.
	removeAfter = time.Minute
)

// peer is the state of one other router.
type peer struct {
	address    string
	dataCentre string
	// member is nil until the first exchange.
	member *pb.Member
	// lastExchange is the time of the last exchange in either direction.
	lastExchange time.Time
	// lastResponse is the time of the last successful call.
	lastResponse time.Time
	failures     int
	nextCall     time.Time
	callInFlight bool
	called       bool
	// listed is set while the VM list or the settings name the peer.
	listed bool
}

// Table is the membership table of one router. It is not safe for concurrent
// use.
type Table struct {
	self   *pb.Member
	random *rand.Rand
	seeds  []string
	peers  map[string]*peer
	// remoteDue is the time of the next call to each other data centre.
	remoteDue   map[string]time.Time
	boostUntil  time.Time
	roster      *Roster
	rosterStale bool
}

// NewTable returns the table of a router with the seed addresses from its
// settings. The random source must not be shared.
func NewTable(self *pb.Member, seeds []string, random *rand.Rand) *Table {
	t := &Table{
		self:        self,
		random:      random,
		seeds:       seeds,
		peers:       make(map[string]*peer),
		remoteDue:   make(map[string]time.Time),
		rosterStale: true,
	}
	for _, address := range seeds {
		t.getOrAddPeer(address, "").listed = true
	}
	return t
}

// Self returns the router's own member record. It must not be modified.
func (t *Table) Self() *pb.Member { return t.self }

// SetSelf replaces the router's own member record.
func (t *Table) SetSelf(self *pb.Member) {
	t.self = self
	t.rosterStale = true
}

// BoostHeartbeats spreads an update faster for a short time: it raises the rate of
// calls to the own data centre and makes the calls to all other data centres
// due immediately.
func (t *Table) BoostHeartbeats(now time.Time) {
	t.boostUntil = now.Add(boostDuration)
	clear(t.remoteDue)
}

// SetVMs marks the members on the entry VMs of a VM list as listed and adds new
// ones. It removes unlisted members that never had an exchange with this router,
// or that are down and had none for removeAfter.
func (t *Table) SetVMs(vms []*pb.Vm, now time.Time) {
	for _, p := range t.peers {
		p.listed = slices.Contains(t.seeds, p.address)
	}
	for _, vm := range vms {
		if vm.Role == pb.VmRole_VM_ROLE_ENTRY && vm.Address != "" {
			t.getOrAddPeer(vm.Address, vm.DataCentre).listed = true
		}
	}
	maps.DeleteFunc(t.peers, func(_ string, p *peer) bool {
		return !p.listed && p.member == nil || !p.listed && p.isDown() && now.Sub(p.lastExchange) > removeAfter
	})
	t.rosterStale = true
}

// getOrAddPeer returns the peer with an address and adds it if it is unknown.
// For the router's own address it returns a throwaway peer that isn't in the
// table and so is never called.
func (t *Table) getOrAddPeer(address, dataCentre string) *peer {
	if address == t.self.PeerAddress {
		return &peer{}
	}
	p := t.peers[address]
	if p == nil {
		p = &peer{address: address, dataCentre: dataCentre}
		t.peers[address] = p
	}
	if p.member == nil && dataCentre != "" {
		p.dataCentre = dataCentre
	}
	return p
}

// RecordResponse records a successful call and the member record that the receiver
// returned. It reports whether the member became live.
func (t *Table) RecordResponse(address string, receiver *pb.Member, now time.Time) (up bool) {
	p := t.getOrAddPeer(address, receiver.DataCentre)
	up = !p.isLive(t, now)
	t.updateMember(p, receiver, now)
	p.callInFlight = false
	p.called = true
	p.failures = 0
	p.lastResponse = now
	p.nextCall = now.Add(t.jitter(t.callInterval()))
	return up
}

// RecordFailure records a failed call. It reports whether the member went down with
// this failure.
func (t *Table) RecordFailure(address string, now time.Time) (down bool) {
	p := t.getOrAddPeer(address, "")
	p.callInFlight = false
	p.called = true
	p.failures++
	p.nextCall = now.Add(t.jitter(backoff(p.failures)))
	t.rosterStale = true
	return p.failures == failuresUntilDown && p.member != nil
}

// Suspect makes a member the next one to be called. Use it after another message
// to the member got no response.
func (t *Table) Suspect(address string, now time.Time) {
	p, known := t.peers[address]
	if known && !p.callInFlight && t.isLocal(p) {
		p.nextCall = time.Time{}
	}
}

// RecordHeartbeat records the sender of an incoming heartbeat. A sender that isn't
// live becomes due for a call immediately, since only a successful call makes
// it live.
func (t *Table) RecordHeartbeat(sender *pb.Member, now time.Time) {
	p := t.getOrAddPeer(sender.PeerAddress, sender.DataCentre)
	if !p.isLive(t, now) && !p.callInFlight && t.isLocal(p) {
		p.nextCall = now
	}
	t.updateMember(p, sender, now)
}

func (t *Table) updateMember(p *peer, m *pb.Member, now time.Time) {
	p.member = m
	p.dataCentre = m.DataCentre
	p.lastExchange = now
	t.rosterStale = true
}

// AllContacted reports whether every known member of the own data centre was called
// at least once or has exchanged a message with this router. Members whose data
// centre isn't known yet are included.
func (t *Table) AllContacted() bool {
	for _, p := range t.peers {
		if !p.called && p.member == nil && t.isLocal(p) {
			return false
		}
	}
	return true
}

// Roster returns the roster of live members. It is cached until the table
// changes or a member expires.
func (t *Table) Roster(now time.Time) *Roster {
	if !t.rosterStale && !t.rosterExpired(now) {
		return t.roster
	}
	var others []*pb.Member
	for _, p := range t.peers {
		if p.isLive(t, now) {
			others = append(others, p.member)
		}
	}
	t.roster = NewRoster(t.self, others)
	t.rosterStale = false
	return t.roster
}

// rosterExpired reports whether the set of live members differs from the roster
// because of the passage of time alone.
func (t *Table) rosterExpired(now time.Time) bool {
	live := 0
	for _, p := range t.peers {
		if p.isLive(t, now) {
			live++
		}
	}
	return live != len(t.roster.others)
}

// isLive reports whether a peer is considered live. In the own data centre, only
// successful calls count.
func (p *peer) isLive(t *Table, now time.Time) bool {
	if p.member == nil || p.isDown() {
		return false
	}
	if p.dataCentre == t.self.DataCentre {
		return !p.lastResponse.IsZero()
	}
	return now.Sub(p.lastExchange) <= remoteTTL
}

func (p *peer) isDown() bool { return p.failures >= failuresUntilDown }
