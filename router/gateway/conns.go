package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// descriptorsPerCallerConn is the number of file descriptors that there must be for
// each connection of callers that is kept open: the others are for connections to
// targets, for new callers, and for memory's sake, as each costs about 12 KB.
const descriptorsPerCallerConn = 4

// callerConns tracks the connections of callers. It closes those that are idle for
// longer than the configuration's limit, which may change while the server is
// running, and tells when too many are open.
type callerConns struct {
	// idleLimit returns the current limit; 0 means none.
	idleLimit func() time.Duration
	// maxKept is the number of connections above which they are closed after a
	// response; 0 means no limit.
	maxKept int

	mu     sync.Mutex
	open   map[net.Conn]struct{}
	timers map[net.Conn]*time.Timer
}

// newCallerConns returns a tracker for a process with a number of file
// descriptors; 0 means no limit.
func newCallerConns(fileDescriptors int, idleLimit func() time.Duration) *callerConns {
	return &callerConns{
		idleLimit: idleLimit, maxKept: fileDescriptors / descriptorsPerCallerConn,
		open: make(map[net.Conn]struct{}), timers: make(map[net.Conn]*time.Timer),
	}
}

// count returns the number of open connections.
func (l *callerConns) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// tooMany reports whether more connections are open than are to be kept.
func (l *callerConns) tooMany() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxKept > 0 && len(l.open) > l.maxKept
}

// onStateChange is the ConnState hook of an http.Server.
func (l *callerConns) onStateChange(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if timer := l.timers[c]; timer != nil {
		timer.Stop()
		delete(l.timers, c)
	}
	switch state {
	case http.StateNew:
		l.open[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(l.open, c)
	case http.StateIdle:
		l.startTimer(c)
	}
}

// startTimer closes a connection that stays idle. The lock is held.
func (l *callerConns) startTimer(c net.Conn) {
	limit := l.idleLimit()
	if limit > 0 {
		l.timers[c] = time.AfterFunc(limit, func() { l.close(c) })
	}
}

// close closes a connection if it is still idle.
func (l *callerConns) close(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, idle := l.timers[c]; idle {
		delete(l.timers, c)
		_ = c.Close()
	}
}
