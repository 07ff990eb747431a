package target

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"cuminrock.example/fleet/errkind"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// The names and markers of the event stream.
const (
	endEvent   = "end"
	doneMarker = "[DONE]"
)

// errNotWhole marks a stream whose end event doesn't match what came.
var errNotWhole = errors.New("stream isn't whole")

// EndEvent is the end event of a stream. A stream without it isn't whole.
type EndEvent struct {
	Usage Usage `json:"usage"`
	// Length is the number of bytes of all contents.
	Length int64 `json:"length"`
	// SHA256 is the hexadecimal digest of all contents.
	SHA256 string `json:"sha256"`
}

// Event is one event of a stream.
type Event struct {
	// Offset counts the stream's events from 0.
	Offset int64
	// Data is the JSON of the event.
	Data []byte
	// End is set on the last event only.
	End *EndEvent
}

// Stream is a streamed answer. It isn't safe for concurrent use.
type Stream struct {
	x      *inProgress
	id     string
	lines  *bufio.Reader
	next   int64
	digest hash.Hash
	length int64
	common template
	// whole says that the digest covers the stream from its first event.
	whole bool
	ended bool
	// watched is the context of the latest Next; stop ends its watch.
	watched context.Context
	stop    func() bool
}

// Stream sends a model call and returns when the header of its answer came.
func (c *Client) Stream(ctx context.Context, call Call) (*Stream, error) {
	x, err := c.open(ctx, call, c.routeOf(call))
	if err != nil {
		return nil, err
	}
	return newStream(x, x.resp.Header.Get(headerStream), 0)
}

// Resume continues the stream of an earlier call from an offset. The contents'
// digest can be checked only from offset 0, or after Stream.Follow.
func (c *Client) Resume(ctx context.Context, call Call, stream string, from int64) (*Stream, error) {
	call.Method = http.MethodGet
	call.Path = streamPath(stream) + "?from=" + strconv.FormatInt(from, 10)
	call.Body = nil
	x, err := c.open(ctx, call, c.routeOf(call))
	if err != nil {
		return nil, err
	}
	return newStream(x, stream, from)
}

// InheritDigest makes a resumed stream check the contents from the first event on: it
// takes over what the broken stream of the same call had counted. It has no
// effect where the two don't join without a gap.
func (s *Stream) InheritDigest(broken *Stream) {
	if s.id != broken.id || s.next != broken.next {
		return
	}
	s.digest = broken.digest
	s.length = broken.length
	s.whole = broken.whole
}

func newStream(x *inProgress, id string, from int64) (*Stream, error) {
	status := x.resp.StatusCode
	if status == http.StatusNotFound {
		x.close()
		return nil, errkind.New(errkind.UnknownRequest, "target %s doesn't know the stream", x.call.Target.GetName())
	}
	if status != http.StatusOK || id == "" {
		return nil, x.fail(errStatus(status))
	}
	return &Stream{
		x:      x,
		id:     id,
		lines:  bufio.NewReader(watchedBody{x}),
		next:   from,
		digest: sha256.New(),
		whole:  from == 0,
	}, nil
}

// ID returns the engine's name of the stream.
func (s *Stream) ID() string { return s.id }

// Close ends the stream. It doesn't cancel it at the engine. After the end event
// the connection is reused if the engine ends its answer soon.
func (s *Stream) Close() {
	s.unwatch()
	if s.ended {
		s.drain()
	}
	s.x.close()
}

// Next returns the next event. After the end event it returns io.EOF. A stream
// that breaks before its end event, or doesn't match it, returns an error.
func (s *Stream) Next(ctx context.Context) (Event, error) {
	if s.ended {
		return Event{}, io.EOF
	}
	s.watch(ctx)
	frame, err := s.readFrame()
	if err != nil {
		return Event{}, s.x.fail(err)
	}
	event, err := s.accept(frame)
	if err != nil {
		return Event{}, s.x.fail(err)
	}
	s.ended = event.End != nil
	return event, nil
}

// watch ends the call when ctx does. A context that is watched already costs
// nothing more.
func (s *Stream) watch(ctx context.Context) {
	if s.watched == ctx {
		return
	}
	s.unwatch()
	s.watched = ctx
	s.stop = context.AfterFunc(ctx, func() { s.x.cancel(context.Cause(ctx)) })
}

func (s *Stream) unwatch() {
	if s.stop != nil {
		s.stop()
	}
}

// Ready tells whether another whole event has come already, so that Next
// wouldn't wait.
func (s *Stream) Ready() bool {
	n := s.lines.Buffered()
	if n == 0 {
		return false
	}
	came, err := s.lines.Peek(n)
	return err == nil && bytes.Contains(came, eventBoundary)
}

// eventBoundary ends an event.
var eventBoundary = []byte("\n\n")

// drain reads what follows the end event to the end of the answer.
func (s *Stream) drain() {
	if s.x.draining {
		return
	}
	s.x.draining = true
	_, _ = io.CopyN(io.Discard, s.lines, maxEventBytes)
}

// frame is one event as it came.
type frame struct {
	id    string
	event string
	data  []byte
}

// readFrame reads lines to the next empty one.
func (s *Stream) readFrame() (frame, error) {
	var f frame
	size := 0
	for {
		line, err := s.readLine()
		if err != nil {
			return f, noEOF(err)
		}
		size += len(line)
		if size > maxEventBytes {
			return f, errTooLong
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && f.data != nil {
			return f, nil
		}
		f.add(line)
	}
}

// readLine returns the next line. It is valid until the next read. A line above
// the limit of an event is refused before it is whole.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > maxEventBytes {
			return nil, errTooLong
		}
		line, err = s.lines.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

func noEOF(err error) error {
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

// chunk is the part of an event's JSON that is checked.
type chunk struct {
	EndEvent
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// accept checks one event's request id, stream and offset.
func (s *Stream) accept(f frame) (Event, error) {
	if string(f.data) == doneMarker {
		return Event{}, fmt.Errorf("%w: no end event", errNotWhole)
	}
	content, known := s.common.content(f.data)
	if known && f.event == "" {
		return s.acceptContent(f, content)
	}
	var c chunk
	err := json.Unmarshal(f.data, &c)
	if err != nil {
		return Event{}, err
	}
	if c.ID != s.x.call.RequestID {
		return Event{}, errMismatch
	}
	if f.event == endEvent {
		return s.acceptEnd(f, &c.EndEvent)
	}
	event, err := s.acceptToken(f)
	if err != nil {
		return Event{}, err
	}
	s.sum(&c)
	s.common.learn(f.data, &c)
	return event, nil
}

// acceptContent takes a token event whose fields but the content, the request
// id among them, are those of an event that was checked.
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
	if offset != s.next {
		return Event{}, fmt.Errorf("%w: event %d came in place of %d", errNotWhole, offset, s.next)
	}
	s.next++
	return Event{Offset: offset, Data: f.data}, nil
}

// acceptEnd checks the end event.
func (s *Stream) acceptEnd(f frame, end *EndEvent) (Event, error) {
	offset, err := s.offset(f)
	if err != nil {
		return Event{}, err
	}
	return Event{Offset: offset, Data: f.data, End: end}, s.checkEnd(end)
}

// offset returns an event's offset and checks that it is of this stream.
func (s *Stream) offset(f frame) (int64, error) {
	stream, offset, err := splitEventID(f.id)
	if err != nil {
		return 0, err
	}
	if stream != s.id {
		return 0, errMismatch
	}
	return offset, nil
}

// sum adds an event's contents to the digest.
func (s *Stream) sum(c *chunk) {
	for i := range c.Choices {
		n, _ := io.WriteString(s.digest, c.Choices[i].Delta.Content)
		s.length += int64(n)
	}
}

// checkEnd compares the end event with what came.
func (s *Stream) checkEnd(end *EndEvent) error {
	if end.Usage.CompletionTokens != s.next {
		return fmt.Errorf("%w: %d of %d tokens came", errNotWhole, s.next, end.Usage.CompletionTokens)
	}
	if !s.whole {
		return nil
	}
	if end.Length != s.length {
		return fmt.Errorf("%w: %d of %d bytes came", errNotWhole, s.length, end.Length)
	}
	if !strings.EqualFold(end.SHA256, hex.EncodeToString(s.digest.Sum(nil))) {
		return fmt.Errorf("%w: digest differs", errNotWhole)
	}
	return nil
}

func splitEventID(id string) (stream string, offset int64, err error) {
	cut := strings.LastIndexByte(id, '/')
	if cut < 0 {
		return "", 0, fmt.Errorf("event id %q lacks an offset", id)
	}
	offset, err = strconv.ParseInt(id[cut+1:], 10, 64)
	return id[:cut], offset, err
}

func streamPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) }
