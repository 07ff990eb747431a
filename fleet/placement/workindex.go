package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminrock.example/fleet/mix"
	"cuminrock.example/fleet/workmodel"
)

const (
	// maxReplicas is the number of ranked targets of a data centre that are remembered
	// for a prefix, and minReplicas the number of those that a prefix uses.
	maxReplicas = 8
	minReplicas = 2
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
	// lastSeen is when this router last sent a request with it; zero at first.
	lastSeen time.Time
	sends    decayingCount
	// holders are the targets to which this router sent it last, the newest last.
	holders []prefixHolder
}

type prefixHolder struct {
	state *targetState
	at    time.Time
}

// indexTargets builds the lists of targets by data centre. What is known of services and
// data centres is kept.
func (t *Table) indexTargets() {
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
		s.work.hash, s.work.dataCentre = xxhash.Sum64String(s.target.ID), dc
		dc.targets = append(dc.targets, s)
		s.work.inUsed = !s.work.usedAt.IsZero()
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
		p.replicas[i] = rankTargets(dc.targets, affinity)
	}
}

// rankTargets returns up to maxReplicas targets, the highest rendezvous weight first.
func rankTargets(targets []*targetState, affinity uint64) []*targetState {
	ranked := make([]*targetState, 0, min(len(targets), maxReplicas))
	var weights [maxReplicas]uint64
	for _, s := range targets {
		weight := mix.Mix64(affinity ^ s.work.hash)
		i := len(ranked)
		if i == maxReplicas {
			if weight <= weights[i-1] {
				continue
			}
			i--
		} else {
			ranked = append(ranked, s)
		}
		for ; i > 0 && weights[i-1] < weight; i-- {
			ranked[i], weights[i] = ranked[i-1], weights[i-1]
		}
		ranked[i], weights[i] = s, weight
	}
	return ranked
}

// replicaCount returns the number of targets of a data centre that a prefix uses: more
// for one that is a large share of the service's requests.
func (p *prefix) replicaCount(svc *workService, dc *workDataCentre, now time.Time) int {
	share := p.sends.value(now) / max(svc.sends.value(now), 1)
	return min(minReplicas+int(hotReplicaFactor*share*float64(len(dc.targets))), maxReplicas)
}

// recordSend records that a prefix was sent to a target.
func (p *prefix) recordSend(s *targetState, now time.Time) {
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
func (p *prefix) holds(s *targetState, now time.Time) bool {
	for _, h := range p.holders {
		if h.state == s {
			return now.Sub(h.at) <= cacheRetention
		}
	}
	return false
}

// markUsed records that the router sends to the target.
func (s *targetState) markUsed(now time.Time) {
	s.work.usedAt = now
	if !s.work.inUsed {
		s.work.inUsed = true
		s.work.dataCentre.used = append(s.work.dataCentre.used, s)
	}
}

// randomUsed returns a random one of the targets that were used recently; nil if there
// is none. It drops one that wasn't, if it comes across it.
func (dc *workDataCentre) randomUsed(w *expectedWork, now time.Time) *targetState {
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
