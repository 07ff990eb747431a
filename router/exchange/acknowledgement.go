package exchange

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedLimit is how long a request may stay unacknowledged before that is
	// told, and acknowledgementInterval the time between two looks after that.
	unacknowledgedLimit     = 800 * time.Millisecond
	acknowledgementInterval = 400 * time.Millisecond
)

// acknowledgementWatch looks from time to time whether the target's machine has
// acknowledged a request.
type acknowledgementWatch struct {
	x *exchange

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watchAcknowledgement starts to look, if the request wants to be told; otherwise it
// returns nil.
func (x *exchange) watchAcknowledgement() *acknowledgementWatch {
	if x.request.OnUnacknowledged == nil {
		return nil
	}
	w := &acknowledgementWatch{x: x}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(unacknowledgedLimit, w.look)
	return w
}

func (w *acknowledgementWatch) look() {
	unacknowledged := !w.x.requestWritten() || w.x.conn.unacknowledged()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if unacknowledged {
		w.x.request.OnUnacknowledged()
	}
	w.timer.Reset(acknowledgementInterval)
}

func (w *acknowledgementWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// acknowledger is a connection that knows itself whether the other end has acknowledged
// everything.
type acknowledger interface{ Unacknowledged() bool }

// unacknowledged reports whether the other end's machine has bytes, or a probe of a silent
// connection, to acknowledge; false if that can't be found out.
func (c *conn) unacknowledged() bool {
	if a, ok := c.Raw().(acknowledger); ok {
		return a.Unacknowledged()
	}
	sys, ok := c.Raw().(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledged := false
	err = raw.Control(func(fd uintptr) {
		queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		unacknowledged = err == nil && queued > 0
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		unacknowledged = unacknowledged || err == nil && info.Probes > 0
	})
	return err == nil && unacknowledged
}
