package processtest

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// TCPProxy passes TCP connections on to a backend. A cut relay keeps connections
// open and passes no bytes, as a network partition does.
type TCPProxy struct {
	lis net.Listener

	mu      sync.Mutex
	backend string
	// resumed is closed while bytes may pass.
	resumed chan struct{}
	closed  chan struct{}
	conns   map[net.Conn]struct{}

	// bytes counts what has passed, both ways.
	bytes atomic.Int64
}

// newRelay opens a relay without a backend. It ends with the test.
func newRelay(t testing.TB) *TCPProxy {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &TCPProxy{lis: lis, resumed: make(chan struct{}), closed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	close(r.resumed)
	go r.accept()
	t.Cleanup(r.close)
	return r
}

// Addr returns the relay's host:port.
func (r *TCPProxy) Addr() string { return r.lis.Addr().String() }

// BytesTransferred returns what has passed in both directions, without the headers of TCP
// and IP.
func (r *TCPProxy) BytesTransferred() int64 { return r.bytes.Load() }

// SetBackend sends the connections that follow to host:port. Those to an
// earlier backend are closed, as with a process that ended.
func (r *TCPProxy) SetBackend(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backend = address
	r.dropAll()
}

// Partition stops all bytes; connections stay open and new ones hang.
func (r *TCPProxy) Partition() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumed = make(chan struct{})
}

// Heal ends a cut. Connections of the time of the cut are closed, as both
// ends have given up on them.
func (r *TCPProxy) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.resumed)
	r.dropAll()
}

func (r *TCPProxy) dropAll() {
	for c := range r.conns {
		_ = c.Close()
	}
	clear(r.conns)
}

func (r *TCPProxy) close() {
	close(r.closed)
	_ = r.lis.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropAll()
}

func (r *TCPProxy) accept() {
	for {
		conn, err := r.lis.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

// keep registers a connection and returns the backend.
func (r *TCPProxy) keep(c net.Conn) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
	return r.backend
}

func (r *TCPProxy) serve(near net.Conn) {
	defer near.Close()
	backend := r.keep(near)
	if !r.pass() {
		return
	}
	far, err := net.Dial("tcp", backend)
	if err != nil {
		return
	}
	defer far.Close()
	r.keep(far)
	go func() {
		r.copy(near, far)
		_ = near.Close()
	}()
	r.copy(far, near)
}

// pass waits for the end of a cut and reports false when the relay is closed.
func (r *TCPProxy) pass() bool {
	r.mu.Lock()
	resumed := r.resumed
	r.mu.Unlock()
	select {
	case <-resumed:
		return true
	case <-r.closed:
		return false
	}
}

func (r *TCPProxy) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !r.pass() {
			return
		}
		if n > 0 {
			r.bytes.Add(int64(n))
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
