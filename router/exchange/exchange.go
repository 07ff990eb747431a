package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// maxInlineBytes is the size of a request up to which it is written before
	// its response is read. A larger one is written in a goroutine, since a target
	// may respond before it has read the whole request.
	maxInlineBytes = 4 << 10
	// maxResponses bounds the responses that one exchange reads: informational ones
	// and those to other requests are skipped.
	maxResponses = 4
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 1 << 20
)

// Errors of an exchange. ErrNotSent means that no byte of the request was written;
// after any other error the request may have run. ErrBroken means that no valid
// response to it was received. It is joined with its cause: ErrMismatch if the target
// responded, but not to this request.
var (
	ErrNotSent  = errors.New("no byte of the request was sent")
	ErrBroken   = errors.New("the exchange failed; the request may have been sent")
	ErrMismatch = errors.New("the target sent no response that echoes the request's id")
)

// Request is a request to be written to a target.
type Request struct {
	Address string
	Method  string
	// RequestURI is the path and query, written unchanged.
	RequestURI string
	Host       string
	Header     http.Header
	// Body is the body in blocks, which aren't copied.
	Body [][]byte
	// EchoHeader is the field in which targets echo the request's id, EchoValue
	// that id.
	EchoHeader string
	EchoValue  string
	// OnUnacknowledged, if set, is called from time to time while the target's machine
	// hasn't acknowledged the whole request and no response has arrived. It must not block.
	OnUnacknowledged func()
}

// Response is a response whose header was read. It must be closed.
type Response struct {
	Status int
	Header http.Header
	body   io.ReadCloser
	x      *exchange
	// complete is set at the end of the body. Close may be called during a Read.
	complete atomic.Bool
	// endsWithConnection is set if the body has neither a length nor chunks.
	endsWithConnection bool
}

// exchange is one request and response on a connection.
type exchange struct {
	pool        *Pool
	conn        *conn
	request     *Request
	cancelWatch func() bool
	// written is closed once the request is written or the write has failed.
	written   chan struct{}
	writeErr  error
	keepAlive bool
}

// Do writes a request and reads the header of its response. When ctx ends, the
// connection is closed, even while the response's body is being read.
func (p *Pool) Do(ctx context.Context, req *Request) (*Response, error) {
	c, err := p.get(ctx, req.Address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	x := &exchange{pool: p, conn: c, request: req, written: make(chan struct{})}
	x.cancelWatch = context.AfterFunc(ctx, func() { _ = c.Close() })
	x.write()
	watch := x.watchAcknowledgement()
	resp, err := x.readResponse()
	watch.stop()
	if err != nil {
		x.abort()
		return nil, errors.Join(ErrBroken, err)
	}
	x.keepAlive = !resp.Close
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, body: resp.Body, x: x,
		endsWithConnection: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
	}, nil
}

// write sends the request, in a goroutine if it is large.
func (x *exchange) write() {
	data := net.Buffers{x.request.encodeHead()}
	if size := len(data[0]) + x.request.bodyLen(); size <= maxInlineBytes {
		x.send(net.Buffers{bytes.Join(append(data, x.request.Body...), nil)})
		return
	}
	go x.send(append(data, x.request.Body...))
}

func (x *exchange) send(data net.Buffers) {
	_, x.writeErr = x.conn.WriteBuffers(data)
	close(x.written)
}

// readResponse reads the header of the response to this request. Responses that echo
// another id are late responses to earlier requests, and are skipped.
func (x *exchange) readResponse() (*http.Response, error) {
	for range maxResponses {
		x.conn.expectHead()
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

// abort closes the connection of the exchange.
func (x *exchange) abort() {
	x.cancelWatch()
	_ = x.conn.Close()
}

// Read reads the body. The error is io.EOF only at the end of a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.complete.Store(true)
	}
	return n, err
}

// EndsWithConnection reports whether the body has neither a length nor chunks, and
// is complete when the target closes the connection.
func (r *Response) EndsWithConnection() bool { return r.endsWithConnection }

// SetReadDeadline sets the deadline of the following reads of the body; zero means
// none.
func (r *Response) SetReadDeadline(t time.Time) error { return r.x.conn.SetReadDeadline(t) }

// Close ends the exchange. The connection is returned to the pool only if the request
// was written and the body was read completely, and no further data has arrived.
func (r *Response) Close() {
	if !r.complete.Load() || !r.x.keepAlive || !r.x.requestWritten() {
		r.x.abort()
		return
	}
	if !r.x.cancelWatch() || r.x.conn.hasUnread() {
		r.x.abort()
		return
	}
	_ = r.x.conn.SetReadDeadline(time.Time{})
	r.x.pool.put(r.x.request.Address, r.x.conn, idleLimit(r.Header))
}

// requestWritten reports whether the request was written completely.
func (x *exchange) requestWritten() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// idleLimit returns how long the connection may be kept idle, from the response's
// Keep-Alive header.
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

// bodyLen returns the number of bytes of the body.
func (r *Request) bodyLen() int {
	n := 0
	for _, block := range r.Body {
		n += len(block)
	}
	return n
}

// encodeHead returns the head of the request. A body is always sent with its length.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(maxInlineBytes / 4)
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// The fields were validated when the caller's request was read, and writing
	// to a buffer never fails.
	_ = r.Header.Write(&b)
	length := r.bodyLen()
	if length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
