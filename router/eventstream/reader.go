// Package eventstream splits a text/event-stream into events and keeps every byte of
// them.
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
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

// ErrTooLong means that an event exceeds the size limit of 1 MiB.
var ErrTooLong = errors.New("an event of the stream is too long")

// Event is one event of a stream.
type Event struct {
	// ID is the value of the event's last id field, or empty.
	ID string
	// Raw is the event as received, with the empty line that ends it.
	Raw []byte
}

// Reader reads the events of a stream.
type Reader struct {
	reader *bufio.Reader
}

// NewReader returns a reader of the stream.
func NewReader(r io.Reader) *Reader {
	return &Reader{reader: bufio.NewReaderSize(r, bufferBytes)}
}

// Next returns the next complete event. The error is io.EOF if the stream ended
// between two events, and io.ErrUnexpectedEOF if it ended within an event.
func (r *Reader) Next() (*Event, error) {
	e := &Event{}
	for {
		line, err := r.reader.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.Raw) > maxEventBytes {
				return nil, ErrTooLong
			}
			continue
		}
		if err != nil {
			return nil, readError(err, e.Raw)
		}
		if len(e.Raw) > maxEventBytes {
			return nil, ErrTooLong
		}
		last := lastLine(e.Raw)
		if len(last) == 0 {
			return e, nil
		}
		e.parseLine(last)
	}
}

// readError replaces io.EOF by io.ErrUnexpectedEOF within an event.
func readError(err error, partial []byte) error {
	if err == io.EOF && len(partial) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// lastLine returns the last line of raw without its line ending.
func lastLine(raw []byte) []byte {
	raw = bytes.TrimSuffix(raw, []byte("\n"))
	raw = bytes.TrimSuffix(raw, []byte("\r"))
	return raw[bytes.LastIndexByte(raw, '\n')+1:]
}

// parseLine parses one line of the event.
func (e *Event) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if string(name) == "id" {
		e.ID = string(bytes.TrimPrefix(value, []byte(" ")))
	}
}
