package relay

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminrock.example/fleet/catalog"
)

// room has space for a number of bytes.
type room struct{ left int64 }

func (r *room) TakeAnswer(bytes int64) bool {
	if bytes > r.left {
		return false
	}
	r.left -= bytes
	return true
}

func (r *room) ReturnAnswer(bytes int64) { r.left += bytes }

// serveWithin sends one request through a relay with room for a number of bytes.
func serveWithin(t *testing.T, bytes int64, route *catalog.Route, outcomes ...outcome) (*caller, *upstream) {
	up := &upstream{outcomes: outcomes}
	r := newRelay(route, up)
	space := &room{left: bytes}
	r.AnswerRoom = space
	out := serveWith(context.Background(), r, &Request{ID: "1"})
	is.New(t).Equal(space.left, bytes) // all is given back
	return out, up
}

// long is a body of more than one block.
var long = strings.Repeat("an entry of a register; ", 10_000)

// Guards against answers that are held beyond the room for them, and against answers that
// aren't delivered for it: they are whole and in order, whatever room there is.
func TestAnswerIsWholeWhateverRoomThereIs(t *testing.T) {
	for _, bytes := range []int64{0, 1, firstAnswerBlock, 50_000, 1 << 20} {
		is := is.New(t)
		out, _ := serveWithin(t, bytes, &catalog.Route{MaxAttempts: 1}, outcome{status: 200, body: long})
		is.Equal(out.status, 200)
		is.True(out.body == long)
		is.True(out.finished)
		is.True(!out.aborted)
	}
}

// Guards against an answer that breaks off while it is forwarded, and that a caller takes
// for complete.
func TestForwardedAnswerThatBreaksOffIsAborted(t *testing.T) {
	is := is.New(t)
	out, _ := serveWithin(t, firstAnswerBlock, &catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, outcome{status: 200, body: long, truncated: true})
	is.True(out.aborted)
	is.True(!out.finished)
	// With room for it, the request is sent again.
	out, up := serveWithin(t, 1<<20, &catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, outcome{status: 200, body: long, truncated: true}, outcome{status: 200, body: long})
	is.True(out.finished)
	is.Equal(len(up.sends), 2)
}

// A server error needs no room to be made good elsewhere.
func TestServerErrorIsRetriedWithoutRoom(t *testing.T) {
	is := is.New(t)
	out, up := serveWithin(t, 0, &catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2}, outcome{status: 500, body: long}, outcome{status: 200, body: long})
	is.Equal(out.status, 200)
	is.True(out.body == long)
	is.Equal(len(up.sends), 2)
}

// Guards against bodies without end that are read before a retry: they are never passed on. What
// is passed on comes out of the room, also where a stream was asked for.
func TestBodyThatIsNotPassedOnIsNotRead(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Stream, catalog.Idempotent} {
		is := is.New(t)
		out, up := serveWithin(t, 0, &catalog.Route{Kind: kind, Resumable: true, MaxAttempts: 2},
			outcome{status: 500, body: long, truncated: true}, outcome{status: 500, body: long})
		is.Equal(len(up.sends), 2)
		is.Equal(out.status, 500)
		is.True(out.body == long) // of the second target, as it was read
		is.True(out.finished)
	}
}
