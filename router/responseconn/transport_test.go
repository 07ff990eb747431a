package responseconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxWait bounds the wait for a response.
const maxWait = 20 * time.Second

// serveOne starts a server that serves one connection, and returns its URL and a client.
func serveOne(t *testing.T, serve func(c net.Conn, requests *bufio.Reader)) (string, *http.Client) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		_ = lis.Close()
		defer func() { _ = c.Close() }()
		serve(c, bufio.NewReader(c))
	}()
	return "http://" + lis.Addr().String(), &http.Client{Transport: NewTransport(&http.Transport{}), Timeout: maxWait}
}

func TestTransportChecksHeadsOnKeptConnections(t *testing.T) {
	is := is.New(t)
	url, client := serveOne(t, func(c net.Conn, requests *bufio.Reader) {
		for _, text := range []string{soundHead + "done", "HTTP/1.1 000 No\r\nContent-Length: 4\r\n\r\nfake"} {
			_, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
		}
	})
	resp, err := client.Get(url)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "done")
	_, err = client.Post(url, "", strings.NewReader("x"))
	is.True(errors.Is(err, ErrNoResponse))
}

// A body isn't taken for a head while the request is still being written.
func TestTransportReadsAnEarlyResponse(t *testing.T) {
	is := is.New(t)
	url, client := serveOne(t, func(c net.Conn, requests *bufio.Reader) {
		req, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, soundHead)
		_, _ = io.CopyN(io.Discard, req.Body, requestBytes/2)
		_, _ = io.WriteString(c, "done")
		_, _ = io.Copy(io.Discard, req.Body)
	})
	resp, err := client.Post(url, "", strings.NewReader(strings.Repeat("x", requestBytes)))
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "done")
}
