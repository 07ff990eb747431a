package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/intake"
	"cuminrock.example/router/responseconn"
)

// brokenHeads are heads that are no answer by HTTP, with what follows them.
var brokenHeads = map[string]string{
	"status 000":                  "HTTP/1.1 000 No\r\nCuminrock-Request-Id: r\r\nContent-Length: 2\r\n\r\n{}",
	"status 000, then a response": "HTTP/1.1 000 No\r\n\r\nHTTP/1.1 200 OK\r\nCuminrock-Request-Id: r\r\nContent-Length: 2\r\n\r\n{}",
	"blank in a name":             "HTTP/1.1 200 OK\r\nCuminrock-Request-Id: r\r\nX-Some Field: x\r\nContent-Length: 2\r\n\r\n{}",
	"blank before the colon":      "HTTP/1.1 200 OK\r\nCuminrock-Request-Id: r\r\nContent-Length : 2\r\n\r\n{}",
	"length and chunks":           "HTTP/1.1 200 OK\r\nCuminrock-Request-Id: r\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"not run, with a broken name": "HTTP/1.1 503 No\r\nCuminrock-Request-Id: r\r\nCuminrock-Run-State: not_run\r\nX Y: z\r\nContent-Length: 2\r\n\r\n{}",
}

// serveSecond starts a target that answers the first call on a connection soundly and the
// second one by a text.
func serveSecond(t *testing.T, text string) *pb.Target {
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
				defer func() { _ = c.Close() }()
				requests := bufio.NewReader(c)
				for _, response := range []string{"HTTP/1.1 200 OK\r\nCuminrock-Request-Id: r\r\nContent-Length: 2\r\n\r\n{}", text} {
					req, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return &pb.Target{Name: "raw", Address: lis.Addr().String()}
}

// Guards against heads that are no answer and count as one: on new and on kept connections, for
// calls, streams and load reports.
func TestHeadThatIsNoAnswerIsAnError(t *testing.T) {
	for name, text := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := New(Options{})
			defer client.Close()
			ctx := context.Background()
			raw := serveRaw(t, text, func(c *net.TCPConn) { _ = c.Close() })
			call := Call{Target: raw, RequestID: "r", Path: "/find", Body: []byte("{}"), NewConnection: true}
			_, err := client.Do(ctx, call)
			is.Equal(errkind.KindOf(err), errkind.TargetFailed)
			_, err = client.Action(ctx, call)
			is.Equal(errkind.KindOf(err), errkind.TargetFailed)
			_, err = client.Stream(ctx, call)
			is.Equal(errkind.KindOf(err), errkind.TargetFailed)

			call.Target, call.NewConnection = serveSecond(t, text), false
			_, err = client.Do(ctx, call)
			is.NoErr(err)
			_, err = client.Do(ctx, call)
			is.Equal(errkind.KindOf(err), errkind.TargetFailed)
		})
	}
}

func TestLoadReportWithABrokenHeadIsAnError(t *testing.T) {
	is := is.New(t)
	client := New(Options{})
	defer client.Close()
	const text = "HTTP/1.1 200 OK\r\nCuminrock-Request-Id: load\r\nX Y: z\r\nContent-Length: 15\r\n\r\n{\"in_flight\": 0}"
	_, err := client.Load(context.Background(), serveRaw(t, text, func(c *net.TCPConn) { _ = c.Close() }), time.Second)
	is.True(err != nil)
}

// Guards against responses that are kept beyond the room for them. The response to an action is
// kept whatever room there is.
func TestResponsesComeOutOfTheRoom(t *testing.T) {
	is := is.New(t)
	const size, roomBytes = 1 << 20, 256 << 10
	room := intake.NewFixedRoom(roomBytes)
	client := New(Options{Room: room})
	defer client.Close()
	text := "HTTP/1.1 200 OK\r\nCuminrock-Request-Id: r\r\nConnection: close\r\n\r\n" + strings.Repeat("x", size)
	call := Call{Target: serveRaw(t, text, func(c *net.TCPConn) { _ = c.Close() }), RequestID: "r", Path: "/find", NewConnection: true}
	_, err := client.Do(context.Background(), call)
	is.True(errors.Is(err, responseconn.ErrNoBodyRoom))
	is.True(room.TakeAnswer(roomBytes)) // all was given back
	resp, err := client.Action(context.Background(), call)
	is.NoErr(err)
	is.Equal(len(resp.Body), size)
}
