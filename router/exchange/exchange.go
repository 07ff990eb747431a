package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// inlineBytes is the size of a request up to which it is written before
	// its answer is read. A larger one is written beside, since a target may
	// answer before it has read all.
	inlineBytes = 4 << 10
	// maxSkipped bounds the answers to other requests that one exchange skips.
	maxSkipped = 4
	// maxSkippedBytes bounds the body of one of them.
	maxSkippedBytes = 1 << 20
)

// Failures of an exchange. A failure before the first byte was written is
// ErrNotSent; any other leaves open whether the request ran.
var (
	ErrNotSent  = errors.New("no byte of the request was sent")
	ErrBroken   = errors.New("the connection broke after the request was sent")
	ErrMismatch = errors.New("the target answers other requests")
)

// Request is one request as it is to be written.
type Request struct {
	Address string
	Method  string
	// RequestURI is the request target: path and query, written as it is.
	RequestURI string
	Host       string
	Header     http.Header
	Body       []byte
	// EchoHeader is the header in which targets echo the request's id, and
	// Echo is that id.
	EchoHeader string
	EchoValue  string
}

// Response is an answer whose header was read. Close ends it.
type Response struct {
	Status int
	Header http.Header
	body   io.ReadCloser
	x      *exchange
	whole  bool
}

// exchange is one request on its connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	request *Request
	stop    func() bool
	// written is closed when the request was written, or failed to be.
	written  chan struct{}
	writeErr error
	reusable bool
}

// Do writes a request and reads the header of its answer. When ctx ends, the
// connection is closed, also while the answer's body is read.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r.Address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	x := &exchange{pool: p, conn: c, request: r, written: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	x.write()
	resp, err := x.answer()
	if err != nil {
		x.abort()
		return nil, errors.Join(ErrBroken, err)
	}
	x.reusable = !resp.Close
	return &Response{Status: resp.StatusCode, Header: resp.Header, body: resp.Body, x: x}, nil
}

// write sends the request, beside the caller where it is large.
func (x *exchange) write() {
	data := x.request.encode()
	if len(data) <= inlineBytes {
		x.send(data)
		return
	}
	go x.send(data)
}

func (x *exchange) send(data []byte) {
	_, x.writeErr = x.conn.Write(data)
	close(x.written)
}

// answer reads the header of the answer to this request. Answers that echo
// another id are late ones, and are skipped.
func (x *exchange) answer() (*http.Response, error) {
	for range maxSkipped {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		echo := resp.Header.Get(x.request.EchoHeader)
		if echo == x.request.EchoValue || echo == "" && !x.conn.used {
			return resp, nil
		}
		_, err = io.CopyN(io.Discard, resp.Body, maxSkippedBytes)
		if !errors.Is(err, io.EOF) || resp.Close {
			return nil, ErrMismatch
		}
	}
	return nil, ErrMismatch
}

// abort closes the connection.
func (x *exchange) abort() {
	x.stop()
	_ = x.conn.Close()
}

// Read reads the body. The error is io.EOF only where the body is whole.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// SetReadDeadline bounds the next reads of the body; zero sets no bound.
func (a *Response) SetReadDeadline(t time.Time) error { return a.x.conn.SetReadDeadline(t) }

// Close ends the exchange. The connection is kept only where the body was read
// whole and the request was written whole.
func (a *Response) Close() {
	if !a.whole || !a.x.reusable || !a.x.finished() {
		a.x.abort()
		return
	}
	if !a.x.stop() || a.x.conn.reader.Buffered() > 0 {
		a.x.abort()
		return
	}
	_ = a.x.conn.SetReadDeadline(time.Time{})
	a.x.pool.put(a.x.request.Address, a.x.conn, idleLimit(a.Header))
}

// finished tells whether the request was written whole.
func (x *exchange) finished() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// idleLimit returns how long the connection may be kept, by its Keep-Alive
// header.
func idleLimit(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleLimit
}

// encode returns the bytes of the request. Its body always has a length.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 1024)
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Names and values were checked when the caller's request was read, and
	// writing to a buffer doesn't fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
