package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns tracks the connections of callers. It closes those that are idle for
// longer than the configuration's limit, which may change while the server is
// running, and tells when too many are open.
type callerConns struct {
	// idleLimit returns the current limit; 0 means none.
	idleLimit func() time.Duration
	// maxKept is the number of connections above which they are closed after a response.
	maxKept int

	mu     sync.Mutex
	open   map[net.Conn]struct{}
	timers map[net.Conn]*time.Timer
}

// newCallerConns returns a tracker that keeps a number of connections.
func newCallerConns(maxKept int, idleLimit func() time.Duration) *callerConns {
	return &callerConns{
		idleLimit: idleLimit, maxKept: maxKept,
		open: make(map[net.Conn]struct{}), timers: make(map[net.Conn]*time.Timer),
	}
}

// count returns the number of open connections.
func (cc *callerConns) count() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.open)
}

// tooMany reports whether more connections are open than are to be kept.
func (cc *callerConns) tooMany() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.open) > cc.maxKept
}

// onStateChange is the ConnState hook of an http.Server.
func (cc *callerConns) onStateChange(c net.Conn, state http.ConnState) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if timer := cc.timers[c]; timer != nil {
		timer.Stop()
		delete(cc.timers, c)
	}
	switch state {
	case http.StateNew:
		cc.open[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(cc.open, c)
	case http.StateIdle:
		cc.startTimer(c)
	}
}

// startTimer closes a connection that stays idle. The lock is held.
func (cc *callerConns) startTimer(c net.Conn) {
	limit := cc.idleLimit()
	if limit > 0 {
		cc.timers[c] = time.AfterFunc(limit, func() { cc.close(c) })
	}
}

// close closes a connection if it is still idle.
func (cc *callerConns) close(c net.Conn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if _, idle := cc.timers[c]; idle {
		delete(cc.timers, c)
		_ = c.Close()
	}
}
