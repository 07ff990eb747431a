package target

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// listener counts its connections and can make them silent.
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

// silence makes the open connections silent for good and returns how many.
func (l *listener) silence(kind Silence) int {
	if kind == SilenceNone {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.muteAnswers.Store(true)
		if kind == SilenceBoth {
			c.muteRequests.Store(true)
		}
	}
	return len(l.conns)
}

func (l *listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is a connection that something between the two ends can lose track
// of: its bytes vanish and neither end learns of it.
type conn struct {
	net.Conn
	listener     *listener
	muteRequests atomic.Bool
	muteAnswers  atomic.Bool
}

// Read returns what the peer sent, or nothing for good once silent.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.muteRequests.Load() {
			return n, err
		}
	}
}

// Write sends bytes, or drops them once silent.
func (c *conn) Write(b []byte) (int, error) {
	if c.muteAnswers.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.forget(c)
	return trace.Wrap(c.Conn.Close())
}
