package target

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
)

// errSealed is the error of a write to a connection whose exchange was given
// up before its first byte.
var errSealed = errors.New("exchange was given up")

// The states of an exchange.
const (
	exchangeIdle int32 = iota
	exchangeSent
	exchangeSealed
)

// exchange tells exactly whether the bytes of one call were written. Either
// begin or seal wins, and the loser stays without effect: a sealed exchange
// never writes, although the transport's writer may still try to.
type exchange struct {
	state atomic.Int32
	conn  atomic.Pointer[conn]
}

// begin marks the exchange as sent. It reports false when it was sealed.
func (e *exchange) begin() bool {
	return e.state.CompareAndSwap(exchangeIdle, exchangeSent) || e.state.Load() == exchangeSent
}

// seal forbids the first write. It reports false when bytes were written.
func (e *exchange) seal() bool {
	return e.state.CompareAndSwap(exchangeIdle, exchangeSealed) || e.state.Load() == exchangeSealed
}

// closeConn closes the connection that carries the exchange, if there is one.
func (e *exchange) closeConn() {
	c := e.conn.Load()
	if c != nil {
		_ = c.Close()
	}
}

// conn is a connection that carries one exchange at a time.
type conn struct {
	net.Conn
	exchange atomic.Pointer[exchange]
}

// Write implements net.Conn. It refuses to write for a sealed exchange.
func (c *conn) Write(p []byte) (int, error) {
	e := c.exchange.Load()
	if e != nil && !e.begin() {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

// carry makes the connection carry an exchange.
func (c *conn) carry(e *exchange) {
	c.exchange.Store(e)
	e.conn.Store(c)
}

// dialer wraps what it dials in a conn.
type dialer struct {
	net.Dialer
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}
