package streamcheck

import (
	"bufio"
	"bytes"
	"io"

	"github.com/gravitational/trace"
)

// eventBufferBytes is the longest line of an event stream.
const eventBufferBytes = 64 << 10

// event is one server-sent event. Its fields are valid until the next read.
type event struct {
	id   []byte
	name []byte
	data []byte
}

// eventReader reads server-sent events whose data is one line.
type eventReader struct {
	lines *bufio.Reader
	buf   []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the next event; io.EOF ends the stream.
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
		kept := span{start: len(r.buf), end: len(r.buf) + len(value)}
		r.buf = append(r.buf, value...)
		switch string(field) {
		case "id":
			id = kept
		case "event":
			name = kept
		case "data":
			data = kept
		}
	}
}

// span is a part of the reader's buffer, which may move while it grows.
type span struct{ start, end int }

func (s span) of(buf []byte) []byte { return buf[s.start:s.end] }

func readError(err error) error {
	if err == io.EOF {
		return io.EOF
	}
	return trace.Wrap(err)
}
