package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"cuminrock.example/standin/control"
	"cuminrock.example/standin/target"
)

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 16 << 20
	// defaultMaxTokens is the length of a completion if the request sets none.
	defaultMaxTokens = 64
	// contentTypeEvents is the content type of a streamed response.
	contentTypeEvents = "text/event-stream"
)

// ControlHandler returns the handler of the control API.
func (e *Engine) ControlHandler() http.Handler {
	return control.NewHandler[target.Faults, Counts](e)
}

func (e *Engine) handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/chat/completions", e.postChat)
	r.GET("/v1/streams/:stream", e.getStream)
	r.DELETE("/v1/streams/:stream", e.deleteStream)
	r.HandlerFunc(http.MethodGet, "/v1/load", e.server.ServeLoad)
	return r
}

// postChat starts a run and responds with a stream or a single message.
func (e *Engine) postChat(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	var chat chatRequest
	if err == nil {
		err = json.Unmarshal(body, &chat)
	}
	if err != nil {
		e.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	fault := e.server.NextFault()
	switch fault {
	case target.FaultRefuse:
		e.refuse(w, http.StatusServiceUnavailable, "refused")
		return
	case target.FaultFail:
		http.Error(w, "engine failed", http.StatusInternalServerError)
		return
	}
	id := requestID(req)
	prompt := chat.prompt()
	total := completionTokens(&chat, req.Header.Get(target.HeaderMaxTokens))
	s := e.enqueue(id, newCompletion(e.opts.Seed, body, total), prompt)
	if s == nil {
		e.refuse(w, http.StatusTooManyRequests, "queue full")
		return
	}
	if chat.Stream {
		e.writeStream(w, req, s, 0, fault)
		return
	}
	e.writeCompletion(w, req, s, fault)
}

func (e *Engine) refuse(w http.ResponseWriter, status int, reason string) {
	e.counts.refused.Add(1)
	e.server.Refuse(w, status, reason)
}

func requestID(req *http.Request) string {
	id := req.Header.Get(target.HeaderRequestID)
	if id == "" {
		return uuid.NewString()
	}
	return id
}

// completionTokens returns the length of the completion: what the request asks
// for, capped by the limit that the router set in HeaderMaxTokens, if any.
func completionTokens(chat *chatRequest, routerLimit string) int {
	total := chat.MaxTokens
	if total <= 0 {
		total = defaultMaxTokens
	}
	limit, err := strconv.Atoi(routerLimit)
	if err == nil {
		total = max(0, min(total, limit))
	}
	return total
}

// getStream resumes a stream at an offset.
func (e *Engine) getStream(w http.ResponseWriter, req *http.Request, p httprouter.Params) {
	s, ok := e.findStream(p.ByName("stream"))
	if !ok {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	from, err := strconv.Atoi(req.URL.Query().Get("from"))
	if err != nil || from < 0 || from > s.completion.totalTokens {
		http.Error(w, "from is not an offset within the stream", http.StatusBadRequest)
		return
	}
	e.counts.resumed.Add(1)
	e.writeStream(w, req, s, from, target.NoFault)
}

// deleteStream cancels a stream.
func (e *Engine) deleteStream(w http.ResponseWriter, req *http.Request, p httprouter.Params) {
	s, ok := e.findStream(p.ByName("stream"))
	if !ok {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	usage := e.cancel(s)
	if !e.server.DelayResponse(req.Context(), target.NoFault) {
		return
	}
	w.Header().Set(target.HeaderRequestID, s.requestID)
	control.WriteJSON(w, cancelMessage{Usage: usage})
}

// writeCompletion waits for the end of a run and responds with one message.
func (e *Engine) writeCompletion(w http.ResponseWriter, req *http.Request, s *stream, fault target.RequestFault) {
	state := e.awaitEnd(req.Context(), s)
	if state != finished || !e.server.DelayResponse(req.Context(), fault) {
		return
	}
	if fault == target.FaultDisconnect {
		target.Abort()
	}
	id := e.server.SetRequestID(w, s.requestID, fault)
	w.Header().Set(target.HeaderStream, s.id)
	message := chatMessage{Role: "assistant", Content: string(s.completion.text())}
	control.WriteJSON(w, completionMessage{
		ID:      id,
		Object:  "chat.completion",
		Choices: []completionChoice{{Message: message, FinishReason: "stop"}},
		Usage:   e.reportedUsage(s.usage()),
	})
}

// awaitEnd waits until the stream ends, its caller disconnects or the engine is
// closed, and returns the state of the stream.
func (e *Engine) awaitEnd(ctx context.Context, s *stream) state {
	wake := s.subscribe()
	defer s.unsubscribe(wake)
	for {
		_, state := s.progress()
		if state == finished || state == cancelled {
			return state
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return state
		case <-e.server.Done():
			return state
		}
	}
}
