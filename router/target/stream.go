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

// maxEventBytes bounds the size of an event.
const maxEventBytes = 1 << 20

// The names and markers of the event stream.
const (
	endEventName = "end"
	doneMarker   = "[DONE]"
)

// errIncompleteStream is the error of a stream with missing events or contents, or
// without a matching end event.
var errIncompleteStream = errors.New("stream is incomplete")

// EndEvent is the end event of a stream. A stream without it is incomplete.
type EndEvent struct {
	Usage Usage `json:"usage"`
	// Length is the total length of all contents, in bytes.
	Length int64 `json:"length"`
	// SHA256 is the hexadecimal SHA-256 digest of all contents.
	SHA256 string `json:"sha256"`
}

// Event is an event of a stream.
type Event struct {
	// Offset is the number of the event in the stream, from 0.
	Offset int64
	// Data is the JSON of the event.
	Data []byte
	// End is set on the last event only.
	End *EndEvent
}

// Stream is a streamed response. It isn't safe for concurrent use.
type Stream struct {
	pending    *pendingCall
	id         string
	lines      *bufio.Reader
	nextOffset int64
	digest     hash.Hash
	length     int64
	template   eventTemplate
	// digestComplete is true if digest covers the stream from its first event.
	digestComplete bool
	endReceived    bool
	// watchedCtx is the context of the last Next. Its end cancels the call,
	// until stopWatch is called.
	watchedCtx context.Context
	stopWatch  func() bool
}

// Stream sends a model call and returns when the header of its response has
// arrived.
func (c *Client) Stream(ctx context.Context, call Call) (*Stream, error) {
	pending, err := c.open(ctx, call, c.routeOf(call))
	if err != nil {
		return nil, err
	}
	return newStream(pending, pending.resp.Header.Get(headerStream), 0)
}

// Resume continues the stream of an earlier call from an offset. The digest of
// the contents is verified only from offset 0 or after InheritDigest.
func (c *Client) Resume(ctx context.Context, call Call, stream string, from int64) (*Stream, error) {
	call.Method = http.MethodGet
	call.Path = streamPath(stream) + "?from=" + strconv.FormatInt(from, 10)
	call.Body = nil
	pending, err := c.open(ctx, call, c.routeOf(call))
	if err != nil {
		return nil, err
	}
	return newStream(pending, stream, from)
}

// InheritDigest makes a resumed stream verify the contents from the first event
// on: it takes over the digest and length of the broken stream of the same call.
// It has no effect if the stream doesn't continue exactly where the broken one
// stopped.
func (s *Stream) InheritDigest(broken *Stream) {
	if s.id != broken.id || s.nextOffset != broken.nextOffset {
		return
	}
	s.digest = broken.digest
	s.length = broken.length
	s.digestComplete = broken.digestComplete
}

func newStream(pending *pendingCall, id string, from int64) (*Stream, error) {
	status := pending.resp.StatusCode
	if status == http.StatusNotFound {
		pending.close()
		return nil, errkind.New(errkind.UnknownRequest, "target %s doesn't know the stream", pending.call.Target.GetName())
	}
	if status != http.StatusOK || id == "" {
		return nil, pending.fail(statusError(status))
	}
	return &Stream{
		pending:        pending,
		id:             id,
		lines:          bufio.NewReader(bodyReader{pending}),
		nextOffset:     from,
		digest:         sha256.New(),
		digestComplete: from == 0,
	}, nil
}

// ID returns the engine's ID of the stream.
func (s *Stream) ID() string { return s.id }

// Close ends the stream. It doesn't cancel it at the engine. After the end event,
// the connection is reused if the engine ends its response within drainTimeout.
func (s *Stream) Close() {
	s.unwatch()
	if s.endReceived {
		s.drain()
	}
	s.pending.close()
}

// Next returns the next event. After the end event it returns io.EOF. It returns
// an error if the stream ends before its end event or doesn't match it.
func (s *Stream) Next(ctx context.Context) (Event, error) {
	if s.endReceived {
		return Event{}, io.EOF
	}
	s.watch(ctx)
	frame, err := s.readFrame()
	if err != nil {
		return Event{}, s.pending.fail(err)
	}
	event, err := s.accept(frame)
	if err != nil {
		return Event{}, s.pending.fail(err)
	}
	s.endReceived = event.End != nil
	return event, nil
}

// watch cancels the call when ctx ends. It does nothing if ctx is already watched,
// so that repeated calls of Next with the same context are cheap.
func (s *Stream) watch(ctx context.Context) {
	if s.watchedCtx == ctx {
		return
	}
	s.unwatch()
	s.watchedCtx = ctx
	s.stopWatch = context.AfterFunc(ctx, func() { s.pending.cancel(context.Cause(ctx)) })
}

func (s *Stream) unwatch() {
	if s.stopWatch != nil {
		s.stopWatch()
	}
}

// Ready reports whether another complete event is buffered, so that Next wouldn't
// wait.
func (s *Stream) Ready() bool {
	n := s.lines.Buffered()
	if n == 0 {
		return false
	}
	buffered, err := s.lines.Peek(n)
	return err == nil && bytes.Contains(buffered, eventBoundary)
}

// eventBoundary is the end of an event.
var eventBoundary = []byte("\n\n")

// drain reads the rest of the response after the end event.
func (s *Stream) drain() {
	if s.pending.draining {
		return
	}
	s.pending.draining = true
	_, _ = io.CopyN(io.Discard, s.lines, maxEventBytes)
}

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

func streamPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) }
