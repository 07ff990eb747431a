package target

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// serveRaw starts a target that answers the head of a call by writing to the connection itself,
// and then ends the connection by a function. The call's body isn't read.
func serveRaw(t *testing.T, response string, end func(c *net.TCPConn)) *pb.Target {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Read(make([]byte, 512))
				_, _ = io.WriteString(c, response)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return &pb.Target{Name: "raw", Address: lis.Addr().String()}
}

// Guards against a part of a response that counts as whole: it has no length, and the target
// resets the connection while a long call is being written. An orderly end is one.
func TestResponseThatIsResetDuringTheCallIsNotComplete(t *testing.T) {
	const response, repeats = "HTTP/1.1 200 OK\r\nCuminrock-Request-Id: r\r\nConnection: close\r\n\r\npart", 200
	call := func(target *pb.Target) Call {
		return Call{Target: target, RequestID: "r", Path: "/find", Body: make([]byte, 16<<20), NewConnection: true}
	}
	client := New(Options{})
	defer client.Close()
	broken := serveRaw(t, response, func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() })
	for range repeats {
		is := is.New(t)
		resp, err := client.Do(context.Background(), call(broken))
		is.True(err != nil)
		is.Equal(resp, nil)
	}
	sound := serveRaw(t, response, func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c); _ = c.Close() })
	for range repeats {
		is := is.New(t)
		resp, err := client.Do(context.Background(), call(sound))
		is.NoErr(err)
		is.Equal(string(resp.Body), "part")
	}
}
