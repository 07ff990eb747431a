package responseconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// sendPieces returns a connection to a server that sends pieces, each with a write of its own,
// and closes the connection in order.
func sendPieces(t *testing.T, pieces ...string) *Conn {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	go func() {
		for _, piece := range pieces {
			_, _ = io.WriteString(server, piece)
		}
		_ = server.Close()
	}()
	return New(client, nil)
}

const soundHead = "HTTP/1.1 200 OK\r\nX-Some: text\r\nContent-Length: 4\r\n\r\n"

// However a head is cut into pieces, it arrives as it was sent, and one that is no head not at
// all.
func TestHeadInPieces(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nX-Hint: a\r\n\r\n"
	for _, text := range []string{soundHead + "done", interim + soundHead + "done", interim + interim + soundHead} {
		for size := 1; size <= len(text); size++ {
			is := is.New(t)
			conn := sendPieces(t, cut(text, size)...)
			got, err := io.ReadAll(conn)
			is.NoErr(err)
			is.Equal(string(got), text)
		}
	}
	for _, text := range []string{"HTTP/1.1 000 No\r\n\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\n\r\n", "HTTQ", "HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n"} {
		for size := 1; size <= len(text); size++ {
			is := is.New(t)
			got, err := io.ReadAll(sendPieces(t, cut(text, size)...))
			is.True(errors.Is(err, ErrNoResponse))
			is.Equal(len(got), 0)
		}
	}
}

func cut(text string, size int) []string {
	var pieces []string
	for len(text) > size {
		pieces, text = append(pieces, text[:size]), text[size:]
	}
	return append(pieces, text)
}

// A head that breaks off isn't returned in part.
func TestHeadThatBreaksOffIsAnError(t *testing.T) {
	is := is.New(t)
	got, err := io.ReadAll(sendPieces(t, "HTTP/1.1 200 OK\r\nX-Some"))
	is.Equal(err, io.ErrUnexpectedEOF)
	is.Equal(len(got), 0)
}

// An interim response doesn't let the head that follows it pass unchecked, also in one piece.
func TestHeadAfterAnInterimResponseIsChecked(t *testing.T) {
	is := is.New(t)
	const interim = "HTTP/1.1 100 Continue\r\n\r\n"
	got, err := io.ReadAll(sendPieces(t, interim+"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ndone"))
	is.True(errors.Is(err, ErrNoResponse))
	is.Equal(string(got), interim)
}

// Bytes that came with the response before, and don't belong to it, are checked as a head once
// the next one is expected: whether the user has read them already or not.
func TestBytesAfterAResponseAreCheckedAsAHead(t *testing.T) {
	const broken = "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nfake"
	for name, pieces := range map[string][]string{
		"in one piece":  {soundHead + "done" + broken},
		"head in two":   {soundHead[:20], soundHead[20:] + "done" + broken},
		"after a piece": {soundHead + "done", broken},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := sendPieces(t, pieces...)
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "done")
			ahead, _ := reader.Peek(reader.Buffered())
			conn.Unread(ahead)
			reader.Reset(conn)
			conn.ExpectHead()
			_, err = http.ReadResponse(reader, nil)
			is.True(errors.Is(err, ErrNoResponse))
		})
	}
}

// What is left of a response that was read in small pieces is checked as well.
func TestRestThatWasNotReadIsCheckedAsAHead(t *testing.T) {
	is := is.New(t)
	conn := sendPieces(t, soundHead[:20], soundHead[20:]+"done"+"HTTP/1.1 000 No\r\n\r\n")
	_, err := io.ReadFull(conn, make([]byte, len(soundHead)+len("done")))
	is.NoErr(err)
	is.True(conn.Buffered() > 0)
	conn.ExpectHead()
	_, err = conn.Read(make([]byte, 100))
	is.True(errors.Is(err, ErrNoResponse))
}

func TestHeadThatIsTooLongIsAnError(t *testing.T) {
	for _, line := range []string{"X-Some: " + strings.Repeat("x", 100) + "\r\n", "x", "a:\n"} {
		is := is.New(t)
		text := "HTTP/1.1 200 OK\r\n" + strings.Repeat(line, 2*maxHeadBytes/len(line))
		_, err := io.ReadAll(sendPieces(t, cut(text, 1000)...))
		is.True(errors.Is(err, ErrNoResponse))
	}
}

// FuzzHead checks that net/http reads each head that passes the check, with the same status and
// the same end.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		soundHead, "HTTP/1.0 404 Not Found\r\n\r\n", "HTTP/1.1 204\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 \nA: b\n\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 000 No\r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
		"HTTP/1.1 200 OK\r\n A: b\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "HTTP/1.1 200 OK\r\n: b\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var h head
		complete, err := h.scan(text)
		if err != nil || !complete {
			return
		}
		reader := bufio.NewReaderSize(bytes.NewReader(text), maxHeadBytes)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			// The values of the framing are net/http's to check.
			if !h.sized && !h.chunked {
				t.Fatalf("%q: %v", text, err)
			}
			return
		}
		if resp.StatusCode != h.status {
			t.Fatalf("%q: status %d, %d expected", text, resp.StatusCode, h.status)
		}
		if read := len(text) - reader.Buffered(); len(text) <= maxHeadBytes && read != h.checked {
			t.Fatalf("%q: the head has %d bytes, %d expected", text, read, h.checked)
		}
		if !ValidHeader(resp.Header) {
			t.Fatalf("%q: header %q", text, resp.Header)
		}
	})
}

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

// Guards against long heads that are kept beyond the room for them.
func TestLongHeadsComeOutOfTheRoom(t *testing.T) {
	for _, line := range []string{"X-Some: " + strings.Repeat("x", 100) + "\r\n", "a:\r\n"} {
		is := is.New(t)
		text := "HTTP/1.1 200 OK\r\n" + strings.Repeat(line, maxHeadBytes/2/len(line)) + "\r\n"
		space := &room{left: 16 << 20}
		conn := sendPieces(t, cut(text, 1000)...)
		conn.hold.Room = space
		got, err := io.ReadAll(conn)
		is.NoErr(err)
		is.Equal(string(got), text)
		is.True(16<<20-space.left >= int64(2*len(text)))
		conn.ExpectHead()
		is.Equal(space.left, int64(16<<20))

		space.left = 50 << 10
		conn = sendPieces(t, cut(text, 1000)...)
		conn.hold.Room = space
		_, err = io.ReadAll(conn)
		is.Equal(err, errNoHeadRoom)
		_ = conn.Close()
		is.Equal(space.left, int64(50<<10))
	}
}
