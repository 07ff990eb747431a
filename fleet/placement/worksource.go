package placement

// findSources finds the two targets that most likely have the shared parts: those to
// which this router sent them, then the first ranked ones of the data centres.
func (p *pricing) findSources() {
	for i := len(p.prefix.holders) - 1; i >= 0; i-- {
		if s := p.prefix.holders[i].state; p.table.byID[s.target.ID] == s {
			p.offerSource(s)
		}
	}
	for _, ranked := range p.prefix.replicas {
		if p.second != nil && p.secondChance > homeLikelihood {
			return
		}
		for _, s := range ranked[:min(len(ranked), minReplicas)] {
			if !p.recentlyStarted(s) {
				p.offerSource(s)
				break
			}
		}
	}
}

// offerSource takes a listed target as a source if it may be used and is likelier than those
// found before.
func (p *pricing) offerSource(s *targetState) {
	if s == p.source || !p.table.mayCopyFrom(p.r, s) {
		return
	}
	chance := p.cachedChance(s)
	switch {
	case chance > p.sourceChance:
		p.second, p.secondChance = p.source, p.sourceChance
		p.source, p.sourceChance = s, chance
	case chance > p.secondChance:
		p.second, p.secondChance = s, chance
	}
}

// cachedChance returns how likely a target has the shared parts.
func (p *pricing) cachedChance(s *targetState) float64 {
	if p.prefix == nil {
		return 0
	}
	if p.prefix.holds(s, p.now) {
		return sentLikelihood
	}
	if p.recentlyStarted(s) {
		return 0
	}
	for _, ranked := range p.prefix.replicas {
		for i, replica := range ranked[:min(len(ranked), minReplicas)] {
			switch {
			case replica != s:
			case i == 0 && p.seen:
				return homeLikelihood
			case i == 0:
				return newHomeLikelihood
			case p.seen:
				return replicaLikelihood
			default:
				return newReplicaChance
			}
		}
	}
	return 0
}

// recentlyStarted reports whether a target has had little time to fill its cache.
func (p *pricing) recentlyStarted(s *targetState) bool {
	return p.r.Now.Sub(s.registeredAt) <= cacheFillTime
}
