package target

import (
	"net/http"
	"time"

	"go.uber.org/zap"
)

// pool is a pool of connections to a target address, used for at most
// ConnectionMaxAge.
type pool struct {
	transport *http.Transport
	createdAt time.Time
}

// route selects the connections for a call.
type route struct {
	transport *http.Transport
	// pool is nil for a call on a connection of its own.
	pool    *pool
	address string
	// hasTimeouts is true if the deadline and the first-byte and gap timeouts
	// bound the wait for the response. They don't bound actions.
	hasTimeouts bool
}

// routeOf returns the route of an idempotent or model call.
func (c *Client) routeOf(call Call) route {
	if call.NewConnection {
		return route{transport: c.unpooledTransport, hasTimeouts: true}
	}
	return c.pooledRoute(call.Target.GetAddress())
}

// pooledRoute returns a route by the current pool of the address. A pool older
// than ConnectionMaxAge is replaced first.
func (c *Client) pooledRoute(address string) route {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil || time.Since(p.createdAt) > c.opts.ConnectionMaxAge {
		p = c.replacePool(address, p)
	}
	return route{transport: p.transport, pool: p, address: address, hasTimeouts: true}
}

// actionRoute returns a route by a new connection, which isn't reused.
func (c *Client) actionRoute() route {
	return route{transport: c.unpooledTransport}
}

// discardPool replaces the pool of a connection that stopped responding. The idle
// connections of the pool are closed at once, the others when their call ends.
// New calls use new connections.
func (c *Client) discardPool(r route) {
	c.stats.SilentConnections.Add(1)
	if r.pool == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools[r.address] != r.pool {
		return
	}
	c.replacePool(r.address, r.pool)
	c.opts.Log.Warn("target: connection stopped responding; replaced its pool", zap.String("address", r.address))
}

// replacePool makes a new pool for the address. The client's lock is held.
func (c *Client) replacePool(address string, old *pool) *pool {
	if old != nil {
		old.transport.CloseIdleConnections()
		c.stats.PoolsReplaced.Add(1)
	}
	p := &pool{createdAt: time.Now()}
	p.transport = &http.Transport{
		DialContext:         c.dialer.dial,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		DisableCompression:  true,
		IdleConnTimeout:     c.opts.ConnectionMaxAge,
	}
	c.pools[address] = p
	return p
}
