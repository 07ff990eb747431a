// Package eventstream splits a text/event-stream into events and keeps every byte of
// them.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"cuminrock.example/fleet/intake"
)

const (
	// bufferBytes is the size of the read buffer.
	bufferBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

var (
	// ErrTooLong means that an event exceeds the size limit of 1 MiB.
	ErrTooLong = errors.New("an event of the stream is too long")
	// ErrNoRoom means that there is no room for a long event.
	ErrNoRoom = errors.New("there is no room for a long event of the stream")
)

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
	// holds are what the event that is read and the one before it hold of the room.
	holds [2]*intake.Hold
}

// NewReader returns a reader of the stream. Long events come out of the room, nil for no bound,
// until Release.
func NewReader(r io.Reader, room intake.AnswerRoom) *Reader {
	holds := [2]*intake.Hold{{Room: room}, {Room: room}}
	return &Reader{reader: bufio.NewReaderSize(r, bufferBytes), holds: holds}
}

// Release gives back what the last events hold.
func (r *Reader) Release() {
	r.holds[0].Release()
	r.holds[1].Release()
}

// Next returns the next complete event. The event before the last one mustn't be used any
// longer. The error is io.EOF if the stream ended between two events, and io.ErrUnexpectedEOF
// if it ended within an event.
func (r *Reader) Next() (*Event, error) {
	r.holds[0], r.holds[1] = r.holds[1], r.holds[0]
	r.holds[0].Release()
	e := &Event{}
	for {
		line, err := r.reader.ReadSlice('\n')
		if !r.hold(len(e.Raw) + len(line)) {
			return nil, ErrNoRoom
		}
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > maxEventBytes {
			return nil, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, readError(err, e.Raw)
		}
		last := lastLine(e.Raw)
		if len(last) == 0 {
			return e, nil
		}
		e.parseLine(last)
	}
}

// hold takes room for an event of a length. Its slice grows by doubling.
func (r *Reader) hold(length int) bool {
	return length <= bufferBytes || r.holds[0].Grow(2*int64(length))
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
