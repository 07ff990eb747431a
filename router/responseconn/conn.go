// Package responseconn wraps the connections on which responses are read, so that a part of a
// response can't be taken for all of it: a connection that was reset has no orderly end.
package responseconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a client's connection to a server. It carries one request at a time; the request may
// still be written while its response is read.
//
// The system reports a reset once, to the call that comes first. If that is a write, a read
// sees an orderly end, after which a body without a length would count as complete. Read
// returns the error of the write instead.
type Conn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// lost is the error of the write that found out that the connection is lost.
	lost error
}

// New wraps a connection.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Raw returns the connection that is wrapped.
func (c *Conn) Raw() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.noteLoss(err)
	return n, err
}

// WriteBuffers writes blocks, on a TCP connection by one system call.
func (c *Conn) WriteBuffers(blocks net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := blocks.WriteTo(c.Conn)
	c.noteLoss(err)
	return n, err
}

// noteLoss keeps the error of a write if the system reported with it that the connection is
// lost. EPIPE isn't such an error: the server had ended its response in order before. The lock
// is held.
func (c *Conn) noteLoss(err error) {
	var errno syscall.Errno
	if c.lost == nil && errors.As(err, &errno) && errno != syscall.EPIPE {
		c.lost = err
	}
}

// Read implements net.Conn. The error is io.EOF only if the server has ended its response in
// order. The request isn't written any further then.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns the error of a read that saw an orderly end.
func (c *Conn) endError() error {
	// A write in progress may have got the reset and not returned yet, or be waiting for a
	// server that reads no more.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.lost != nil {
		return c.lost
	}
	return io.EOF
}
