// Package home decides which gateway is the home of a workspace in a data
// centre: the one that takes the workspace's prepaid tokens from the platform
// and reserves them for the others. The issuer of the permits for a target with a
// limit (package targetlimit) is ranked alike, by the target's id.
//
// All gateways rank the registered ones of a data centre by a hash of the
// workspace and the gateway's name, and use the first that responds. Gateways
// may rank differently for a while, when their lists differ or one can't reach
// another. Then a data centre has two homes for a workspace, which costs a
// larger holding but is safe: each spends only tokens that it took itself.
package home

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminrock.example/fleet/breaker"
	"cuminrock.example/fleet/mix"
)

const (
	// minSuspectTime and maxSuspectTime bound the time for which a gateway that
	// didn't respond is passed over.
	minSuspectTime = 500 * time.Millisecond
	maxSuspectTime = 8 * time.Second
)

// Gateway is one registered gateway.
type Gateway struct {
	Name       string
	DataCentre string
	// PeerAddress is the host:port of its listener for other gateways.
	PeerAddress string
}

// Table holds the registered gateways and which of them respond. It is safe for
// concurrent use.
type Table struct {
	self Gateway

	mu       sync.Mutex
	gateways map[string]*gatewayState
	// selfRegistered is set if the registered gateways include self, so that others
	// know it.
	selfRegistered bool
	// dataCentres are the names of the data centres other than self's, in order.
	dataCentres []string
}

type gatewayState struct {
	Gateway
	breaker breaker.Breaker
}

// New returns a table that holds only the gateway itself.
func New(self Gateway) *Table {
	t := &Table{self: self}
	t.Update(nil)
	return t
}

// Self returns the gateway that the table belongs to.
func (t *Table) Self() Gateway { return t.self }

// Update replaces the registered gateways. The gateway itself is always one of
// them. What is known of the others is kept.
func (t *Table) Update(registered []Gateway) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.gateways
	t.selfRegistered = false
	t.gateways = map[string]*gatewayState{t.self.Name: {Gateway: t.self, breaker: newBreaker()}}
	t.dataCentres = nil
	for _, g := range registered {
		if g.Name == t.self.Name {
			t.selfRegistered = true
			continue
		}
		state := before[g.Name]
		if state == nil || state.PeerAddress != g.PeerAddress {
			state = &gatewayState{breaker: newBreaker()}
		}
		state.Gateway = g
		t.gateways[g.Name] = state
		if g.DataCentre != t.self.DataCentre && !slices.Contains(t.dataCentres, g.DataCentre) {
			t.dataCentres = append(t.dataCentres, g.DataCentre)
		}
	}
	slices.Sort(t.dataCentres)
}

func newBreaker() breaker.Breaker { return breaker.New(minSuspectTime, maxSuspectTime) }

// Len returns the number of gateways, this one included.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.gateways)
}

// DataCentres returns the names of all data centres with a gateway, in order.
func (t *Table) DataCentres() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := append(slices.Clone(t.dataCentres), t.self.DataCentre)
	slices.Sort(all)
	return all
}

// OtherDataCentres returns the names of the data centres other than the
// gateway's own.
func (t *Table) OtherDataCentres() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.dataCentres)
}

// Call is a call to a picked gateway, which ends with Succeeded, Failed or
// Release.
type Call struct {
	table   *Table
	state   *gatewayState
	gateway Gateway
	probe   bool
}

// Gateway returns the picked gateway.
func (c *Call) Gateway() Gateway { return c.gateway }

// Succeeded records that the gateway responded.
func (c *Call) Succeeded() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.end()
	c.state.breaker.Reset()
}

// Release ends a call that wasn't made, or says nothing about the gateway.
func (c *Call) Release() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.end()
}

// Failed records that the gateway didn't respond, or isn't a home now.
func (c *Call) Failed(now time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.end()
	c.state.breaker.RecordFailure(now)
}

func (c *Call) end() {
	if c.probe {
		c.state.breaker.EndProbe()
	}
}

// Pick returns a call to the gateway that a key, such as a workspace, is assigned to
// in a data centre: the first in the ranking that responds and isn't excluded by
// name. It returns nil if there is none.
func (t *Table) Pick(key, dataCentre string, exclude []string, now time.Time) *Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := t.first(key, dataCentre, func(g *gatewayState) bool {
		return !slices.Contains(exclude, g.Name) && g.breaker.Accepts(now)
	})
	if best == nil {
		return nil
	}
	return &Call{table: t, state: best, gateway: best.Gateway, probe: best.breaker.Begin()}
}

// First returns the first gateway of a data centre in the ranking for a key, whether
// it responds or not; false if there is none. The gateway itself counts only if it
// is registered or there is no other.
func (t *Table) First(key, dataCentre string) (Gateway, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	alone := len(t.gateways) == 1
	best := t.first(key, dataCentre, func(g *gatewayState) bool {
		return g.Name != t.self.Name || t.selfRegistered || alone
	})
	if best == nil {
		return Gateway{}, false
	}
	return best.Gateway, true
}

// first returns the acceptable gateway of a data centre that is first in the ranking
// for a key, or nil. The lock is held.
func (t *Table) first(key, dataCentre string, accept func(*gatewayState) bool) *gatewayState {
	hash := xxhash.Sum64String(key)
	var best *gatewayState
	var bestWeight uint64
	for _, g := range t.gateways {
		if g.DataCentre != dataCentre || !accept(g) {
			continue
		}
		weight := mix.RendezvousWeight(hash, g.Name)
		if best == nil || weight > bestWeight {
			best, bestWeight = g, weight
		}
	}
	return best
}
