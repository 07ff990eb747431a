package callerconn

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"cuminrock.example/fleet/callerbuffer"
)

// chunk is a piece of what is buffered.
type chunk struct {
	// data is not written yet.
	data []byte
	// held are the bytes of memory that the piece occupies.
	held int64
}

// enqueue adds to the queue and returns the callers to be disconnected for it. The lock is
// held.
func (c *Conn) enqueue(p []byte) []callerbuffer.Disconnect[*Conn] {
	var added chunk
	if c.kind == callerbuffer.Complete {
		// The capacity is cut, so that nothing is appended to the caller's slice.
		added = chunk{data: p[:len(p):len(p)], held: int64(len(p))}
	} else {
		p = c.fillLast(p)
		if len(p) == 0 {
			return nil
		}
		added.data = append(make([]byte, 0, max(chunkBytes, len(p))), p...)
		added.held = int64(cap(added.data))
	}
	disconnects := c.set.budget.Hold(c, added.held, c.kind, c.set.Now())
	for _, d := range disconnects {
		if d.Caller == c {
			return disconnects
		}
	}
	c.queue = append(c.queue, added)
	if c.drained == nil {
		c.drained = make(chan struct{})
		go c.drain(c.drained)
	}
	return disconnects
}

// fillLast copies what fits to the last piece, and returns the rest. The lock is held.
func (c *Conn) fillLast(p []byte) []byte {
	if len(c.queue) == 0 {
		return p
	}
	last := &c.queue[len(c.queue)-1]
	n := min(len(p), cap(last.data)-len(last.data))
	last.data = append(last.data, p[:n]...)
	return p[n:]
}

// drain writes the queue until it is empty or the connection has failed.
func (c *Conn) drain(done chan struct{}) {
	unacknowledged := c.unacknowledged()
	for {
		next := c.next()
		if next == nil {
			break
		}
		// The error of a closed connection is that of the write.
		_ = c.tcp.SetWriteDeadline(time.Now().Add(c.set.Limits.MaxIdle / progressChecks))
		n, err := c.tcp.Write(next)
		left := c.unacknowledged()
		c.advance(n, n > 0 || left < unacknowledged)
		unacknowledged = left
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			if d, idle := c.set.budget.CheckIdle(c, c.set.Now()); idle {
				c.set.disconnect(d)
			}
		case err != nil:
			c.fail(err)
		}
	}
	close(done)
}

// next returns what is to be written next. Without anything it ends the work of the
// goroutine that calls it, and returns nil.
func (c *Conn) next() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && len(c.queue) > 0 {
		return c.queue[0].data
	}
	c.queue, c.drained = nil, nil
	c.set.budget.Remove(c)
	_ = c.tcp.SetWriteDeadline(time.Time{})
	if c.closeWriteRequested && c.err == nil {
		_ = c.tcp.CloseWrite()
	}
	if c.closeRequested {
		_ = c.tcp.Close()
		c.set.setLingering(c, false)
	}
	return nil
}

// advance removes n bytes from the queue; progress tells whether the caller took any.
func (c *Conn) advance(n int, progress bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := &c.queue[0]
	first.data = first.data[n:]
	var released int64
	if len(first.data) == 0 {
		released = first.held
		c.queue[0] = chunk{}
		c.queue = c.queue[1:]
	}
	if progress {
		c.set.budget.Taken(c, released, c.set.Now())
	}
}

// unacknowledged returns the bytes in the system's send buffer, which the caller's system
// hasn't acknowledged; 0 if that can't be found out.
func (c *Conn) unacknowledged() int {
	var n int
	_ = c.raw.Control(func(fd uintptr) {
		n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return n
}

// fail ends the connection at once; what is buffered is dropped. The caller sees a reset
// connection, so that it can't take an answer for complete, and the system keeps nothing
// for it.
func (c *Conn) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	_ = c.tcp.SetLinger(0)
	_ = c.tcp.Close()
}
