package target

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"cuminrock.example/router/responseconn"
)

// errAborted is the error of a write to a connection whose exchange was aborted
// before its first byte.
var errAborted = errors.New("exchange was aborted before its first write")

// The states of an exchange.
const (
	exchangeUnsent int32 = iota
	exchangeSent
	exchangeAborted
)

// exchange records whether any byte of a call was written. Either markSent or
// abort wins, and the other one has no effect: an aborted exchange never writes,
// although the transport's writer may still try to.
type exchange struct {
	state atomic.Int32
	conn  atomic.Pointer[conn]
}

// markSent marks the exchange as sent. It reports false if it was aborted.
func (e *exchange) markSent() bool {
	return e.state.CompareAndSwap(exchangeUnsent, exchangeSent) || e.state.Load() == exchangeSent
}

// abort prevents the first write. It reports false if a write has begun.
func (e *exchange) abort() bool {
	return e.state.CompareAndSwap(exchangeUnsent, exchangeAborted) || e.state.Load() == exchangeAborted
}

// closeConn closes the connection of the exchange, if there is one.
func (e *exchange) closeConn() {
	c := e.conn.Load()
	if c != nil {
		_ = c.Close()
	}
}

// conn is a connection that carries one exchange at a time.
type conn struct {
	*responseconn.Conn
	exchange atomic.Pointer[exchange]
}

// Write implements net.Conn. It fails if the exchange was aborted.
func (c *conn) Write(p []byte) (int, error) {
	e := c.exchange.Load()
	if e != nil && !e.markSent() {
		return 0, errAborted
	}
	return c.Conn.Write(p)
}

// attach makes the connection carry an exchange.
func (c *conn) attach(e *exchange) {
	c.ExpectHead()
	c.exchange.Store(e)
	e.conn.Store(c)
}

// dialer wraps each connection that it dials in a conn.
type dialer struct {
	net.Dialer
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: responseconn.New(c, nil)}, nil
}
