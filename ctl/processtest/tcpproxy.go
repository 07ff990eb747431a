package processtest

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// TCPProxy forwards TCP connections to a backend. While it simulates a network
// partition, it keeps connections open and forwards no bytes.
type TCPProxy struct {
	listener net.Listener

	mu      sync.Mutex
	backend string
	// resumed is closed while bytes are forwarded and open during a partition.
	resumed chan struct{}
	closed  chan struct{}
	conns   map[net.Conn]struct{}

	// bytes counts the bytes forwarded in both directions.
	bytes atomic.Int64
}

// newTCPProxy starts a proxy without a backend. It is closed at the end of the
// test.
func newTCPProxy(t testing.TB) *TCPProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &TCPProxy{listener: listener, resumed: make(chan struct{}), closed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	close(p.resumed)
	go p.acceptLoop()
	t.Cleanup(p.close)
	return p
}

// Addr returns the host:port on which the proxy listens.
func (p *TCPProxy) Addr() string { return p.listener.Addr().String() }

// BytesTransferred returns the number of bytes forwarded in both directions,
// without TCP and IP headers.
func (p *TCPProxy) BytesTransferred() int64 { return p.bytes.Load() }

// SetBackend makes new connections go to address (host:port). It closes the
// connections to an earlier backend, as the exit of its process would.
func (p *TCPProxy) SetBackend(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backend = address
	p.closeConnections()
}

// Partition stops forwarding. Open connections stay open, and new ones hang.
func (p *TCPProxy) Partition() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumed = make(chan struct{})
}

// Heal ends a partition. It closes the connections that were open during the
// partition, as both ends have given up on them.
func (p *TCPProxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.resumed)
	p.closeConnections()
}

func (p *TCPProxy) closeConnections() {
	for c := range p.conns {
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *TCPProxy) close() {
	close(p.closed)
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConnections()
}

func (p *TCPProxy) acceptLoop() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// track registers a connection, so that it can be closed, and returns the
// backend.
func (p *TCPProxy) track(conn net.Conn) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = struct{}{}
	return p.backend
}

func (p *TCPProxy) serve(client net.Conn) {
	defer client.Close()
	backend := p.track(client)
	if !p.waitHealed() {
		return
	}
	server, err := net.Dial("tcp", backend)
	if err != nil {
		return
	}
	defer server.Close()
	p.track(server)
	go func() {
		p.copy(client, server)
		_ = client.Close()
	}()
	p.copy(server, client)
}

// waitHealed waits for the end of a partition. It returns false if the proxy was
// closed.
func (p *TCPProxy) waitHealed() bool {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	select {
	case <-resumed:
		return true
	case <-p.closed:
		return false
	}
}

func (p *TCPProxy) copy(dst io.Writer, src io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if !p.waitHealed() {
			return
		}
		if n > 0 {
			p.bytes.Add(int64(n))
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
