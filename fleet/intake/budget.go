// Package intake decides how much callers may make a process hold before their requests are
// passed on: connections, heads, bodies and what they don't read of their answers. All of
// it comes out of one budget, and nothing is read without a grant.
//
// A Budget is told each change, reads no clock and touches no connection: every input
// carries its time, and a Decision names the connections that have to go. Rules:
//
//   - A body with a length gets all its bytes at once or none, so that one that has begun
//     can always be read to its end. A body without a length grows piece by piece; where
//     the bytes don't suffice, the one that began last goes, so that the first one ends.
//   - Large bodies leave a share to small and to urgent requests.
//   - Who is refused for want of room is refused at once. Before that those go that make
//     no progress: they have brought nothing for a second, or come too slowly to be
//     complete before their deadline. While there is room nobody goes.
//   - A connection that waits for a request gives way to a new one, the one that has
//     brought nothing for the longest time first.
package intake

import (
	"container/list"
	"sync"
	"time"
)

// phase is what a connection is doing.
type phase uint8

const (
	// waiting connections have no request, or a part of a head that costs nothing extra.
	waiting phase = iota
	// receiving connections hold a grant for a head or a body that isn't complete.
	receiving
	// serving connections have a complete request.
	serving
	// leaving connections have been refused, or have to go.
	leaving
	// closed connections hold nothing.
	closed
)

// Account is what one connection holds. Its methods are safe for concurrent use.
type Account[K any] struct {
	// Owner is the connection.
	Owner K

	budget *Budget[K]
	phase  phase
	// extra is set if the connection is open beyond Limits.Connections.
	extra bool
	// mustClose is set if the connection was evicted while it had no request.
	mustClose bool
	// idle is the connection's place among those that wait or leave.
	idle *list.Element
	// head and body are the bytes granted.
	head, body int64
	// sized is set if the length of the body is known. missing are the bytes of it that
	// hadn't arrived at markedAt, and sinceMark those that have arrived since.
	sized, urgent bool
	missing       int64
	sinceMark     int64
	markedAt      time.Time
	// began orders bodies without a length, deadline is when a request must be complete.
	began, deadline time.Time
	progressAt      time.Time
}

// Decision is the response to a request for more.
type Decision[K any] struct {
	Granted bool
	// Evicted are the connections that have to go. They hold nothing any longer, and get
	// nothing.
	Evicted []*Account[K]
}

// Budget accounts for what callers hold. It is safe for concurrent use.
type Budget[K any] struct {
	limits Limits

	// answers returns the bytes held for callers that don't read, which others account for.
	answers func() int64

	mu sync.Mutex
	// contents are all bytes granted, whole those of responses.
	contents, whole int64
	// open are the connections within the limit, refused those beyond it.
	open, refused int
	// idle are the waiting and leaving connections, the longest without progress first.
	idle      *list.List
	receiving map[*Account[K]]struct{}
}

// New returns a budget of which nothing is used. Answers returns the bytes that are held for
// callers that don't read their answers; it is called with the budget's lock held.
func New[K any](limits Limits, answers func() int64) *Budget[K] {
	return &Budget[K]{limits: limits, answers: answers, idle: list.New(), receiving: make(map[*Account[K]]struct{})}
}

// Usage is what is held.
type Usage struct {
	// Contents are bytes of heads and bodies, Answers those of unread answers.
	Contents, Answers int64
	// Connections are open, Receiving of them bring a head or a body.
	Connections, Receiving int
}

// Usage returns what is held.
func (b *Budget[K]) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Contents: b.contents, Answers: b.answers(), Connections: b.open + b.refused, Receiving: len(b.receiving)}
}

// evict takes everything from a connection, which has to go. The lock is held.
func (b *Budget[K]) evict(a *Account[K]) {
	a.mustClose = a.idle != nil
	b.release(a)
	b.unlist(a)
	a.phase = leaving
}

// MustClose reports whether an evicted connection has to be closed at once: it had no
// request, or its caller has been answered. Others are evicted for their requests, which are
// refused.
func (a *Account[K]) MustClose() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.mustClose
}

// release takes back the bytes of a connection. The lock is held.
func (b *Budget[K]) release(a *Account[K]) {
	b.contents -= a.head + a.body
	a.head, a.body = 0, 0
}

// setIdle moves a connection to those that wait or leave. The lock is held.
func (b *Budget[K]) setIdle(a *Account[K], p phase) {
	b.unlist(a)
	a.phase = p
	a.idle = b.idle.PushBack(a)
}

// setReceiving moves a connection to those that bring a request. The lock is held.
func (b *Budget[K]) setReceiving(a *Account[K]) {
	b.unlist(a)
	a.phase = receiving
	b.receiving[a] = struct{}{}
}

// unlist takes a connection out of the lists. The lock is held.
func (b *Budget[K]) unlist(a *Account[K]) {
	if a.idle != nil {
		b.idle.Remove(a.idle)
		a.idle = nil
	}
	delete(b.receiving, a)
}
