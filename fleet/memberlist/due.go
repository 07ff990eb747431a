package memberlist

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminrock.example/fleet/mix"
)

// Due returns the addresses to call now. The caller must report the result of
// each call once, with RecordResponse or RecordFailure.
func (t *Table) Due(now time.Time) []string {
	due := t.dueLocal(now)
	if t.Roster(now).isAmongTop(borderRouterKey, borderRouterCount) {
		due = append(due, t.dueRemote(now)...)
	}
	for _, p := range due {
		p.callInFlight = true
	}
	addresses := make([]string, len(due))
	for i, p := range due {
		addresses[i] = p.address
	}
	return addresses
}

// dueLocal returns the peers of the own data centre that have been due for the
// longest time. Peers whose data centre isn't known yet are included. While
// heartbeats are boosted, peers that become due within maxBackoff are included
// too.
func (t *Table) dueLocal(now time.Time) []*peer {
	calls, dueBefore := callsPerTick, now
	if now.Before(t.boostUntil) {
		calls, dueBefore = boostedCallsPerTick, now.Add(maxBackoff)
	}
	var due []*peer
	for _, p := range t.peers {
		if t.isLocal(p) && !p.callInFlight && !p.nextCall.After(dueBefore) {
			due = append(due, p)
		}
	}
	slices.SortFunc(due, func(a, b *peer) int {
		return cmp.Or(a.nextCall.Compare(b.nextCall), cmp.Compare(a.address, b.address))
	})
	return due[:min(len(due), calls)]
}

func (t *Table) isLocal(p *peer) bool {
	return p.dataCentre == "" || p.dataCentre == t.self.DataCentre
}

// dueRemote returns one member of each other data centre that is due for a call.
func (t *Table) dueRemote(now time.Time) []*peer {
	byCentre := make(map[string][]*peer)
	for _, p := range t.peers {
		if !t.isLocal(p) && !p.callInFlight {
			byCentre[p.dataCentre] = append(byCentre[p.dataCentre], p)
		}
	}
	var due []*peer
	for _, centre := range slices.Sorted(maps.Keys(byCentre)) {
		if t.remoteDue[centre].After(now) {
			continue
		}
		t.remoteDue[centre] = now.Add(t.jitter(remoteInterval))
		due = append(due, t.pickRemote(byCentre[centre]))
	}
	return due
}

// pickRemote returns a random one of a few peers that are up. Routers that see the
// same peers up choose from the same few, which keeps the number of connections
// between two data centres low. If all peers are down, it returns any of them,
// since any may be the first to recover.
func (t *Table) pickRemote(peers []*peer) *peer {
	slices.SortFunc(peers, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.pickOrder(), b.pickOrder()), cmp.Compare(a.address, b.address))
	})
	up := slices.DeleteFunc(slices.Clone(peers), (*peer).isDown)
	if len(up) == 0 {
		return peers[t.random.IntN(len(peers))]
	}
	return up[t.random.IntN(min(borderRouterCount, len(up)))]
}

// pickOrder is a hash of the address that ranks the members of another data
// centre.
func (p *peer) pickOrder() uint64 { return mix.Mix64(xxhash.Sum64String(p.address)) }

// callInterval returns the time in which each member of the own data centre is
// called once.
func (t *Table) callInterval() time.Duration {
	localPeers := 0
	for _, p := range t.peers {
		if t.isLocal(p) {
			localPeers++
		}
	}
	return max(minCallInterval, time.Duration(localPeers)*TickInterval/callsPerTick)
}

func backoff(failures int) time.Duration {
	d := minCallInterval
	for range failures - 1 {
		d = min(2*d, maxBackoff)
	}
	return d
}

// jitter returns a random duration between 3/4 and 5/4 of d.
func (t *Table) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(t.random.Int64N(int64(d)/2))
}
