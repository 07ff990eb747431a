package policysim

// staticSplit gives each pool an even, fixed part of every top-up.
type staticSplit struct {
	pools int
	free  [budgetCount][]int64
	// pendingTopUps are parts of top-ups that a partitioned pool has not yet
	// received.
	pendingTopUps [budgetCount][]int64
	net           *network
	writes        int
}

func newStaticSplit(net *network, pools int) *staticSplit {
	s := &staticSplit{pools: pools, net: net}
	for b := range budgetCount {
		s.free[b] = make([]int64, pools)
		s.pendingTopUps[b] = make([]int64, pools)
	}
	return s
}

func (s *staticSplit) pool(router int) int { return router * s.pools / routerCount }

func (s *staticSplit) centre(pool int) int { return pool * centreCount / s.pools }

func (s *staticSplit) topUp(b int, tokens int64) {
	s.writes++
	for p := range s.pools {
		s.pendingTopUps[b][p] += tokens / int64(s.pools)
	}
	s.pendingTopUps[b][0] += tokens % int64(s.pools)
}

func (s *staticSplit) reserve(r request) bool {
	p := s.pool(r.router)
	if s.net.reachesPlatform(s.centre(p)) {
		s.free[r.budget][p] += s.pendingTopUps[r.budget][p]
		s.pendingTopUps[r.budget][p] = 0
	}
	if s.free[r.budget][p] < requestBound {
		return false
	}
	s.free[r.budget][p] -= requestBound
	return true
}

func (s *staticSplit) reachable(r request) int64 {
	var sum int64
	for p := range s.pools {
		if s.net.connected(s.centre(p), s.centre(s.pool(r.router))) {
			sum += s.free[r.budget][p]
		}
	}
	return sum
}

func (s *staticSplit) finish(r request) {
	s.free[r.budget][s.pool(r.router)] += requestBound - r.usage
}

func (s *staticSplit) crash(int) {}

// tick counts one settlement per second and pool.
func (s *staticSplit) tick(int) { s.writes += s.pools }

func (s *staticSplit) totals() (int, int64) { return s.writes, 0 }

// drawPerRequest draws the bound of each request from the platform.
type drawPerRequest struct {
	free   [budgetCount]int64
	net    *network
	writes int
}

func (p *drawPerRequest) topUp(b int, tokens int64) { p.free[b] += tokens }

func (p *drawPerRequest) reserve(r request) bool {
	if !p.net.reachesPlatform(r.router/routersPerCentre) || p.net.platformSlow {
		return false
	}
	if p.free[r.budget] < requestBound {
		return false
	}
	p.free[r.budget] -= requestBound
	p.writes++
	return true
}

func (p *drawPerRequest) reachable(r request) int64 {
	if !p.net.reachesPlatform(r.router / routersPerCentre) {
		return 0
	}
	return p.free[r.budget]
}

func (p *drawPerRequest) finish(r request) {
	p.free[r.budget] += requestBound - r.usage
	p.writes++
}

func (p *drawPerRequest) crash(int) {}

func (p *drawPerRequest) tick(int) {}

func (p *drawPerRequest) totals() (int, int64) { return p.writes, 0 }
