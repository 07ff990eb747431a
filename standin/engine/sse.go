package engine

import (
	"encoding/json"
	"net/http"

	"cuminrock.example/standin/target"
)

// writeStream answers the events of a stream from an offset.
func (e *Engine) writeStream(w http.ResponseWriter, req *http.Request, s *stream, from int, fate target.RequestFault) {
	if !e.door.DelayResponse(req.Context(), fate) {
		return
	}
	id := e.door.SetRequestID(w, s.requestID, fate)
	w.Header().Set("Content-Type", contentTypeEvents)
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(target.HeaderStream, s.id)
	idJSON, err := json.Marshal(id)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	out := &eventWriter{w: w, flush: http.NewResponseController(w).Flush, engine: e, stream: s, id: id, idJSON: idJSON, offset: from}
	if fate == target.FaultDisconnect {
		out.dieAt = e.Faults().DisconnectAtToken
		out.dies = true
	}
	out.run(req)
}

// eventWriter sends the events of one stream to one reader.
type eventWriter struct {
	w      http.ResponseWriter
	flush  func() error
	engine *Engine
	stream *stream
	id     string
	idJSON []byte
	offset int
	buf    []byte
	dies   bool
	dieAt  int
}

// run sends events until the stream or its reader ends. The header goes out
// first, so that the reader knows the stream's id before the first token.
func (o *eventWriter) run(req *http.Request) {
	wake := o.stream.subscribe()
	defer o.stream.unsubscribe(wake)
	if o.flush() != nil {
		return
	}
	for o.step(req) {
		select {
		case <-wake:
		case <-req.Context().Done():
			return
		case <-o.engine.door.Done():
			return
		}
	}
}

// step sends what there is and tells whether more is to come.
func (o *eventWriter) step(req *http.Request) bool {
	if !o.engine.door.DelayResponse(req.Context(), target.NoFault) {
		return false
	}
	generated, state := o.stream.progress()
	if o.dies && generated >= o.dieAt {
		o.send(o.dieAt)
		target.Abort()
	}
	if state == cancelled {
		target.Abort()
	}
	if !o.send(generated) {
		return false
	}
	if state != finished {
		return true
	}
	o.sendEnd()
	return false
}

// send writes the tokens up to an offset.
func (o *eventWriter) send(until int) bool {
	if o.offset >= until {
		return true
	}
	o.buf = o.buf[:0]
	for ; o.offset < until; o.offset++ {
		o.buf = appendToken(o.buf, o.stream.id, o.offset, o.idJSON, o.stream.answer.token(o.offset))
	}
	return o.write()
}

func (o *eventWriter) sendEnd() {
	length, sum := o.stream.answer.digest()
	end := endMessage{ID: o.id, Usage: o.engine.told(o.stream.usage()), Length: length, SHA256: sum}
	o.buf = appendEnd(o.buf[:0], o.stream.id, o.stream.answer.total, end)
	o.write()
}

func (o *eventWriter) write() bool {
	_, err := o.w.Write(o.buf)
	if err != nil {
		return false
	}
	return o.flush() == nil
}
