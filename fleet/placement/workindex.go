package placement

import (
	"github.com/cespare/xxhash/v2"

	"cuminrock.example/fleet/mix"
	"cuminrock.example/fleet/workmodel"
)

const (
	// maxReplicas is the number of ranked targets of a data centre that are remembered
	// for a prefix, and minReplicas the number of those that a prefix uses. The caches of a
	// service hold each prefix a few times only, so more replicas evict one another.
	maxReplicas = 8
	minReplicas = 1
	// hotReplicaFactor is the number of targets that a prefix uses beyond minReplicas, as
	// a multiple of its share of the requests times the targets of the data centre.
	hotReplicaFactor = 1.5
	// maxHolders is the number of targets remembered to which this router sent a prefix.
	maxHolders = 4
	// priorPath is the extra time to a first event from another data centre, in ms, until
	// it is learned.
	priorPath = 5
)

// prefix is what is known about the shared parts of prompts.
type prefix struct {
	// replicas are the ranked targets by data centre, as of a generation of the list of
	// targets.
	replicas   [][]*targetState
	generation uint64
	// lastSeen is when this router last sent a request with it; 0 at first.
	lastSeen workmodel.Instant
	sends    decayingCount
	// holders are the targets to which this router sent it last, the newest last.
	holders []prefixHolder
}

type prefixHolder struct {
	state *targetState
	at    workmodel.Instant
}

// indexTargets builds the lists of targets by data centre. What is known of services and
// data centres is kept.
func (t *Table) indexTargets() {
	if t.work.services == nil {
		t.work.services = make(map[string]*workService)
	}
	for name, svc := range t.work.services {
		if t.services[name] == nil {
			delete(t.work.services, name)
			continue
		}
		svc.generation++
	}
	for name, targets := range t.services {
		svc := t.work.services[name]
		if svc == nil {
			svc = &workService{model: workmodel.NewService(), prefixes: make(map[uint64]*prefix)}
			t.work.services[name] = svc
		}
		svc.index(targets, t.dataCentre)
	}
}

// index sorts the service's targets into data centres.
func (svc *workService) index(targets []*targetState, local string) {
	known := make(map[string]*dataCentreWork)
	for _, dc := range svc.dataCentres {
		known[dc.name] = dc.known
	}
	byName := make(map[string]*workDataCentre)
	svc.dataCentres, svc.targets = svc.dataCentres[:0:0], len(targets)
	for _, s := range targets {
		dc := byName[s.target.DataCentre]
		if dc == nil {
			dc = &workDataCentre{name: s.target.DataCentre, local: s.target.DataCentre == local, known: known[s.target.DataCentre]}
			if dc.known == nil {
				dc.known = &dataCentreWork{path: workmodel.NewMean(priorPath)}
			}
			byName[dc.name] = dc
			svc.dataCentres = append(svc.dataCentres, dc)
		}
		s.work.dataCentre = dc
		dc.targets, dc.hashes = append(dc.targets, s), append(dc.hashes, xxhash.Sum64String(s.target.ID))
		s.work.inUsed = s.work.usedAt != 0
		if s.work.inUsed {
			dc.used = append(dc.used, s)
		}
	}
	for i, dc := range svc.dataCentres {
		if dc.local {
			svc.dataCentres[0], svc.dataCentres[i] = dc, svc.dataCentres[0]
		}
	}
}

// prefix returns the record of a prefix with its replicas; nil for no prefix.
func (svc *workService) prefix(affinity uint64) *prefix {
	if affinity == 0 {
		return nil
	}
	p := svc.prefixes[affinity]
	if p == nil {
		if len(svc.prefixes) >= maxPrefixes {
			clear(svc.prefixes)
		}
		p = &prefix{}
		svc.prefixes[affinity] = p
	}
	if p.replicas == nil || p.generation != svc.generation {
		p.rank(affinity, svc)
	}
	return p
}

// rank finds the targets with the highest rendezvous weights in each data centre.
func (p *prefix) rank(affinity uint64, svc *workService) {
	p.generation = svc.generation
	p.replicas = make([][]*targetState, len(svc.dataCentres))
	for i, dc := range svc.dataCentres {
		p.replicas[i] = dc.rank(affinity)
	}
}

// rank returns up to maxReplicas targets, the highest rendezvous weight first.
func (dc *workDataCentre) rank(affinity uint64) []*targetState {
	var indexes [maxReplicas]int
	var weights [maxReplicas]uint64
	n := 0
	for index, hash := range dc.hashes {
		weight := mix.Mix64(affinity ^ hash)
		if n == maxReplicas && weight <= weights[n-1] {
			continue
		}
		n = min(n+1, maxReplicas)
		i := n - 1
		for ; i > 0 && weights[i-1] < weight; i-- {
			indexes[i], weights[i] = indexes[i-1], weights[i-1]
		}
		indexes[i], weights[i] = index, weight
	}
	ranked := make([]*targetState, n)
	for i := range ranked {
		ranked[i] = dc.targets[indexes[i]]
	}
	return ranked
}

// replicaCount returns the number of targets of a data centre that a prefix uses: more
// for one that is a large share of the service's requests.
func replicaCount(share float64, dc *workDataCentre) int {
	return min(minReplicas+int(hotReplicaFactor*share*float64(len(dc.targets))), maxReplicas)
}

// recordSend records that a prefix was sent to a target.
func (p *prefix) recordSend(s *targetState, now workmodel.Instant) {
	p.lastSeen = now
	p.sends.add(now)
	p.forget(s)
	if len(p.holders) == maxHolders {
		p.holders = append(p.holders[:0], p.holders[1:]...)
	}
	p.holders = append(p.holders, prefixHolder{state: s, at: now})
}

// forget forgets that a prefix was sent to a target.
func (p *prefix) forget(s *targetState) {
	for i, h := range p.holders {
		if h.state == s {
			p.holders = append(p.holders[:i], p.holders[i+1:]...)
			return
		}
	}
}

// holds reports whether this router recently sent the prefix to the target.
func (p *prefix) holds(s *targetState, now workmodel.Instant) bool {
	for _, h := range p.holders {
		if h.state == s {
			return now.Sub(h.at) <= cacheRetention
		}
	}
	return false
}

// markUsed records that the router sends to the target.
func (s *targetState) markUsed(now workmodel.Instant) {
	s.work.usedAt = now
	if !s.work.inUsed {
		s.work.inUsed = true
		s.work.dataCentre.used = append(s.work.dataCentre.used, s)
	}
}

// randomUsed returns a random one of the targets that were used recently; nil if there
// is none. It drops one that wasn't, if it comes across it.
func (dc *workDataCentre) randomUsed(w *expectedWork, now workmodel.Instant) *targetState {
	if len(dc.used) == 0 {
		return nil
	}
	i := w.random(len(dc.used))
	s := dc.used[i]
	if s.recentlyUsed(now) {
		return s
	}
	s.work.inUsed = false
	dc.used[i] = dc.used[len(dc.used)-1]
	dc.used = dc.used[:len(dc.used)-1]
	return nil
}
