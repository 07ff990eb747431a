package target

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds the size of an event.
const maxEventBytes = 1 << 20

// frame is a received event before its checks.
type frame struct {
	id    string
	event string
	data  []byte
}

// readFrame reads the lines of the next event.
func (s *Stream) readFrame() (frame, error) {
	var f frame
	size := 0
	for {
		line, err := s.readLine()
		if err != nil {
			return f, unexpectedEOF(err)
		}
		size += len(line)
		if size > maxEventBytes {
			return f, errResponseTooLong
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && f.data != nil {
			return f, nil
		}
		f.add(line)
	}
}

// readLine returns the next line, which is valid until the next read. It rejects a
// line above maxEventBytes without reading it to its end.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > maxEventBytes {
			return nil, errResponseTooLong
		}
		line, err = s.lines.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (f *frame) add(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		f.id = string(value)
	case "event":
		f.event = string(value)
	case "data":
		f.data = append(f.data, value...)
	}
}
