package intake

import (
	"errors"
	"io"
	"net/http"
	"time"

	"cuminrock.example/fleet/intake"
)

// discardTime is how long the rest of a short body is awaited whose request has been
// answered.
const discardTime = time.Second

// IsShort reports whether a request's body is short enough to be read even if the request
// will be refused, so that its connection can be kept.
func IsShort(r *http.Request) bool {
	return r.ContentLength >= 0 && r.ContentLength <= intake.SmallBytes
}

// RefuseHead answers a request whose body hasn't been read. The connection is kept if the
// rest of a short body follows; otherwise the call doesn't return. Write writes the answer
// to w, with its length, and with a field that closes the connection if it is told so.
func (c *Conn) RefuseHead(w http.ResponseWriter, r *http.Request, write func(closing bool)) {
	if r.ContentLength == 0 {
		write(false)
		return
	}
	if !IsShort(r) {
		c.RefuseUnread(w, write)
	}
	answerNow(w, func() { write(false) })
	if !c.discard(r.Body) {
		c.abandon()
	}
}

// RefuseUnread answers a request whose body isn't read to its end. It ends the handler by
// a panic with http.ErrAbortHandler.
func (c *Conn) RefuseUnread(w http.ResponseWriter, write func(closing bool)) {
	answerNow(w, func() { write(true) })
	c.abandon()
}

// answerNow writes an answer that doesn't wait for the rest of the request.
func answerNow(w http.ResponseWriter, write func()) {
	control := http.NewResponseController(w)
	// An error of either call only means that the caller has left.
	_ = control.EnableFullDuplex()
	write()
	_ = control.Flush()
}

// abandon ends the handler of a request that has been answered before it was read. The
// server closes the connection, which is then read on until the caller has closed it.
func (c *Conn) abandon() {
	c.beginRefusal()
	panic(http.ErrAbortHandler)
}

// discard reads the rest of a short body and keeps nothing of it. It reports whether the
// connection can carry further requests.
func (c *Conn) discard(r io.Reader) bool {
	c.mu.Lock()
	c.stage = max(c.stage, inRequest)
	c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(time.Now().Add(discardTime))
	_, err := io.CopyN(io.Discard, r, intake.SmallBytes+1)
	_ = c.Conn.SetReadDeadline(time.Time{})
	return errors.Is(err, io.EOF) && c.account.Complete()
}
