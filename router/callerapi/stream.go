package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/serve"
)

// eventWriter writes server-sent events to a caller.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	buf     []byte
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
}

// deadlineGranularity is the shortest time between two updates of the write
// deadline, so that it isn't set for each token.
const deadlineGranularity = time.Second

func newEventWriter(w http.ResponseWriter, timeout time.Duration) *eventWriter {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	return &eventWriter{w: w, control: http.NewResponseController(w), timeout: timeout}
}

// write writes one event, and flushes it unless more is true, which means that
// the next event has already arrived. A caller that doesn't read within the
// write timeout is treated as disconnected.
func (e *eventWriter) write(ev serve.Event, more bool) error {
	b := e.buf[:0]
	b = append(b, "id: "...)
	b = append(b, ev.Position.Target...)
	b = append(b, '/')
	b = append(b, ev.Position.Stream...)
	b = append(b, '/')
	b = strconv.AppendInt(b, ev.Position.Offset, 10)
	if ev.End != nil {
		b = append(b, "\nevent: end"...)
	}
	b = append(b, "\ndata: "...)
	b = append(b, ev.Data...)
	b = append(b, "\n\n"...)
	if ev.End != nil {
		b = append(b, "data: [DONE]\n\n"...)
	}
	e.buf = b
	return e.send(b, more)
}

// writeError sends an error as the last event.
func (e *eventWriter) writeError(err error) {
	body, marshalErr := json.Marshal(ErrorBody{Error: newErrorInfo(errkind.FromError(err))})
	if marshalErr != nil {
		return
	}
	b := append(e.buf[:0], "event: error\ndata: "...)
	b = append(b, body...)
	b = append(b, "\n\n"...)
	_ = e.send(b, false)
}

func (e *eventWriter) send(b []byte, more bool) error {
	err := e.extendDeadline()
	if err != nil {
		return err
	}
	_, err = e.w.Write(b)
	if err != nil || more {
		return err
	}
	return e.control.Flush()
}

// extendDeadline moves the write deadline, at most once in
// deadlineGranularity. The deadline has that much slack, so that every write
// gets the full timeout.
func (e *eventWriter) extendDeadline() error {
	now := time.Now()
	if now.Sub(e.deadlineSetAt) < deadlineGranularity {
		return nil
	}
	e.deadlineSetAt = now
	return e.control.SetWriteDeadline(now.Add(e.timeout + deadlineGranularity))
}

// stream serves a streamed model call.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, req *serve.Request) {
	stream, err := s.RequestServer.OpenStream(ctx, req)
	if err != nil {
		s.failRequest(w, req, err)
		return
	}
	defer stream.Park()
	ev, err := stream.Next(ctx)
	if err != nil {
		s.failRequest(w, req, streamError(err))
		return
	}
	events := newEventWriter(w, s.Limits.WriteTimeout.AsDuration())
	for {
		err = events.write(ev, stream.Ready())
		if err != nil || ev.End != nil {
			return
		}
		ev, err = stream.Next(ctx)
		if err != nil {
			events.writeError(streamError(err))
			return
		}
	}
}

// streamError converts the deadline error of a stream's context to an
// errkind.Error. The request was sent, so it may have run.
func streamError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlineInRun, "the deadline passed before the response was complete")
	}
	return err
}
