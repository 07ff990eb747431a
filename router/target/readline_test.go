package target

import (
	"bufio"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A line longer than the buffer is read completely. A line above maxEventBytes is
// rejected before its end has arrived.
func TestReadLine(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 3*4096)
	s := &Stream{lines: bufio.NewReader(strings.NewReader("short\n" + long + "\n" + strings.Repeat("y", 2*maxEventBytes)))}
	line, err := s.readLine()
	is.NoErr(err)
	is.Equal(string(line), "short\n")
	line, err = s.readLine()
	is.NoErr(err)
	is.Equal(len(line), len(long)+1)
	_, err = s.readLine()
	is.True(errors.Is(err, errResponseTooLong))
}
