package target

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// pool is one generation of connections to one target address.
type pool struct {
	transport *http.Transport
	born      time.Time
}

// route is the way that one call takes.
type route struct {
	transport *http.Transport
	// pool is nil for a call on a connection of its own.
	pool    *pool
	address string
	// limited says that first-byte and gap limits hold.
	limited bool
}

// routeOf returns the route of an idempotent or model call.
func (c *Client) routeOf(call Call) route {
	if call.NewConnection {
		return route{transport: c.single, limited: true}
	}
	return c.pooled(call.Target.GetAddress())
}

// pooled returns the current pool of the address. A pool that is too old is
// replaced first.
func (c *Client) pooled(address string) route {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil || time.Since(p.born) > c.opts.ConnectionMaxAge {
		p = c.replace(address, p)
	}
	return route{transport: p.transport, pool: p, address: address, limited: true}
}

// unpooled returns a route whose connection is new and used once.
func (c *Client) unpooled() route {
	return route{transport: c.single}
}

// suspect gives up the pool that a silent connection belongs to: its idle
// connections are closed at once, the others when their call ends. New calls
// make new connections.
func (c *Client) suspect(r route) {
	c.stats.SilentConnections.Add(1)
	if r.pool == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools[r.address] != r.pool {
		return
	}
	c.replace(r.address, r.pool)
	c.opts.Log.Warn("target: connection fell silent; replaced its pool", zap.String("address", r.address))
}

// replace installs a new pool. The client's lock is held.
func (c *Client) replace(address string, old *pool) *pool {
	if old != nil {
		old.transport.CloseIdleConnections()
		c.stats.PoolsReplaced.Add(1)
	}
	p := &pool{born: time.Now()}
	p.transport = &http.Transport{
		DialContext:         c.dialer.dial,
		MaxIdleConnsPerHost: idlePerTarget,
		DisableCompression:  true,
		IdleConnTimeout:     c.opts.ConnectionMaxAge,
	}
	c.pools[address] = p
	return p
}
