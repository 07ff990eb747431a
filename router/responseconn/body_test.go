package responseconn

import (
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"cuminrock.example/fleet/intake"
)

func TestReadBody(t *testing.T) {
	is := is.New(t)
	text := strings.Repeat("some text ", 10_000)
	space := &room{left: 1 << 20}
	hold := &intake.Hold{Room: space}
	body, err := ReadBody(iotest.HalfReader(strings.NewReader(text)), int64(len(text)), hold)
	is.NoErr(err)
	is.Equal(string(body), text)
	is.True(space.left <= 1<<20-int64(len(text)))
	hold.Release()
	is.Equal(space.left, int64(1<<20))

	_, err = ReadBody(strings.NewReader(text), int64(len(text))-1, hold)
	is.Equal(err, ErrBodyTooLong)
	hold.Release()
	space.left = int64(len(text))
	_, err = ReadBody(strings.NewReader(text), int64(len(text)), hold)
	is.Equal(err, ErrNoBodyRoom)
	hold.Release()
	_, err = ReadBody(iotest.TimeoutReader(strings.NewReader(text)), int64(len(text)), &intake.Hold{})
	is.Equal(err, iotest.ErrTimeout)
	is.Equal(space.left, int64(len(text)))
}
