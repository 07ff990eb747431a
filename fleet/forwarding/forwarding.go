// Package forwarding decides through which other gateway a gateway that is cut off from
// all targets passes a request on.
//
// Any gateway may be cut off itself, which it says when it is asked. A Table remembers
// that for a moment, and spreads requests evenly over the gateways of which it knows no
// such thing: first those in the target's data centre, whose links carry the request
// anyway, then those in its own, then the others, and last those that didn't respond
// lately, since a busy gateway may do that now and then. It reads no clock: every input
// carries its time.
package forwarding

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminrock.example/fleet/breaker"
	"cuminrock.example/fleet/home"
	"cuminrock.example/fleet/location"
	"cuminrock.example/fleet/mix"
)

const (
	// minSuspectTime and maxSuspectTime bound the time for which a gateway that can't pass
	// requests on is passed over.
	minSuspectTime = 500 * time.Millisecond
	maxSuspectTime = 2 * time.Second
	// failuresToAlone is the number of offers in a row without a response after which no
	// gateway is thought to be reached.
	failuresToAlone = 3
	// failureMemory is how long a gateway that didn't respond comes last.
	failureMemory = time.Second
	// spread is the number of rankings of the gateways between which a gateway's requests
	// are divided, so that it keeps few connections. Each gateway has others.
	spread = 8
	// triesPerDataCentre is the number of gateways of one data centre that are tried for
	// a request before those of others: a whole data centre may be cut off.
	triesPerDataCentre = 2
)

// Table holds the gateways that may pass requests on. It is safe for concurrent use.
type Table struct {
	self home.Gateway
	// regions are those of the data centres.
	regions location.Regions

	mu       sync.Mutex
	gateways map[string]*gatewayState
	// failures counts the offers without a response since the last one with any.
	failures int
}

type gatewayState struct {
	home.Gateway
	breaker breaker.Breaker
	// failedAt is when the gateway last didn't respond; zero if it has since.
	failedAt time.Time
}

// New returns a table without gateways, where the regions of data centres aren't known.
func New(self home.Gateway) *Table { return NewInRegions(self, nil) }

// NewInRegions returns a table without gateways.
func NewInRegions(self home.Gateway, regions location.Regions) *Table {
	return &Table{self: self, regions: regions, gateways: make(map[string]*gatewayState)}
}

// Update replaces the gateways. What is known of them is kept.
func (t *Table) Update(registered []home.Gateway) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.gateways
	t.gateways = make(map[string]*gatewayState, len(registered))
	for _, g := range registered {
		if g.Name == t.self.Name {
			continue
		}
		state := before[g.Name]
		if state == nil || state.Gateway != g {
			state = &gatewayState{Gateway: g, breaker: breaker.New(minSuspectTime, maxSuspectTime)}
		}
		t.gateways[g.Name] = state
	}
}

// Offer is an offer of a request to a gateway. It ends with Accepted, Refused, Failed or
// Release.
type Offer struct {
	table *Table
	state *gatewayState
	// Gateway is the one that is asked.
	Gateway home.Gateway
	probe   bool
}

// Pick returns an offer to a gateway for a request to a target in a data centre, or nil
// if there is none left. The key, such as the request's id, spreads requests; tried are
// the gateways that were asked before.
func (t *Table) Pick(key, dataCentre string, tried []home.Gateway, now time.Time) *Offer {
	return t.PickWithin(nil, key, dataCentre, tried, now)
}

// PickWithin does the same for a request with home regions, whose body may be sent to
// gateways in these and in this gateway's own region.
func (t *Table) PickWithin(homes location.Homes, key, dataCentre string, tried []home.Gateway, now time.Time) *Offer {
	t.mu.Lock()
	defer t.mu.Unlock()
	hash := t.ranking(key)
	var best *gatewayState
	var bestRank rank
	for _, g := range t.gateways {
		if slices.Contains(tried, g.Gateway) || !g.breaker.Accepts(now) || !t.regions.MayCarry(homes, t.self.DataCentre, g.DataCentre) {
			continue
		}
		r := rank{silent: now.Sub(g.failedAt) < failureMemory, tier: t.tier(g.Gateway, dataCentre, tried), weight: mix.RendezvousWeight(hash, g.Name)}
		if best == nil || r.before(bestRank) {
			best, bestRank = g, r
		}
	}
	if best == nil {
		return nil
	}
	return &Offer{table: t, state: best, Gateway: best.Gateway, probe: best.breaker.Begin()}
}

// ranking returns the hash of the ranking that a request with the key belongs to.
func (t *Table) ranking(key string) uint64 {
	return mix.Mix64(xxhash.Sum64String(t.self.Name) + xxhash.Sum64String(key)%spread)
}

// rank orders gateways for one request.
type rank struct {
	silent bool
	tier   int
	weight uint64
}

func (r rank) before(other rank) bool {
	if r.silent != other.silent {
		return !r.silent
	}
	if r.tier != other.tier {
		return r.tier < other.tier
	}
	return r.weight > other.weight
}

// tier returns 0 for a gateway in the target's data centre, 1 in this gateway's own, 2
// elsewhere and 3 in a data centre in which enough were tried.
func (t *Table) tier(g home.Gateway, dataCentre string, tried []home.Gateway) int {
	there := 0
	for _, other := range tried {
		if other.DataCentre == g.DataCentre {
			there++
		}
	}
	switch {
	case there >= triesPerDataCentre:
		return 3
	case g.DataCentre == dataCentre:
		return 0
	case g.DataCentre == t.self.DataCentre:
		return 1
	default:
		return 2
	}
}

// Accepted records that the gateway passes the request on.
func (o *Offer) Accepted() {
	o.end(func(g *gatewayState) {
		o.table.failures = 0
		g.breaker.Reset()
		g.failedAt = time.Time{}
	})
}

// Refused records that the gateway can't pass requests on now.
func (o *Offer) Refused(now time.Time) {
	o.end(func(g *gatewayState) {
		o.table.failures = 0
		g.breaker.RecordFailure(now)
	})
}

// Failed records that the gateway didn't respond.
func (o *Offer) Failed(now time.Time) {
	o.end(func(g *gatewayState) {
		o.table.failures++
		g.failedAt = now
	})
}

// Release ends an offer that says nothing about the gateway.
func (o *Offer) Release() { o.end(func(*gatewayState) {}) }

func (o *Offer) end(record func(*gatewayState)) {
	o.table.mu.Lock()
	defer o.table.mu.Unlock()
	if o.probe {
		o.state.breaker.EndProbe()
	}
	record(o.state)
}

// Alone reports whether there is no other gateway, or none has responded to the last
// offers.
func (t *Table) Alone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.gateways) == 0 || t.failures >= failuresToAlone
}
