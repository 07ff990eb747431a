package eventstream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestEventsKeepEveryByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.StringMatching(`(id: [0-9]{1,4}\r?\n)?data: ?[a-z: ]{0,900}\r?\n\r?\n`), 1, 5).Draw(t, "events")
		text := strings.Join(events, "")
		reader := NewReader(iotest.HalfReader(strings.NewReader(text)), nil)
		var got []byte
		count := 0
		for {
			e, err := reader.Next()
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, e.Raw...)
			count++
		}
		if !bytes.Equal(got, []byte(text)) || count != len(events) {
			t.Fatalf("%d events of %d, %q of %q", count, len(events), got, text)
		}
	})
}

func TestEventID(t *testing.T) {
	is := is.New(t)
	e, err := NewReader(strings.NewReader("other: 4\nid: 12\ndata: one\ndata: two\n\n"), nil).Next()
	is.NoErr(err)
	is.Equal(e.ID, "12")
}

func TestEndWithinEventIsUnexpectedEOF(t *testing.T) {
	is := is.New(t)
	reader := NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b"), nil)
	_, err := reader.Next()
	is.NoErr(err)
	_, err = reader.Next()
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

func TestTooLongEventIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := NewReader(strings.NewReader("data: "+strings.Repeat("x", maxEventBytes+10)+"\n\n"), nil).Next()
	is.True(errors.Is(err, ErrTooLong))
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

// Guards against events without end that are kept beyond the room for them.
func TestLongEventsComeOutOfTheRoom(t *testing.T) {
	is := is.New(t)
	const size = 100 << 10
	event := "data: " + strings.Repeat("x", size) + "\n\n"
	space := &room{left: 1 << 20}
	reader := NewReader(strings.NewReader(strings.Repeat(event, 20)+"data: x\n\n"), space)
	for range 20 {
		_, err := reader.Next()
		is.NoErr(err)
		is.True(space.left >= 1<<20-2*2*(size+100)) // that event and the one before it
		is.True(space.left <= 1<<20-size)
	}
	reader.Release()
	is.Equal(space.left, int64(1<<20))

	space = &room{left: size}
	reader = NewReader(strings.NewReader("data: x\n\n"+event), space)
	_, err := reader.Next()
	is.NoErr(err)
	_, err = reader.Next()
	is.Equal(err, ErrNoRoom)
	reader.Release()
	is.Equal(space.left, int64(size))
}
