package target

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"hash"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"cuminrock.example/fleet/errkind"
)

// The names and markers of the event stream.
const (
	endEventName = "end"
	doneMarker   = "[DONE]"
)

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

func streamPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) }
