package operator

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/router/responseconn"
)

// Guards against heads that are no answer and count as one.
func TestHeadThatIsNoAnswerIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 No\r\nContent-Length: 2\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n",
		"blank before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer lis.Close()
			go func() {
				c, err := lis.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(c, head+"\r\n{}")
				_ = c.Close()
			}()
			_, err = New(lis.Addr().String(), "", time.Second).Status(context.Background())
			is.True(errors.Is(err, responseconn.ErrNoResponse))
		})
	}
}
