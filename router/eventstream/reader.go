// Package eventstream splits a text/event-stream into its events without
// changing a byte of them.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// bufferBytes is the size of the read buffer.
	bufferBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// ErrTooLong is an event beyond the bound.
var ErrTooLong = errors.New("an event of the stream is too long")

// Event is one event.
type Event struct {
	// ID is the value of its last id line; empty without one.
	ID string
	// Raw is the event as it came, with the empty line that ends it.
	Raw []byte
}

// Reader reads events.
type Reader struct {
	lines *bufio.Reader
}

// NewReader returns a reader of the stream.
func NewReader(r io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, bufferBytes)}
}

// Next returns the next whole event. The error is io.EOF where the stream ended
// between two events, and io.ErrUnexpectedEOF where it ended within one.
func (r *Reader) Next() (*Event, error) {
	e := &Event{}
	for {
		line, err := r.lines.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.Raw) > maxEventBytes {
				return nil, ErrTooLong
			}
			continue
		}
		if err != nil {
			return nil, endError(err, e.Raw)
		}
		if len(e.Raw) > maxEventBytes {
			return nil, ErrTooLong
		}
		last := lastLine(e.Raw)
		if len(last) == 0 {
			return e, nil
		}
		e.field(last)
	}
}

// endError tells an end between events from one within an event.
func endError(err error, partial []byte) error {
	if err == io.EOF && len(partial) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// lastLine returns the last line of raw without its end.
func lastLine(raw []byte) []byte {
	raw = bytes.TrimSuffix(raw, []byte("\n"))
	raw = bytes.TrimSuffix(raw, []byte("\r"))
	return raw[bytes.LastIndexByte(raw, '\n')+1:]
}

// field takes one line of the event.
func (e *Event) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) == "id" {
		e.ID = string(bytes.TrimPrefix(value, []byte(" ")))
	}
}
