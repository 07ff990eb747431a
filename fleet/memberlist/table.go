// Package memberlist decides whom a router sends heartbeats to and which routers
// it counts as live.
//
// A router calls the members of its own data centre in turn, at a bounded
// rate; a few gateways of each data centre also call the others. A member is
// live for a router while its own calls to it are answered. A heartbeat that
// comes in makes its sender known and brings news, but proves nothing about
// the other direction, so a cut in one direction takes a member out only of
// the rosters of those who can't reach it.
//
// No safety rests on a roster: two routers that disagree waste work at worst.
// The package is pure: time and randomness come in.
package memberlist

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/mix"
)

const (
	// TickInterval is how often Due should be asked.
	TickInterval = 250 * time.Millisecond
	// callsPerTick bounds the calls to the own data centre in one tick.
	callsPerTick = 2
	// hurryFor is how long calls go out at a higher rate after news, and
	// hurryCallsPerTick is that rate.
	hurryFor          = 2 * time.Second
	hurryCallsPerTick = 4
	// minRound is the shortest time between two calls to the same member.
	minRound = 500 * time.Millisecond
	// remoteInterval is the time between two calls of a gateway to one other
	// data centre.
	remoteInterval = time.Second
	// gateways is how many members of a data centre call the others.
	gateways = 3
	// gatewayTask is the rendezvous key of the gateways.
	gatewayTask = "gateway"
	// failuresToDown is how many failed calls in a row take a member out.
	failuresToDown = 2
	// maxBackoff is the longest time between two calls to a member that is
	// down.
	maxBackoff = 8 * time.Second
	// remoteTTL is how long a member of another data centre counts as live
	// after it was last heard.
	remoteTTL = 30 * time.Second
	// forgetAfter is how long a member that is down and not listed is kept.
	forgetAfter = time.Minute
)

// peer is what is known of one other router.
type peer struct {
	address    string
	dataCentre string
	// member is nil until the first exchange.
	member *pb.Member
	// heard is the last exchange in either direction.
	heard time.Time
	// answered is the last call that was answered.
	answered time.Time
	failures int
	due      time.Time
	calling  bool
	tried    bool
	// kept is set while the VM list or the settings name it.
	kept bool
}

// Table is one router's membership. It is not safe for concurrent use.
type Table struct {
	self   *pb.Member
	random *rand.Rand
	seeds  []string
	peers  map[string]*peer
	// remoteDue is the time of the next call to another data centre.
	remoteDue  map[string]time.Time
	hurryUntil time.Time
	roster     *Roster
	stale      bool
}

// NewTable returns the table of a router that knows the addresses of its
// settings. The random source must be the table's own.
func NewTable(self *pb.Member, seeds []string, random *rand.Rand) *Table {
	t := &Table{
		self:      self,
		random:    random,
		seeds:     seeds,
		peers:     make(map[string]*peer),
		remoteDue: make(map[string]time.Time),
		stale:     true,
	}
	for _, address := range seeds {
		t.know(address, "").kept = true
	}
	return t
}

// Self returns the router's own entry. It must not be modified.
func (t *Table) Self() *pb.Member { return t.self }

// SetSelf replaces the router's own entry.
func (t *Table) SetSelf(self *pb.Member) {
	t.self = self
	t.stale = true
}

// BoostHeartbeats has news told faster for a short while: more calls to the own data
// centre, and one at once to each other.
func (t *Table) BoostHeartbeats(now time.Time) {
	t.hurryUntil = now.Add(hurryFor)
	clear(t.remoteDue)
}

// SetVMs takes the entry VMs of a VM list. Members that are neither listed nor
// heard of any more are forgotten.
func (t *Table) SetVMs(vms []*pb.Vm, now time.Time) {
	for _, p := range t.peers {
		p.kept = slices.Contains(t.seeds, p.address)
	}
	for _, vm := range vms {
		if vm.Role == pb.VmRole_VM_ROLE_ENTRY && vm.Address != "" {
			t.know(vm.Address, vm.DataCentre).kept = true
		}
	}
	maps.DeleteFunc(t.peers, func(_ string, p *peer) bool {
		return !p.kept && p.member == nil || !p.kept && p.down() && now.Sub(p.heard) > forgetAfter
	})
	t.stale = true
}

// know returns the entry of an address. The router's own address gives an
// entry that is never called.
func (t *Table) know(address, dataCentre string) *peer {
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

// Due returns the addresses to call now. Each must be reported by Answered or
// Failed once.
func (t *Table) Due(now time.Time) []string {
	due := t.dueNear(now)
	if t.Roster(now).among(gatewayTask, gateways) {
		due = append(due, t.dueRemote(now)...)
	}
	for _, p := range due {
		p.calling = true
	}
	addresses := make([]string, len(due))
	for i, p := range due {
		addresses[i] = p.address
	}
	return addresses
}

// dueNear returns the members of the own data centre, and those whose data
// centre isn't known yet, that wait longest.
func (t *Table) dueNear(now time.Time) []*peer {
	calls, horizon := callsPerTick, now
	if now.Before(t.hurryUntil) {
		calls, horizon = hurryCallsPerTick, now.Add(maxBackoff)
	}
	var due []*peer
	for _, p := range t.peers {
		if t.near(p) && !p.calling && !p.due.After(horizon) {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *peer) int {
		return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.address, b.address))
	})
	return due[:min(len(due), calls)]
}

func (t *Table) near(p *peer) bool {
	return p.dataCentre == "" || p.dataCentre == t.self.DataCentre
}

// dueRemote returns one member of each other data centre whose turn it is.
func (t *Table) dueRemote(now time.Time) []*peer {
	byCentre := make(map[string][]*peer)
	for _, p := range t.peers {
		if !t.near(p) && !p.calling {
			byCentre[p.dataCentre] = append(byCentre[p.dataCentre], p)
		}
	}
	var due []*peer
	for _, centre := range slices.Sorted(maps.Keys(byCentre)) {
		if t.remoteDue[centre].After(now) {
			continue
		}
		t.remoteDue[centre] = now.Add(t.jitter(remoteInterval))
		due = append(due, t.pick(byCentre[centre]))
	}
	return due
}

// pick returns one of a few peers, which are the same for all routers that see
// the same ones up, so that few connections join two data centres. Where all
// are down any may be the first to come back.
func (t *Table) pick(peers []*peer) *peer {
	slices.SortFunc(peers, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.order(), b.order()), cmp.Compare(a.address, b.address))
	})
	up := slices.DeleteFunc(slices.Clone(peers), (*peer).down)
	if len(up) == 0 {
		return peers[t.random.IntN(len(peers))]
	}
	return up[t.random.IntN(min(gateways, len(up)))]
}

// RecordResponse takes the receiver of a call that was answered. It reports whether
// the member came up with it.
func (t *Table) RecordResponse(address string, receiver *pb.Member, now time.Time) (up bool) {
	p := t.know(address, receiver.DataCentre)
	up = !p.live(t, now)
	t.learn(p, receiver, now)
	p.calling = false
	p.tried = true
	p.failures = 0
	p.answered = now
	p.due = now.Add(t.jitter(t.round()))
	return up
}

// RecordFailure takes a call that wasn't answered. It reports whether the member went
// down with it.
func (t *Table) RecordFailure(address string, now time.Time) (down bool) {
	p := t.know(address, "")
	p.calling = false
	p.tried = true
	p.failures++
	p.due = now.Add(t.jitter(backoff(p.failures)))
	t.stale = true
	return p.failures == failuresToDown && p.member != nil
}

// Suspect makes a member the next to be called, after another message to it
// wasn't answered.
func (t *Table) Suspect(address string, now time.Time) {
	p, known := t.peers[address]
	if known && !p.calling && t.near(p) {
		p.due = time.Time{}
	}
}

// RecordHeartbeat takes the sender of a heartbeat that came in. A sender that isn't live
// is called next.
func (t *Table) RecordHeartbeat(sender *pb.Member, now time.Time) {
	p := t.know(sender.PeerAddress, sender.DataCentre)
	if !p.live(t, now) && !p.calling && t.near(p) {
		p.due = now
	}
	t.learn(p, sender, now)
}

func (t *Table) learn(p *peer, m *pb.Member, now time.Time) {
	p.member = m
	p.dataCentre = m.DataCentre
	p.heard = now
	t.stale = true
}

// AllContacted tells whether every router that is known was called at least once.
func (t *Table) AllContacted() bool {
	for _, p := range t.peers {
		if !p.tried && p.member == nil && t.near(p) {
			return false
		}
	}
	return true
}

// Roster returns the live members.
func (t *Table) Roster(now time.Time) *Roster {
	if !t.stale && !t.expired(now) {
		return t.roster
	}
	var others []*pb.Member
	for _, p := range t.peers {
		if p.live(t, now) {
			others = append(others, p.member)
		}
	}
	t.roster = NewRoster(t.self, others)
	t.stale = false
	return t.roster
}

// expired tells whether a member of the roster went silent by time alone.
func (t *Table) expired(now time.Time) bool {
	live := 0
	for _, p := range t.peers {
		if p.live(t, now) {
			live++
		}
	}
	return live != len(t.roster.others)
}

// live tells whether a peer counts as live. In the own data centre only calls
// that were answered count.
func (p *peer) live(t *Table, now time.Time) bool {
	if p.member == nil || p.down() {
		return false
	}
	if p.dataCentre == t.self.DataCentre {
		return !p.answered.IsZero()
	}
	return now.Sub(p.heard) <= remoteTTL
}

// order ranks the members of another data centre.
func (p *peer) order() uint64 { return mix.Mix64(xxhash.Sum64String(p.address)) }

func (p *peer) down() bool { return p.failures >= failuresToDown }

// round is the time in which each member of the own data centre is called
// once.
func (t *Table) round() time.Duration {
	near := 0
	for _, p := range t.peers {
		if t.near(p) {
			near++
		}
	}
	return max(minRound, time.Duration(near)*TickInterval/callsPerTick)
}

func backoff(failures int) time.Duration {
	d := minRound
	for range failures - 1 {
		d = min(2*d, maxBackoff)
	}
	return d
}

// jitter returns a time from three quarters to five quarters of d.
func (t *Table) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(t.random.Int64N(int64(d)/2))
}
