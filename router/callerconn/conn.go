package callerconn

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cuminrock.example/fleet/callerbuffer"
)

const (
	// chunkBytes is the least size of a piece of the buffer. Events are shorter, and
	// several share one piece.
	chunkBytes = 8 << 10
	// unsentBytes bounds what the system's send buffer holds beyond what is on its way.
	// It could otherwise hold some MB for each caller that reads slowly. 64 KB are 50 ms
	// of a link of 10 Mbit/s.
	unsentBytes = 64 << 10
	// progressChecks is how often the progress of a caller is checked within the time
	// that it may take nothing.
	progressChecks = 10
)

// ErrTooSlow means that the caller was disconnected because it reads too slowly.
var ErrTooSlow = errors.New("the caller reads too slowly and was disconnected")

// Conn is a caller's connection. Write doesn't wait for the caller while a stream is
// written; a complete answer, which is in memory already, is written before Write returns.
// Close and CloseWrite take effect once everything is written.
type Conn struct {
	net.Conn
	set *Set
	// tcp is the embedded connection. It isn't embedded itself, since its ReadFrom would
	// bypass Write.
	tcp *net.TCPConn
	raw syscall.RawConn
	// tryOnce writes tryData to the socket without blocking; its result is in tryN and
	// tryErr. It is made once, to save an allocation with each write.
	tryOnce func(fd uintptr) bool

	mu        sync.Mutex
	tryData   []byte
	tryN      int
	tryErr    error
	requestID string
	kind      callerbuffer.Kind
	queue     []chunk
	// drained is closed when the goroutine that writes the queue ends; nil while there is
	// none.
	drained chan struct{}
	// err is the error of all further writes.
	err error
	// closeRequested and closeWriteRequested are set by Close and CloseWrite.
	closeRequested, closeWriteRequested bool
}

// wrap returns the connection as one of the set.
func (s *Set) wrap(tcp *net.TCPConn) (*Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: tcp, set: s, tcp: tcp, raw: raw}
	c.tryOnce = func(fd uintptr) bool {
		c.tryN, c.tryErr = ignoringInterrupts(func() (int, error) { return unix.Write(int(fd), c.tryData) })
		return true
	}
	// Without the option the system's buffer is larger, nothing else changes.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
	})
	return c, nil
}

func ignoringInterrupts(call func() (int, error)) (int, error) {
	for {
		n, err := call()
		if err != unix.EINTR {
			return n, err
		}
	}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

type contextKey struct{}

// ConnContext is the ConnContext hook of an http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection of a request's context; nil without one.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// BeginRequest tells which request is answered next, by a stream unless SetComplete is
// called.
func (c *Conn) BeginRequest(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestID, c.kind = id, callerbuffer.Stream
}

// SetComplete tells that the answer is in memory already.
func (c *Conn) SetComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kind = callerbuffer.Complete
}

func (c *Conn) request() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestID
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	rest, err := c.tryWrite(p)
	if err != nil || len(rest) == 0 {
		c.mu.Unlock()
		return len(p) - len(rest), err
	}
	disconnects := c.enqueue(rest)
	wait := c.drained
	if c.kind == callerbuffer.Stream {
		wait = nil
	}
	c.mu.Unlock()
	for _, d := range disconnects {
		c.set.disconnect(d)
	}
	if wait != nil {
		<-wait
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return len(p) - len(rest), c.err
	}
	return len(p), nil
}

// tryWrite writes without blocking, unless something is buffered, and returns what wasn't
// written. The lock is held.
func (c *Conn) tryWrite(p []byte) ([]byte, error) {
	if c.err != nil {
		return p, c.err
	}
	if c.closeRequested {
		return p, net.ErrClosed
	}
	if c.drained != nil || len(p) == 0 {
		return p, nil
	}
	c.tryData, c.tryN, c.tryErr = p, 0, nil
	err := c.raw.Write(c.tryOnce)
	c.tryData = nil
	if err == nil && c.tryErr != nil && c.tryErr != unix.EAGAIN {
		err = os.NewSyscallError("write", c.tryErr)
	}
	return p[max(c.tryN, 0):], err
}

// SetWriteDeadline implements net.Conn. It has no effect: the limits of the set decide how
// long bytes wait. net/http clears the deadline after each request, while those of a slow
// caller may still be written.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn; it sets the deadline of reads only.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// Close implements net.Conn. What is buffered is still written, unless the caller is too
// slow for it.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained == nil || c.err != nil {
		c.closeRequested = true
		return c.tcp.Close()
	}
	if !c.closeRequested {
		c.closeRequested = true
		c.set.setLingering(c, true)
	}
	// Ends the server's reads, as closing does.
	return c.SetReadDeadline(time.Unix(1, 0))
}

// CloseWrite closes the sending side once everything is written.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained == nil || c.err != nil {
		return c.tcp.CloseWrite()
	}
	c.closeWriteRequested = true
	return nil
}
