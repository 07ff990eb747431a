package home

import (
	"math"
	"sync"
	"time"
)

const (
	// demandTimeConstant is the time constant of the exponential decay of past
	// requests.
	demandTimeConstant = 5 * time.Second
	// heavyRate is the rate, in requests per second, from which on a gateway's own
	// demand for a workspace is steady enough to hold its tokens itself.
	heavyRate = 4.0
)

// Demand estimates how often this gateway needs tokens of each workspace. A
// gateway whose callers make most of a workspace's requests is better off with
// tokens of its own than with a call for each request. It is safe for concurrent
// use.
type Demand struct {
	mu         sync.Mutex
	workspaces map[string]*decayingCount
}

// decayingCount is an exponentially weighted count as of a time.
type decayingCount struct {
	count float64
	at    time.Time
}

// NewDemand returns an estimate without any demand.
func NewDemand() *Demand { return &Demand{workspaces: make(map[string]*decayingCount)} }

// Record counts a request and reports whether the demand is heavy.
func (d *Demand) Record(workspace string, now time.Time) (heavy bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.workspaces[workspace]
	if c == nil {
		c = &decayingCount{at: now}
		d.workspaces[workspace] = c
	}
	c.count = c.count*math.Exp(-now.Sub(c.at).Seconds()/demandTimeConstant.Seconds()) + 1
	c.at = now
	return c.count >= heavyRate*demandTimeConstant.Seconds()
}
