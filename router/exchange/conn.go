package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"cuminrock.example/fleet/intake"
	"cuminrock.example/router/responseconn"
)

// readBufferBytes is the size of a connection's read buffer in bytes.
const readBufferBytes = 4 << 10

// conn is a pooled connection. It carries one exchange at a time.
type conn struct {
	*responseconn.Conn
	reader *bufio.Reader
	// used is true after the first exchange.
	used bool
	// idleSince is when the connection was returned to the pool; idleLimit is how
	// long it may stay there.
	idleSince time.Time
	idleLimit time.Duration
}

func newConn(raw net.Conn, room intake.AnswerRoom) *conn {
	c := responseconn.New(raw, room)
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}
}

// expectHead makes what is read next, also what the reader holds already, be checked as the head
// of a response.
func (c *conn) expectHead() {
	if n := c.reader.Buffered(); n > 0 {
		ahead, _ := c.reader.Peek(n)
		c.Unread(ahead)
		c.reader.Reset(c.Conn)
	}
	c.ExpectHead()
}

// hasUnread reports whether bytes have been received that nobody has read.
func (c *conn) hasUnread() bool { return c.reader.Buffered() > 0 || c.Buffered() > 0 }

// reusable reports whether an idle connection is open and has no unread data. The
// target may have closed it, or sent bytes that belong to no request.
func (c *conn) reusable() bool {
	if c.hasUnread() {
		return false
	}
	sys, ok := c.Raw().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}
