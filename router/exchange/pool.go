package exchange

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to connect.
	dialTimeout = 300 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT: how long sent data may stay
	// unacknowledged before the connection is closed.
	userTimeout = 800 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 32
	// defaultIdleLimit is how long an idle connection is kept if the target sends
	// no Keep-Alive timeout.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is how much earlier than the target this side closes an idle
	// connection, so that no request is sent while the target is closing it.
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

// SetUserTimeout is a Control function of net.Dialer. It sets TCP_USER_TIMEOUT, so
// that the connection is closed when the peer doesn't acknowledge sent data.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// get returns an idle connection to the address, or a new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if p.now().Sub(c.idleSince) < c.idleLimit && c.reusable() {
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

// ConnectionRefused reports whether a new connection to the address is refused.
func (p *Pool) ConnectionRefused(ctx context.Context, address string) bool {
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// takeIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) takeIdle(address string) *conn {
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

// put returns a connection to the pool after its response was read completely. It
// closes the connection if it may not be kept.
func (p *Pool) put(address string, c *conn, idleLimit time.Duration) {
	c.used = true
	c.idleSince = p.now()
	c.idleLimit = idleLimit
	p.mu.Lock()
	defer p.mu.Unlock()
	if idleLimit <= 0 || len(p.idle[address]) >= maxIdlePerTarget {
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

// CloseExpired closes connections that have been idle for longer than their limit.
func (p *Pool) CloseExpired() {
	now := p.now()
	var expired []*conn
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Sub(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}
