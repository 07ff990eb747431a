package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var ids atomic.Int64

// newID returns a new id of a client attempt.
func newID() string { return fmt.Sprintf("%x-%x", began.UnixNano()&0xffffff, ids.Add(1)) }

// Answer is what a client got.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   []byte
	// Close is set if the server closes the connection after the answer.
	Close bool
	// Err is set if the answer isn't complete.
	Err error
}

// Ask sends one request on a connection and reads the answer.
func Ask(c net.Conn, r *bufio.Reader, method, host, path string, fields [][2]string, body []byte, timeout time.Duration) Answer {
	a := Answer{ID: newID()}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, a.ID, timeout.Milliseconds())
	for _, f := range fields {
		fmt.Fprintf(&b, "%s: %s\r\n", f[0], f[1])
	}
	if method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	record("sent", map[string]any{"id": a.ID, "to": c.RemoteAddr().String(), "method": method, "path": path, "fields": shortened(fields)})
	c.SetDeadline(time.Now().Add(timeout + time.Second))
	_, a.Err = c.Write(b.Bytes())
	if a.Err == nil {
		var resp *http.Response
		resp, a.Err = http.ReadResponse(r, &http.Request{Method: method})
		if a.Err == nil {
			a.Status, a.Header, a.Close = resp.StatusCode, resp.Header, resp.Close
			a.Body, a.Err = io.ReadAll(resp.Body)
		}
	}
	record("answered", map[string]any{"id": a.ID, "status": a.Status, "bytes": len(a.Body), "error": fmt.Sprint(a.Err)})
	return a
}

// AskNew does the same on a new connection, which is closed afterwards.
func AskNew(address, method, host, path string, fields [][2]string, body []byte, timeout time.Duration) Answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	return Ask(c, bufio.NewReader(c), method, host, path, fields, body, timeout)
}

// shortened returns the fields for the record, without what is long.
func shortened(fields [][2]string) [][2]string {
	const most = 100
	out := make([][2]string, len(fields))
	for i, f := range fields {
		out[i] = f
		if len(f[1]) > most {
			out[i][1] = fmt.Sprintf("%s... (%d bytes)", f[1][:most], len(f[1]))
		}
	}
	return out
}
