package intake

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"cuminrock.example/fleet/intake"
)

const (
	// headCopies is how often the bytes of a head stand in memory while it is parsed, and
	// lineBytes what each of its lines costs beyond them.
	headCopies, lineBytes = 3, 256
	// freeLines is the number of lines of a head that is paid for with the connection.
	freeLines = 64
	// lingerIdle and lingerTime bound how long a refused caller's bytes are still read:
	// since the last ones, and in all.
	lingerIdle, lingerTime = 5 * time.Second, 30 * time.Second
	// RetryAfter is the Retry-After of a refusal for want of room. Bodies are complete, or
	// their callers gone, in about that time.
	RetryAfter = 250 * time.Millisecond
	// lingerBuffer is the size of the buffer that they are read to, in bytes.
	lingerBuffer = 4 << 10
)

// errRefused ends the reads of a connection whose caller has been refused.
var errRefused = errors.New("the caller was refused")

// stage is what is read from a connection.
type stage uint8

const (
	// readingHead connections wait for a request or bring its head.
	readingHead stage = iota
	// inRequest connections have a request whose head is complete.
	inRequest
	// refusing connections are only read to let their callers know.
	refusing
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	set     *Set
	account *intake.Account[*Conn]

	mu    sync.Mutex
	stage stage
	// headBytes and headLines have been read of the head, and granted are the bytes that
	// were granted for it.
	headBytes, headLines, granted int64
	// evicted is set when others need the connection's room.
	evicted bool
	// closed is set once the server has closed the connection.
	closed bool
	// used is set after the first request, and readAt is when bytes were last read, or the
	// connection was accepted.
	used   bool
	readAt time.Time
	// largeBuffer is set while the system's receive buffer is that of a large body.
	largeBuffer bool
}

func (s *Set) wrap(c net.Conn) *Conn { return &Conn{Conn: c, set: s, readAt: s.Now()} }

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

// ConnState is the ConnState hook of an http.Server.
func ConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if ok && state == http.StateIdle {
		conn.endRequest()
	}
}

// endRequest gives back what the last request held.
func (c *Conn) endRequest() {
	c.mu.Lock()
	if c.stage == inRequest {
		c.stage = readingHead
	}
	c.headBytes, c.headLines, c.granted, c.used = 0, 0, 0, true
	c.mu.Unlock()
	c.account.EndRequest(c.set.Now())
}

// Read implements net.Conn. What is read of a head beyond its grant isn't returned.
func (c *Conn) Read(p []byte) (int, error) {
	if c.isRefusing() {
		return 0, readError()
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.account.Progress(n, c.set.Now())
	if c.set.Opaque {
		c.account.Complete()
		return n, err
	}
	if !c.mayKeep(p[:n]) {
		c.refuseUnread(causeHead)
		return 0, readError()
	}
	return n, err
}

// readError returns an error after which net/http closes the connection without an answer
// of its own.
func readError() error { return &net.OpError{Op: "read", Net: "tcp", Err: errRefused} }

func (c *Conn) isRefusing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stage == refusing
}

// mayKeep asks for what a piece of a head costs beyond what is paid for.
func (c *Conn) mayKeep(piece []byte) bool {
	c.mu.Lock()
	if c.stage != readingHead {
		defer c.mu.Unlock()
		return c.stage == inRequest
	}
	c.readAt = c.set.Now()
	c.headBytes += int64(len(piece))
	c.headLines += int64(bytes.Count(piece, []byte{'\n'}))
	cost := max(c.headBytes-intake.FreeHeadBytes, 0)*headCopies + max(c.headLines-freeLines, 0)*lineBytes
	asked := cost - c.granted
	c.granted = max(cost, c.granted)
	c.mu.Unlock()
	if asked <= 0 {
		return true
	}
	d := c.account.GrowHead(asked, c.set.Now())
	c.set.evict(d.Evicted)
	return d.Granted
}

// Close implements net.Conn. The connection of a refused caller is read on until its caller
// closes it.
func (c *Conn) Close() error {
	c.mu.Lock()
	linger := c.stage == refusing && !c.closed
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	c.set.setOpen(c, false)
	if linger {
		c.set.setLingering(c, true)
		go c.linger()
		return nil
	}
	if first {
		c.account.Close()
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return w.CloseWrite()
}
