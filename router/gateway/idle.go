package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleLimiter closes callers' connections that are idle for longer than the
// configuration's limit, which may change while the server is running.
type idleLimiter struct {
	// limit returns the current limit; 0 means none.
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleLimiter(limit func() time.Duration) *idleLimiter {
	return &idleLimiter{limit: limit, timers: make(map[net.Conn]*time.Timer)}
}

// onStateChange is the ConnState hook of an http.Server.
func (l *idleLimiter) onStateChange(c net.Conn, state http.ConnState) {
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

// close closes a connection if it is still idle.
func (l *idleLimiter) close(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, idle := l.timers[c]; idle {
		delete(l.timers, c)
		_ = c.Close()
	}
}
