package exchange

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cuminrock.example/fleet/intake"
)

const (
	// dialTimeout bounds the time to connect.
	dialTimeout = 300 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive. A
	// machine that answers none of these probes is gone; one that is only silent isn't.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 9
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 32
	// defaultIdleLimit is how long an idle connection is kept if the target sends
	// no Keep-Alive timeout.
	defaultIdleLimit = 4 * time.Second
	// idleMargin is how much earlier than the target this side closes an idle
	// connection, so that no request is sent while the target is closing it.
	idleMargin = time.Second
)

// Pool keeps idle connections by target address. It is safe for concurrent use; its
// exported fields are set before the first use.
type Pool struct {
	// Dial connects to an address.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnConnect, if set, is told the result of each attempt to connect, and when the
	// attempt began. It must not block.
	OnConnect func(address string, began time.Time, err error)
	// Room bounds what the long heads of responses occupy; nil for no bound.
	Room intake.AnswerRoom

	now func() time.Time

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool. Its connections have no TCP_USER_TIMEOUT, which would end
// an exchange with a sound target that reads nothing for a while: the deadline of each
// exchange bounds it.
func NewPool(now func() time.Time) *Pool {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return &Pool{Dial: dialer.DialContext, now: now, idle: make(map[string][]*conn)}
}

// UserTimeoutControl returns a Control function of net.Dialer that sets the
// TCP_USER_TIMEOUT, so that a connection is closed when the peer doesn't acknowledge sent
// data for so long.
func UserTimeoutControl(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, timeout) }
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
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
	raw, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, p.Room), nil
}

// connect makes a new connection.
func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	began := p.now()
	c, err := p.Dial(ctx, "tcp", address)
	if p.OnConnect != nil {
		p.OnConnect(address, began, err)
	}
	return c, err
}

// TryConnect makes a new connection to the address and closes it.
func (p *Pool) TryConnect(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
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
	c.ExpectHead() // the last head isn't used any longer
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

// CloseAllIdle closes all idle connections.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.Close()
		}
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
