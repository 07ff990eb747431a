package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBuffer is the size of a connection's read buffer in bytes.
const readBuffer = 4 << 10

// conn is a connection that carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// used says that an exchange was carried before.
	used bool
	// idleSince is when it was put back; idleLimit is how long it may be kept.
	idleSince time.Time
	idleLimit time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
}

// clean tells whether an idle connection is open and silent: a target that
// closed it, or that sent bytes which belong to no request, makes it useless.
func (c *conn) clean() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
