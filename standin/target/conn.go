package target

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// listener tracks its open connections and can silence them.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func newListener(lis net.Listener) *listener {
	return &listener{Listener: lis, conns: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// silence permanently silences the connections that are open now and returns
// their number.
func (l *listener) silence(kind Silence) int {
	if kind == SilenceNone {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.muteResponses.Store(true)
		if kind == SilenceBoth {
			c.muteRequests.Store(true)
		}
	}
	return len(l.conns)
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn emulates a connection whose state is lost by a device on the path, such
// as a NAT gateway: its bytes are discarded and neither end gets an error.
type conn struct {
	net.Conn
	listener      *listener
	muteRequests  atomic.Bool
	muteResponses atomic.Bool
}

// Read reads from the connection. Once requests are muted, it discards what
// arrives and returns only when the connection fails.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.muteRequests.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. Once responses are muted, it discards b and
// reports success.
func (c *conn) Write(b []byte) (int, error) {
	if c.muteResponses.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	return trace.Wrap(c.Conn.Close())
}
