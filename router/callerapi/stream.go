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

// eventWriter writes server-sent events to one caller.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	buf     []byte
	// armed is when the write deadline was last set.
	armed time.Time
}

// armStep is how much a write deadline may lag, so that it isn't set anew for
// each token.
const armStep = time.Second

func newEventWriter(w http.ResponseWriter, timeout time.Duration) *eventWriter {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	return &eventWriter{w: w, control: http.NewResponseController(w), timeout: timeout}
}

// write writes one event, and sends it at once unless more follows that has
// come already. A caller that doesn't take it within the write timeout counts
// as gone.
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

// fail sends a failure as the last event.
func (e *eventWriter) fail(err error) {
	body, marshalErr := json.Marshal(ErrorBody{Error: errorInfo(errkind.FromError(err))})
	if marshalErr != nil {
		return
	}
	b := append(e.buf[:0], "event: error\ndata: "...)
	b = append(b, body...)
	b = append(b, "\n\n"...)
	_ = e.send(b, false)
}

func (e *eventWriter) send(b []byte, more bool) error {
	err := e.arm()
	if err != nil {
		return err
	}
	_, err = e.w.Write(b)
	if err != nil || more {
		return err
	}
	return e.control.Flush()
}

// arm sets the write deadline.
func (e *eventWriter) arm() error {
	now := time.Now()
	if now.Sub(e.armed) < armStep {
		return nil
	}
	e.armed = now
	return e.control.SetWriteDeadline(now.Add(e.timeout + armStep))
}

// stream answers a streamed model call.
func (d *Server) stream(ctx context.Context, w http.ResponseWriter, req *serve.Request) {
	st, err := d.RequestServer.OpenStream(ctx, req)
	if err != nil {
		d.refuseRequest(w, req, err)
		return
	}
	defer st.Park()
	ev, err := st.Next(ctx)
	if err != nil {
		d.refuseRequest(w, req, streamError(err))
		return
	}
	out := newEventWriter(w, d.Limits.WriteTimeout.AsDuration())
	for {
		err = out.write(ev, st.Ready())
		if err != nil || ev.End != nil {
			return
		}
		ev, err = st.Next(ctx)
		if err != nil {
			out.fail(streamError(err))
			return
		}
	}
}

// streamError gives the end of a stream's context its kind. The request was
// sent, so it may have run.
func streamError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlineInRun, "the deadline passed while the answer was on its way")
	}
	return err
}
