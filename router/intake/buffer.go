package intake

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"cuminrock.example/fleet/intake"
)

const (
	// unaskedBytes is the size of the system's receive buffer of a connection: what a
	// caller can send that nobody has asked for. It is a part of intake.ConnectionBytes.
	unaskedBytes = 16 << 10
	// largeBufferBytes is the size for a large body, largeWindowBytes what a caller may
	// send of it before any of it is read.
	largeBufferBytes, largeWindowBytes = 2 * intake.LargeBufferBytes, intake.LargeBufferBytes - 1
)

// Listen opens a listener whose connections have small receive buffers from the start, also
// those that aren't accepted yet.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Without the option the system's buffer is larger, nothing else changes.
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, unaskedBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// growBuffer makes the receive buffer as large as a large body needs to come quickly. An
// error only makes the body slower.
func (c *Conn) growBuffer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.largeBuffer || c.stage == refusing {
		return
	}
	c.largeBuffer = true
	c.setBuffer(largeBufferBytes, largeWindowBytes)
}

// ClosesAfterResponse reports whether the connection must be closed after the response, as
// its receive buffer is that of a large body. The system can't make it smaller again: it
// would drop what the caller may send by then, and wait for it to come once more.
func (c *Conn) ClosesAfterResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.largeBuffer
}

func (c *Conn) setBuffer(size, window int) {
	tcp, ok := c.Conn.(interface {
		SyscallConn() (syscall.RawConn, error)
	})
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, window)
	})
}
