package policysim

// split gives each pool an even, fixed part of every top-up.
type split struct {
	pools int
	free  [budgets][]int64
	// due are parts of top-ups that a cut pool has not heard of.
	due    [budgets][]int64
	net    *network
	writes int
}

func newSplit(net *network, pools int) *split {
	s := &split{pools: pools, net: net}
	for b := range budgets {
		s.free[b] = make([]int64, pools)
		s.due[b] = make([]int64, pools)
	}
	return s
}

func (s *split) pool(router int) int { return router * s.pools / routers }

func (s *split) centre(pool int) int { return pool * centres / s.pools }

func (s *split) topUp(b int, tokens int64) {
	s.writes++
	for p := range s.pools {
		s.due[b][p] += tokens / int64(s.pools)
	}
	s.due[b][0] += tokens % int64(s.pools)
}

func (s *split) reserve(r request) bool {
	p := s.pool(r.router)
	if s.net.platform(s.centre(p)) {
		s.free[r.budget][p] += s.due[r.budget][p]
		s.due[r.budget][p] = 0
	}
	if s.free[r.budget][p] < boundTokens {
		return false
	}
	s.free[r.budget][p] -= boundTokens
	return true
}

func (s *split) reachable(r request) int64 {
	var sum int64
	for p := range s.pools {
		if s.net.peers(s.centre(p), s.centre(s.pool(r.router))) {
			sum += s.free[r.budget][p]
		}
	}
	return sum
}

func (s *split) finish(r request) {
	s.free[r.budget][s.pool(r.router)] += boundTokens - r.usage
}

func (s *split) kill(int) {}

// tick counts one settlement a second of each pool.
func (s *split) tick(int) { s.writes += s.pools }

func (s *split) outcome() (int, int64) { return s.writes, 0 }

// perRequest draws each request's bound from the platform.
type perRequest struct {
	free   [budgets]int64
	net    *network
	writes int
}

func (p *perRequest) topUp(b int, tokens int64) { p.free[b] += tokens }

func (p *perRequest) reserve(r request) bool {
	if !p.net.platform(r.router/routersPerCentre) || p.net.slow {
		return false
	}
	if p.free[r.budget] < boundTokens {
		return false
	}
	p.free[r.budget] -= boundTokens
	p.writes++
	return true
}

func (p *perRequest) reachable(r request) int64 {
	if !p.net.platform(r.router / routersPerCentre) {
		return 0
	}
	return p.free[r.budget]
}

func (p *perRequest) finish(r request) {
	p.free[r.budget] += boundTokens - r.usage
	p.writes++
}

func (p *perRequest) kill(int) {}

func (p *perRequest) tick(int) {}

func (p *perRequest) outcome() (int, int64) { return p.writes, 0 }
