package streamcheck

import (
	"bufio"
	"bytes"
	"io"

	"github.com/gravitational/trace"
)

// maxLineBytes is the longest line of an event stream that can be read.
const maxLineBytes = 64 << 10

// event is one server-sent event. Its fields are valid until the next call of
// eventReader.next.
type event struct {
	id   []byte
	name []byte
	data []byte
}

// eventReader reads server-sent events whose data is a single line.
type eventReader struct {
	lines *bufio.Reader
	buf   []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, maxLineBytes)}
}

// next returns the next event, or io.EOF at the end of the stream.
func (r *eventReader) next() (event, error) {
	var id, name, data span
	r.buf = r.buf[:0]
	for {
		line, err := r.lines.ReadSlice('\n')
		if err != nil {
			return event{}, readError(err)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(r.buf) == 0 {
				continue
			}
			return event{id: id.of(r.buf), name: name.of(r.buf), data: data.of(r.buf)}, nil
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		valueSpan := span{start: len(r.buf), end: len(r.buf) + len(value)}
		r.buf = append(r.buf, value...)
		switch string(field) {
		case "id":
			id = valueSpan
		case "event":
			name = valueSpan
		case "data":
			data = valueSpan
		}
	}
}

// span is a range of the reader's buffer. It holds indexes, as the buffer may be
// reallocated while it grows.
type span struct{ start, end int }

func (s span) of(buf []byte) []byte { return buf[s.start:s.end] }

func readError(err error) error {
	if err == io.EOF {
		return io.EOF
	}
	return trace.Wrap(err)
}
