package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleLimiter closes callers' connections that stay idle beyond the
// configuration's limit, which may change while the door is open.
type idleLimiter struct {
	// limit returns the limit in force; 0 means none.
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleLimiter(limit func() time.Duration) *idleLimiter {
	return &idleLimiter{limit: limit, timers: make(map[net.Conn]*time.Timer)}
}

// note is the ConnState hook of an http.Server.
func (l *idleLimiter) note(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if timer := l.timers[c]; timer != nil {
		timer.Stop()
		delete(l.timers, c)
	}
	limit := l.limit()
	if state == http.StateIdle && limit > 0 {
		l.timers[c] = time.AfterFunc(limit, func() { l.close(c) })
	}
}

// close closes a connection that is still idle.
func (l *idleLimiter) close(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, idle := l.timers[c]; idle {
		delete(l.timers, c)
		_ = c.Close()
	}
}
