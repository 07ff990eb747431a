package targetlimit

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminrock.example/fleet/home"
	"cuminrock.example/fleet/mix"
	"cuminrock.example/fleet/placement"
)

const (
	// rankingSettleTime is how long after a gateway has registered, or its entry has gone,
	// others may not know of it. Meanwhile no gateway takes the place of the main issuer.
	rankingSettleTime = 5 * time.Second
	// issuerCount is the number of gateways that issue permits for a cold target: the main
	// issuer and those after it in the ranking.
	issuerCount = 3
)

// Role is a gateway's part in issuing the permits for a cold target.
type Role uint8

// The roles of gateways.
const (
	// NoIssuer gateways issue no permits. If all gateways were cut off from each other,
	// and each issued a share, their number would multiply it.
	NoIssuer Role = iota
	// FallbackIssuer gateways issue a small share, since another one may issue permits.
	FallbackIssuer
	// MainIssuer is the first gateway in the ranking.
	MainIssuer
)

// Ranking ranks the registered gateways as issuers of the permits for a target: those of
// the target's data centre first, then by a hash of the target's id and the gateway's
// name. All gateways have the same ranking once they know of the same gateways. It is
// safe for concurrent use.
type Ranking struct {
	self string

	mu sync.Mutex
	// registered has the gateways; gone those whose entries have gone within
	// rankingSettleTime.
	registered, gone map[string]rankedGateway
	known            bool
}

type rankedGateway struct {
	home.Gateway
	// since is when the gateway was first or last registered; zero in the first list.
	since time.Time
}

// NewRanking returns a ranking without gateways for the one with the given name.
func NewRanking(self string) *Ranking {
	return &Ranking{self: self, registered: make(map[string]rankedGateway), gone: make(map[string]rankedGateway)}
}

// Update replaces the registered gateways.
func (r *Ranking) Update(registered []home.Gateway, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.registered
	r.registered = make(map[string]rankedGateway, len(registered))
	for _, g := range registered {
		ranked := rankedGateway{Gateway: g, since: before[g.Name].since}
		if _, found := before[g.Name]; !found && r.known {
			ranked.since = now
		}
		r.registered[g.Name] = ranked
		delete(r.gone, g.Name)
	}
	for name, g := range before {
		if _, still := r.registered[name]; !still {
			r.gone[name] = rankedGateway{Gateway: g.Gateway, since: now}
		}
	}
	maps.DeleteFunc(r.gone, func(_ string, g rankedGateway) bool { return now.Sub(g.since) >= rankingSettleTime })
	r.known = true
}

// Role returns this gateway's role for a target.
func (r *Ranking) Role(t placement.Target, now time.Time) Role {
	r.mu.Lock()
	defer r.mu.Unlock()
	self, found := r.registered[r.self]
	if !found {
		return NoIssuer
	}
	key := xxhash.Sum64String(t.ID)
	place := placeOf(self.Gateway, t.DataCentre, key)
	ahead := 0
	for _, g := range r.registered {
		if g.Name != r.self && placeOf(g.Gateway, t.DataCentre, key).before(place) {
			ahead++
		}
	}
	if ahead >= issuerCount {
		return NoIssuer
	}
	if ahead > 0 || !self.since.IsZero() && now.Sub(self.since) < rankingSettleTime {
		return FallbackIssuer
	}
	for _, g := range r.gone {
		if now.Sub(g.since) < rankingSettleTime && placeOf(g.Gateway, t.DataCentre, key).before(place) {
			return FallbackIssuer
		}
	}
	return MainIssuer
}

// place is a gateway's place in the ranking for a target.
type place struct {
	// dataCentre is empty for that of the target, which comes first.
	dataCentre string
	weight     uint64
}

func placeOf(g home.Gateway, dataCentre string, key uint64) place {
	p := place{dataCentre: g.DataCentre, weight: mix.RendezvousWeight(key, g.Name)}
	if g.DataCentre == dataCentre {
		p.dataCentre = ""
	}
	return p
}

// before reports whether p comes before other.
func (p place) before(other place) bool {
	if p.dataCentre != other.dataCentre {
		return p.dataCentre < other.dataCentre
	}
	return p.weight > other.weight
}
