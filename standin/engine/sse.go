package engine

import (
	"encoding/json"
	"net/http"

	"cuminrock.example/standin/target"
)

// writeStream writes the events of a stream, starting at an offset.
func (e *Engine) writeStream(w http.ResponseWriter, req *http.Request, s *stream, from int, fault target.RequestFault) {
	if !e.server.DelayResponse(req.Context(), fault) {
		return
	}
	id := e.server.SetRequestID(w, s.requestID, fault)
	w.Header().Set("Content-Type", contentTypeEvents)
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(target.HeaderStream, s.id)
	idJSON, err := json.Marshal(id)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	events := &eventWriter{w: w, flush: http.NewResponseController(w).Flush, engine: e, stream: s, id: id, idJSON: idJSON, offset: from}
	if fault == target.FaultDisconnect {
		events.disconnectAt = e.Faults().DisconnectAtToken
		events.disconnects = true
	}
	events.run(req)
}

// eventWriter writes the server-sent events of one stream to one reader.
type eventWriter struct {
	w            http.ResponseWriter
	flush        func() error
	engine       *Engine
	stream       *stream
	id           string
	idJSON       []byte
	offset       int
	buf          []byte
	disconnects  bool
	disconnectAt int
}

// run writes events until the stream ends or its reader disconnects. It flushes
// the header first, so that the reader knows the stream's id before the first
// token.
func (ew *eventWriter) run(req *http.Request) {
	wake := ew.stream.subscribe()
	defer ew.stream.unsubscribe(wake)
	if ew.flush() != nil {
		return
	}
	for ew.sendPending(req) {
		select {
		case <-wake:
		case <-req.Context().Done():
			return
		case <-ew.engine.server.Done():
			return
		}
	}
}

// sendPending writes the events that are ready and reports whether more will
// follow.
func (ew *eventWriter) sendPending(req *http.Request) bool {
	if !ew.engine.server.DelayResponse(req.Context(), target.NoFault) {
		return false
	}
	generated, state := ew.stream.progress()
	if ew.disconnects && generated >= ew.disconnectAt {
		ew.sendTokens(ew.disconnectAt)
		target.Abort()
	}
	if state == cancelled {
		target.Abort()
	}
	if !ew.sendTokens(generated) {
		return false
	}
	if state != finished {
		return true
	}
	ew.sendEnd()
	return false
}

// sendTokens writes the tokens before the offset until. It returns false if
// the write fails.
func (ew *eventWriter) sendTokens(until int) bool {
	if ew.offset >= until {
		return true
	}
	ew.buf = ew.buf[:0]
	for ; ew.offset < until; ew.offset++ {
		ew.buf = appendTokenEvent(ew.buf, ew.stream.id, ew.offset, ew.idJSON, ew.stream.completion.token(ew.offset))
	}
	return ew.write()
}

func (ew *eventWriter) sendEnd() {
	length, sum := ew.stream.completion.digest()
	end := endMessage{ID: ew.id, Usage: ew.engine.reportedUsage(ew.stream.usage()), Length: length, SHA256: sum}
	ew.buf = appendEndEvent(ew.buf[:0], ew.stream.id, ew.stream.completion.totalTokens, end)
	ew.write()
}

func (ew *eventWriter) write() bool {
	_, err := ew.w.Write(ew.buf)
	if err != nil {
		return false
	}
	return ew.flush() == nil
}
