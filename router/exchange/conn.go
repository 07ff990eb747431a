package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"cuminrock.example/router/responseconn"
)

// readBuffer is the size of a connection's read buffer in bytes.
const readBufferBytes = 4 << 10

// maxHeadBytes bounds the header of a response. A part of the body that was read
// with it may count.
const maxHeadBytes = 64 << 10

// errHeadTooLong means that the header of a response exceeds maxHeadBytes.
var errHeadTooLong = errors.New("the response's header is too long")

// headLimiter bounds what is read from a connection while it is limited.
type headLimiter struct {
	source  io.Reader
	limited bool
	left    int
}

// limit bounds the following reads to maxHeadBytes in all.
func (l *headLimiter) limit() { l.limited, l.left = true, maxHeadBytes }

// lift ends the limit.
func (l *headLimiter) lift() { l.limited = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// conn is a pooled connection. It carries one exchange at a time.
type conn struct {
	*responseconn.Conn
	head   *headLimiter
	reader *bufio.Reader
	// used is true after the first exchange.
	used bool
	// idleSince is when the connection was returned to the pool; idleLimit is how
	// long it may stay there.
	idleSince time.Time
	idleLimit time.Duration
}

func newConn(raw net.Conn) *conn {
	c := responseconn.New(raw)
	head := &headLimiter{source: c}
	return &conn{Conn: c, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}
}

// reusable reports whether an idle connection is open and has no unread data. The
// target may have closed it, or sent bytes that belong to no request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
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
