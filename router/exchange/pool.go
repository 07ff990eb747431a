package exchange

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing.
	unackedTimeout = 800 * time.Millisecond
	// keepAliveIdle and keepAliveInterval set the probes of silent connections.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idlePerTarget bounds the idle connections kept to one target.
	idlePerTarget = 32
	// defaultIdleLimit is how long an idle connection is kept where the target
	// states no time.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is how much sooner than the target this side gives up an idle
	// connection, so that no request crosses the target's close.
	idleMargin = time.Second
)

// Pool keeps idle connections by target address. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	now    func() time.Time

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(now func() time.Time) *Pool {
	p := &Pool{now: now, idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         SetUserTimeout,
	}
	return p
}

// SetUserTimeout is a net.Dialer's Control that ends connections whose peer
// acknowledges nothing for a while.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// get returns an idle connection to the address, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if p.now().Sub(c.idleSince) < c.idleLimit && c.clean() {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// take removes the newest idle connection; nil where there is none.
func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

// put keeps a connection whose answer was read whole.
func (p *Pool) put(address string, c *conn, idleLimit time.Duration) {
	c.used = true
	c.idleSince = p.now()
	c.idleLimit = idleLimit
	p.mu.Lock()
	defer p.mu.Unlock()
	if idleLimit <= 0 || len(p.idle[address]) >= idlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// CloseExpired closes idle connections past their time.
func (p *Pool) CloseExpired() {
	now := p.now()
	var old []*conn
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Sub(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}
