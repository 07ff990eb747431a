package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"cuminrock.example/router/responseconn"
)

const echoHeader = "Request-Id"

// testTarget is a listener whose connections are served by functions of the test.
type testTarget struct {
	t   *testing.T
	lis net.Listener
}

func newTestTarget(t *testing.T) *testTarget {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = lis.Close() })
	return &testTarget{t: t, lis: lis}
}

// serve handles the next connection with a function, in a goroutine.
func (tt *testTarget) serve(handle func(c net.Conn, requests *bufio.Reader)) {
	go func() {
		c, err := tt.lis.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		handle(c, bufio.NewReader(c))
	}()
}

func (tt *testTarget) request(id, body string) *Request {
	return &Request{Address: tt.lis.Addr().String(), Method: http.MethodPost, RequestURI: "/a%2Fb?q=1", Host: "h.example",
		Header: http.Header{echoHeader: {id}}, Body: [][]byte{[]byte(body)}, EchoHeader: echoHeader, EchoValue: id}
}

func readRequest(r *bufio.Reader) (*http.Request, string) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(req.Body)
	return req, string(body)
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func readAll(t *testing.T, resp *Response) string {
	t.Helper()
	body, err := io.ReadAll(resp)
	is.New(t).NoErr(err)
	resp.Close()
	return string(body)
}

func TestRequestArrivesUnchanged(t *testing.T) {
	is := is.New(t)
	target := newTestTarget(t)
	got := make(chan *http.Request, 1)
	target.serve(func(c net.Conn, r *bufio.Reader) {
		req, body := readRequest(r)
		req.Header.Set("Body", body)
		got <- req
		_, _ = io.WriteString(c, responseText("1", "ok"))
	})
	resp, err := NewPool(time.Now).Do(context.Background(), target.request("1", "hello"))
	is.NoErr(err)
	is.Equal(readAll(t, resp), "ok")
	req := <-got
	is.Equal(req.RequestURI, "/a%2Fb?q=1")
	is.Equal(req.Host, "h.example")
	is.Equal(req.Header.Get("Body"), "hello")
	is.Equal(req.ContentLength, int64(5))
}

func TestLateResponseToAnotherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	target := newTestTarget(t)
	target.serve(func(c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, responseText("1", "one"))
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, responseText("1", "one")+responseText("2", "two"))
	})
	pool := NewPool(time.Now)
	resp, err := pool.Do(context.Background(), target.request("1", ""))
	is.NoErr(err)
	is.Equal(readAll(t, resp), "one")
	resp, err = pool.Do(context.Background(), target.request("2", ""))
	is.NoErr(err)
	is.Equal(readAll(t, resp), "two")
}

// Guards against refusals that aren't true (REFUSED), and requests that run twice (TWICE): a
// target writes an earlier refusal once more on a kept connection, at once, with the next
// answer or without an id.
func TestEarlierRefusalWrittenOnceMoreIsNotTheNextAnswer(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + id + "X-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
	}
	for name, c := range map[string]struct {
		again string
		early bool
	}{
		"before the next request": {refusal("Request-Id: 1\r\n"), true},
		"with the next answer":    {refusal("Request-Id: 1\r\n"), false},
		"without an id":           {refusal(""), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := newTestTarget(t)
			serve := func(conn net.Conn, r *bufio.Reader) {
				for {
					req, _ := readRequest(r)
					if req == nil {
						return
					}
					id := req.Header.Get(echoHeader)
					if id == "1" {
						_, _ = io.WriteString(conn, refusal("Request-Id: 1\r\n"))
						if c.early {
							time.Sleep(20 * time.Millisecond)
							_, _ = io.WriteString(conn, c.again)
						}
						continue
					}
					if !c.early {
						_, _ = io.WriteString(conn, c.again)
					}
					_, _ = io.WriteString(conn, responseText(id, "ok"))
				}
			}
			target.serve(serve)
			target.serve(serve)
			pool := NewPool(time.Now)
			resp, err := pool.Do(context.Background(), target.request("1", ""))
			is.NoErr(err)
			is.Equal(readAll(t, resp), "full")
			if c.early {
				time.Sleep(50 * time.Millisecond)
			}
			resp, err = pool.Do(context.Background(), target.request("2", ""))
			is.NoErr(err)
			is.Equal(resp.Status, http.StatusOK)
			is.Equal(readAll(t, resp), "ok")
		})
	}
}

func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	target := newTestTarget(t)
	stray := make(chan struct{})
	target.serve(func(c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, responseText("1", "one"))
		_, _ = io.WriteString(c, responseText("1", "one"))
		close(stray)
		_, _ = io.Copy(io.Discard, c)
	})
	pool := NewPool(time.Now)
	resp, err := pool.Do(context.Background(), target.request("1", ""))
	is.NoErr(err)
	is.Equal(readAll(t, resp), "one")
	<-stray
	target.serve(func(c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, responseText("2", "two"))
	})
	resp, err = pool.Do(context.Background(), target.request("2", ""))
	is.NoErr(err)
	is.Equal(readAll(t, resp), "two")
}

func TestEarlyResponseToLongBodyClosesConnection(t *testing.T) {
	is := is.New(t)
	target := newTestTarget(t)
	finish := make(chan struct{})
	target.serve(func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, responseText("1", "no"))
		<-finish
	})
	defer close(finish)
	pool := NewPool(time.Now)
	resp, err := pool.Do(context.Background(), target.request("1", strings.Repeat("x", 32<<20)))
	is.NoErr(err)
	is.Equal(readAll(t, resp), "no")
	is.Equal(pool.takeIdle(target.lis.Addr().String()), nil)
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	is := is.New(t)
	target := newTestTarget(t)
	target.serve(func(c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\nhalf")
	})
	resp, err := NewPool(time.Now).Do(context.Background(), target.request("1", ""))
	is.NoErr(err)
	_, err = io.ReadAll(resp)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	resp.Close()
}

func TestErrorSaysWhetherAnythingWasSent(t *testing.T) {
	is := is.New(t)
	target := newTestTarget(t)
	req := target.request("1", "")
	target.serve(func(c net.Conn, r *bufio.Reader) { _, _ = readRequest(r) })
	_, err := NewPool(time.Now).Do(context.Background(), req)
	is.True(errors.Is(err, ErrBroken))
	_ = target.lis.Close()
	_, err = NewPool(time.Now).Do(context.Background(), req)
	is.True(errors.Is(err, ErrNotSent))
}

func TestInvalidResponseIsErrBroken(t *testing.T) {
	is := is.New(t)
	target := newTestTarget(t)
	target.serve(func(c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "\x16\x03\x01\x00 no answer\r\n\r\n")
	})
	_, err := NewPool(time.Now).Do(context.Background(), target.request("1", ""))
	is.True(errors.Is(err, ErrBroken))
}

func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	target := newTestTarget(t)
	closed := make(chan struct{})
	target.serve(func(c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err := NewPool(time.Now).Do(ctx, target.request("1", ""))
	is.True(err != nil)
	<-closed
}

func TestIdleLimitFollowsKeepAlive(t *testing.T) {
	is := is.New(t)
	is.Equal(idleLimit(http.Header{"Keep-Alive": {"timeout=5, max=10"}}), 5*time.Second-idleMargin)
	is.Equal(idleLimit(http.Header{"Keep-Alive": {"timeout=1"}}), time.Duration(0))
	is.Equal(idleLimit(http.Header{}), defaultIdleLimit)
}

// A target that reads nothing for seconds keeps a large request: neither the window that
// it closes nor keep-alive ends the exchange, and whoever wants to know is told meanwhile.
func TestTargetThatReadsNothingForSecondsKeepsItsRequest(t *testing.T) {
	is := is.New(t)
	const silence = 3 * time.Second
	target := newTestTarget(t)
	target.serve(func(c net.Conn, r *bufio.Reader) {
		time.Sleep(silence)
		_, body := readRequest(r)
		_, _ = io.WriteString(c, responseText("1", strconv.Itoa(len(body)>>20)))
	})
	pool := NewPool(time.Now)
	req := target.request("1", strings.Repeat("x", 8<<20))
	var told atomic.Int64
	req.OnUnacknowledged = func() { told.Add(1) }
	resp, err := pool.Do(context.Background(), req)
	is.NoErr(err)
	is.Equal(readAll(t, resp), "8")
	is.True(told.Load() >= 2)
	is.True(keepAliveIdle+keepAliveCount*keepAliveInterval > silence)
	is.Equal(userTimeoutOf(t, resp.x.conn), time.Duration(0)) // it would decide when keep-alive gives up, too
}

// userTimeoutOf returns the TCP_USER_TIMEOUT of a connection.
func userTimeoutOf(t *testing.T, c *conn) time.Duration {
	is := is.New(t)
	raw, err := c.Raw().(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	var ms int
	var getErr error
	is.NoErr(raw.Control(func(fd uintptr) { ms, getErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }))
	is.NoErr(getErr)
	return time.Duration(ms) * time.Millisecond
}

// A head that is no answer isn't taken for one either if it came together with a response that
// is skipped.
func TestBrokenHeadAfterASkippedResponseIsErrBroken(t *testing.T) {
	is := is.New(t)
	target := newTestTarget(t)
	target.serve(func(c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, responseText("1", "one"))
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, responseText("1", "one")+"HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length : 3\r\n\r\ntwo")
	})
	pool := NewPool(time.Now)
	resp, err := pool.Do(context.Background(), target.request("1", ""))
	is.NoErr(err)
	is.Equal(readAll(t, resp), "one")
	_, err = pool.Do(context.Background(), target.request("2", ""))
	is.True(errors.Is(err, ErrBroken))
	is.True(errors.Is(err, responseconn.ErrNoResponse))
}
