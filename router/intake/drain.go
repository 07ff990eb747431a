package intake

import (
	"context"
	"time"

	"cuminrock.example/router/wait"
)

const (
	// drainPollInterval is how often a stopping router looks at its connections.
	drainPollInterval = 20 * time.Millisecond
	// silentGrace is how long a new connection may bring nothing while a router stops, and
	// headGrace how long the rest of a head may take.
	silentGrace, headGrace = 500 * time.Millisecond, time.Second
)

// Drain closes the connections that have no request, and waits until all others are closed,
// or returns the error of ctx. The listener must be closed. Each request whose head has
// begun to arrive is read: a server that is shut down instead closes the connection of a
// request that it has just read.
func (s *Set) Drain(ctx context.Context) error {
	for s.closeWithoutRequest() > 0 {
		if !wait.For(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// closeWithoutRequest returns the number of connections that have a request.
func (s *Set) closeWithoutRequest() int {
	s.mu.Lock()
	open := make([]*Conn, 0, len(s.open))
	for c := range s.open {
		open = append(open, c)
	}
	s.mu.Unlock()
	left := 0
	for _, c := range open {
		if !c.closeWithoutRequest(s.Now()) {
			left++
		}
	}
	return left
}

// closeWithoutRequest closes the connection unless it has a request or may still bring one.
func (c *Conn) closeWithoutRequest(now time.Time) bool {
	c.mu.Lock()
	quiet := now.Sub(c.readAt)
	switch {
	case c.stage == readingHead && c.headBytes == 0 && (c.used || quiet >= silentGrace):
		c.stage = refusing // what is read from now on isn't parsed
		c.mu.Unlock()
		c.closeNow()
		return true
	case c.stage == readingHead && c.headBytes > 0 && quiet >= headGrace:
		c.mu.Unlock()
		c.refuseUnread(causeStalled)
		c.closeNow()
		return true
	}
	c.mu.Unlock()
	return false
}
