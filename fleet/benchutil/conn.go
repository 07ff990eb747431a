package benchutil

import (
	"net"
	"sync/atomic"
)

// CountingListener counts the bytes read and written on its connections,
// without TCP and IP headers.
type CountingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Listen opens a counting listener on a free loopback port.
func Listen() (*CountingListener, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &CountingListener{Listener: lis}, nil
}

// Bytes returns the number of bytes read and written so far.
func (l *CountingListener) Bytes() int64 { return l.bytes.Load() }

// Accept implements net.Listener.
func (l *CountingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
