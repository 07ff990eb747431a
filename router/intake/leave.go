package intake

import (
	"fmt"
	"time"
)

// unreadAnswer is the answer to a caller whose request isn't read.
var unreadAnswer = func() []byte {
	const body = `{"error":"no_room","message":"this router has no room for the request"}`
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.3f\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		RetryAfter.Seconds(), len(body), body)
}()

// refuseUnread tells the caller that its request isn't read.
func (c *Conn) refuseUnread(why cause) {
	if !c.beginRefusal() {
		return
	}
	c.set.record(c, why)
	// An error only means that the caller has left.
	_, _ = c.Conn.Write(unreadAnswer)
}

// refuseFirstRequest waits for a request and refuses it. An answer before any request
// would be an error to the caller.
func (c *Conn) refuseFirstRequest() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerIdle))
	_, err := c.Conn.Read(make([]byte, lingerBuffer))
	if err != nil || c.set.Opaque {
		c.closeNow()
		return
	}
	c.refuseUnread(causeConnections)
	_ = c.Close()
}

// beginRefusal ends the reads of the connection, and gives back what it holds. It reports
// false if that was done before.
func (c *Conn) beginRefusal() bool {
	c.mu.Lock()
	before := c.stage
	c.stage = refusing
	c.mu.Unlock()
	c.account.Refuse(c.set.Now())
	return before != refusing
}

// evict makes the connection go, since others need its room. A caller that has sent a part
// of its request gets an answer.
func (c *Conn) evict() {
	mustClose := c.account.MustClose()
	c.mu.Lock()
	c.evicted = true
	stage, partial := c.stage, c.headBytes > 0
	if stage == inRequest {
		// ReadBody ends, and its caller answers. The lock keeps the deadline from ending the
		// reads of a connection that is refused meanwhile.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	switch {
	case stage == inRequest, stage == refusing && !mustClose:
		return
	case stage == readingHead && partial:
		c.refuseUnread(causeStalled)
	case stage == readingHead:
		c.set.record(c, causeStalled)
	}
	_ = c.Conn.Close()
}

// closeNow closes the connection without reading it on.
func (c *Conn) closeNow() {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	c.set.setOpen(c, false)
	if first {
		c.account.Close()
	}
	_ = c.Conn.Close()
}

// linger reads, and keeps nothing, until the caller closes the connection or its time is up.
func (c *Conn) linger() {
	_ = c.CloseWrite()
	buffer := make([]byte, lingerBuffer)
	for end := time.Now().Add(lingerTime); time.Now().Before(end); {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerIdle))
		n, err := c.Conn.Read(buffer)
		if err != nil {
			break
		}
		c.account.Progress(n, c.set.Now())
	}
	_ = c.Conn.Close()
	c.account.Close()
	c.set.setLingering(c, false)
}
