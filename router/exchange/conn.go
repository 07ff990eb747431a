package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBuffer is the size of a connection's read buffer in bytes.
const readBufferBytes = 4 << 10

// conn is a pooled connection. It carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// used is true after the first exchange.
	used bool
	// idleSince is when the connection was returned to the pool; idleLimit is how
	// long it may stay there.
	idleSince time.Time
	idleLimit time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}
}

// reusable reports whether an idle connection is open and has no unread data. The
// target may have closed it, or sent bytes that belong to no request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
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
