package responseconn

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// requestBytes is the length of a request that no socket takes at once.
	requestBytes = 64 << 20
	// whole is a response that ends with its connection, part the first part of another one.
	whole, part = "HTTP/1.1 200 OK\r\n\r\nwhole", "HTTP/1.1 200 OK\r\n\r\npart"
)

// connect returns a connection to a server that is handed the other end.
func connect(t *testing.T, serve func(c *net.TCPConn)) *Conn {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = lis.Close() }()
	raw, err := net.Dial("tcp", lis.Addr().String())
	is.NoErr(err)
	accepted, err := lis.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = raw.Close(); _ = accepted.Close() })
	go serve(accepted.(*net.TCPConn))
	return New(raw, nil)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against parts of responses that count as whole: the reset of a connection is reported
// once, to the write of the request or to the read of the response.
func TestReadOfAConnectionThatWasResetIsNoOrderlyEnd(t *testing.T) {
	const repeats = 200
	for name, c := range map[string]struct {
		// heldUp is how long the reader waits before it reads at all.
		heldUp time.Duration
		blocks bool
	}{"at once": {}, "blocks": {blocks: true}, "the reader is held up": {heldUp: 5 * time.Millisecond, blocks: true}} {
		t.Run(name, func(t *testing.T) {
			for range repeats {
				is := is.New(t)
				conn := connect(t, func(s *net.TCPConn) {
					_, _ = s.Read(make([]byte, 100))
					_, _ = io.WriteString(s, part)
					reset(s)
				})
				go func() {
					request := make([]byte, requestBytes)
					if c.blocks {
						_, _ = conn.WriteBuffers(net.Buffers{request[:100], request})
						return
					}
					_, _ = conn.Write(request)
				}()
				time.Sleep(c.heldUp)
				_, err := io.ReadAll(conn)
				is.True(errors.Is(err, syscall.ECONNRESET))
				_ = conn.Close()
			}
		})
	}
}

// An orderly end before the whole request was written is one, also if the server resets the
// connection afterwards, and if it neither reads nor closes it.
func TestOrderlyEndDuringTheWriteOfARequest(t *testing.T) {
	for name, after := range map[string]func(c *net.TCPConn){
		"reset":  reset,
		"closed": func(c *net.TCPConn) { _ = c.Close() },
		"kept":   func(*net.TCPConn) {},
		"read":   func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
	} {
		for _, heldUp := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				conn := connect(t, func(s *net.TCPConn) {
					_, _ = s.Read(make([]byte, 100))
					_, _ = io.WriteString(s, whole)
					_ = s.CloseWrite()
					after(s)
				})
				written := make(chan error, 1)
				go func() {
					_, err := conn.Write(make([]byte, requestBytes))
					written <- err
				}()
				time.Sleep(heldUp)
				response, err := io.ReadAll(conn)
				is.NoErr(err)
				is.Equal(string(response), whole)
				<-written // the write doesn't wait for a server that reads no more
			})
		}
	}
}

// A reset that a write of an earlier part of the request got counts, too.
func TestResetOfAnEarlierWriteIsKept(t *testing.T) {
	is := is.New(t)
	conn := connect(t, func(s *net.TCPConn) { _, _ = s.Read(make([]byte, 100)); reset(s) })
	var err error
	for err == nil {
		_, err = conn.Write(make([]byte, 100))
	}
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = conn.Write([]byte("more"))
	is.True(errors.Is(err, syscall.EPIPE))
	_, err = conn.Read(make([]byte, 100))
	is.True(errors.Is(err, syscall.ECONNRESET))
}
