package target

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// errIncompleteStream is the error of a stream with missing events or contents, or
// without a matching end event.
var errIncompleteStream = errors.New("stream is incomplete")

// chunk has the fields of an event's JSON that are checked.
type chunk struct {
	EndEvent
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// accept checks an event's request ID, stream and offset, and adds its content to
// the digest.
func (s *Stream) accept(f frame) (Event, error) {
	if string(f.data) == doneMarker {
		return Event{}, fmt.Errorf("%w: no end event", errIncompleteStream)
	}
	content, ok := s.template.extractContent(f.data)
	if ok && f.event == "" {
		return s.acceptContent(f, content)
	}
	var c chunk
	err := json.Unmarshal(f.data, &c)
	if err != nil {
		return Event{}, err
	}
	if c.ID != s.pending.call.RequestID {
		return Event{}, errRequestMismatch
	}
	if f.event == endEventName {
		return s.acceptEnd(f, &c.EndEvent)
	}
	event, err := s.acceptToken(f)
	if err != nil {
		return Event{}, err
	}
	s.addToDigest(&c)
	s.template.learn(f.data, &c)
	return event, nil
}

// acceptContent accepts a token event that matches the template: its request ID
// and other fields, except the content, are those of an event that was checked.
func (s *Stream) acceptContent(f frame, content []byte) (Event, error) {
	event, err := s.acceptToken(f)
	if err != nil {
		return Event{}, err
	}
	s.digest.Write(content)
	s.length += int64(len(content))
	return event, nil
}

// acceptToken checks a token event's stream and offset.
func (s *Stream) acceptToken(f frame) (Event, error) {
	offset, err := s.offset(f)
	if err != nil {
		return Event{}, err
	}
	if offset != s.nextOffset {
		return Event{}, fmt.Errorf("%w: received event %d, expected %d", errIncompleteStream, offset, s.nextOffset)
	}
	s.nextOffset++
	return Event{Offset: offset, Data: f.data}, nil
}

// acceptEnd checks the end event.
func (s *Stream) acceptEnd(f frame, end *EndEvent) (Event, error) {
	offset, err := s.offset(f)
	if err != nil {
		return Event{}, err
	}
	return Event{Offset: offset, Data: f.data, End: end}, s.verifyEnd(end)
}

// offset returns an event's offset and checks that the event is of this stream.
func (s *Stream) offset(f frame) (int64, error) {
	stream, offset, err := parseEventID(f.id)
	if err != nil {
		return 0, err
	}
	if stream != s.id {
		return 0, errRequestMismatch
	}
	return offset, nil
}

// addToDigest adds an event's contents to the digest and length.
func (s *Stream) addToDigest(c *chunk) {
	for i := range c.Choices {
		n, _ := io.WriteString(s.digest, c.Choices[i].Delta.Content)
		s.length += int64(n)
	}
}

// verifyEnd compares the end event with the received events.
func (s *Stream) verifyEnd(end *EndEvent) error {
	if end.Usage.CompletionTokens != s.nextOffset {
		return fmt.Errorf("%w: received %d of %d tokens", errIncompleteStream, s.nextOffset, end.Usage.CompletionTokens)
	}
	if !s.digestComplete {
		return nil
	}
	if end.Length != s.length {
		return fmt.Errorf("%w: received %d of %d bytes", errIncompleteStream, s.length, end.Length)
	}
	if !strings.EqualFold(end.SHA256, hex.EncodeToString(s.digest.Sum(nil))) {
		return fmt.Errorf("%w: SHA-256 digest differs", errIncompleteStream)
	}
	return nil
}

func parseEventID(id string) (stream string, offset int64, err error) {
	cut := strings.LastIndexByte(id, '/')
	if cut < 0 {
		return "", 0, fmt.Errorf("event ID %q has no offset", id)
	}
	offset, err = strconv.ParseInt(id[cut+1:], 10, 64)
	return id[:cut], offset, err
}
