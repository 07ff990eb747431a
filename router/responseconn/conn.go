// Package responseconn wraps the connections on which responses are read, so that what isn't a
// whole response by HTTP/1 is an error:
//
//   - A connection that was reset has no orderly end.
//   - No byte of a response is returned before its whole head was received and checked.
package responseconn

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cuminrock.example/fleet/intake"
)

// Conn is a client's connection to a server. It carries one request at a time; the request may
// still be written while its response is read.
//
// The system reports a reset once, to the call that comes first. If that is a write, a read
// sees an orderly end, after which a body without a length would count as complete. Read
// returns the error of the write instead.
type Conn struct {
	net.Conn
	// inBody is set while the body of a response is read, and not its head.
	inBody atomic.Bool
	// head is the check of the head that is being received.
	head head
	// received are bytes that were received and not returned, of which the first ready ones
	// may be returned; interim is set if these are an informational response.
	received []byte
	ready    int
	interim  bool

	// hold is what the last head holds.
	hold intake.Hold

	// writing is held during a write.
	writing sync.Mutex
	// lost is the error of the write that found out that the connection is lost.
	lost error
}

// New wraps a connection. A head is expected first. Long heads come out of the room, which is
// nil for no further bound.
func New(c net.Conn, room intake.AnswerRoom) *Conn {
	return &Conn{Conn: c, hold: intake.Hold{Room: room}}
}

// ExpectHead tells that a request will be written next, so that what is received then begins
// with a head; the last one isn't used any longer. It may be called during a Read that waits for
// the first bytes.
func (c *Conn) ExpectHead() {
	c.hold.Release()
	c.inBody.Store(false)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.hold.Release()
	return c.Conn.Close()
}

// Unread gives bytes back that were read after the end of a response. It must not be called
// during a Read.
func (c *Conn) Unread(p []byte) { c.received = append(bytes.Clone(p), c.received...) }

// Buffered returns the number of bytes that were received and not read.
func (c *Conn) Buffered() int { return len(c.received) }

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
	if len(c.received) == 0 {
		n, err := c.receive(p)
		if n == 0 || c.inBody.Load() {
			return n, err
		}
		complete, err := c.scan(p[:n])
		if err != nil {
			return 0, err
		}
		if complete && !c.head.informational() {
			c.endHead()
			return n, nil
		}
		c.received, c.head = bytes.Clone(p[:n]), head{}
	}
	if !c.inBody.Load() && !c.interim {
		c.ready = 0 // what is left of the response before may be a head
	}
	err := c.completeHead(p)
	if err != nil {
		return 0, err
	}
	n := copy(p, c.received[:c.ready])
	c.received, c.ready = c.received[n:], c.ready-n
	c.interim = c.interim && c.ready > 0
	return n, nil
}

// completeHead receives more until bytes may be returned, in pieces that fit into a buffer.
func (c *Conn) completeHead(buffer []byte) error {
	for c.ready == 0 {
		complete, err := c.scan(c.received)
		switch {
		case err != nil:
			return err
		case complete && c.head.informational():
			// Another head follows.
			c.ready, c.interim, c.head = c.head.checked, true, head{}
		case complete:
			c.ready = len(c.received)
			c.endHead()
		default:
			n, err := c.receive(buffer)
			c.received = append(c.received, buffer[:n]...)
			if n == 0 && err == io.EOF {
				return io.ErrUnexpectedEOF
			}
			if n == 0 {
				return err
			}
		}
	}
	return nil
}

// scan checks further lines of a head, and takes room for it.
func (c *Conn) scan(text []byte) (complete bool, err error) {
	complete, err = c.head.scan(text)
	if err == nil && !c.hold.Grow(c.head.cost(len(text))) {
		return false, errNoHeadRoom
	}
	return complete, err
}

// endHead ends the check of a head: a body follows.
func (c *Conn) endHead() {
	c.head, c.interim = head{}, false
	c.inBody.Store(true)
}

// receive reads from the connection. A reset isn't an orderly end.
func (c *Conn) receive(p []byte) (int, error) {
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
