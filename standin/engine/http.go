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
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 16 << 20
	// defaultMaxTokens is the answer's length where the request names none.
	defaultMaxTokens = 64
	// contentTypeEvents is the type of a streamed answer.
	contentTypeEvents = "text/event-stream"
)

// ControlHandler returns the control door.
func (e *Engine) ControlHandler() http.Handler {
	return control.NewHandler[target.Faults, Counts](e)
}

func (e *Engine) handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/chat/completions", e.postChat)
	r.GET("/v1/streams/:stream", e.getStream)
	r.DELETE("/v1/streams/:stream", e.deleteStream)
	r.HandlerFunc(http.MethodGet, "/v1/load", e.door.ServeLoad)
	return r
}

// postChat starts a run and answers it whole or as a stream.
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
	fate := e.door.NextFault()
	switch fate {
	case target.FaultRefuse:
		e.refuse(w, http.StatusServiceUnavailable, "refused")
		return
	case target.FaultFail:
		http.Error(w, "engine failed", http.StatusInternalServerError)
		return
	}
	id := requestID(req)
	prompt := chat.prompt()
	total := answerTokens(&chat, req.Header.Get(target.HeaderMaxTokens))
	s := e.admit(id, newAnswer(e.opts.Seed, body, total), prompt)
	if s == nil {
		e.refuse(w, http.StatusTooManyRequests, "queue full")
		return
	}
	if chat.Stream {
		e.writeStream(w, req, s, 0, fate)
		return
	}
	e.writeWhole(w, req, s, fate)
}

func (e *Engine) refuse(w http.ResponseWriter, status int, reason string) {
	e.counts.refused.Add(1)
	e.door.Refuse(w, status, reason)
}

func requestID(req *http.Request) string {
	id := req.Header.Get(target.HeaderRequestID)
	if id == "" {
		return uuid.NewString()
	}
	return id
}

// answerTokens returns the answer's length: what the body asks for, within
// the router's bound.
func answerTokens(chat *chatRequest, bound string) int {
	total := chat.MaxTokens
	if total <= 0 {
		total = defaultMaxTokens
	}
	limit, err := strconv.Atoi(bound)
	if err == nil {
		total = max(0, min(total, limit))
	}
	return total
}

// getStream resumes a stream at an offset.
func (e *Engine) getStream(w http.ResponseWriter, req *http.Request, p httprouter.Params) {
	s, ok := e.find(p.ByName("stream"))
	if !ok {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	from, err := strconv.Atoi(req.URL.Query().Get("from"))
	if err != nil || from < 0 || from > s.answer.total {
		http.Error(w, "bad offset", http.StatusBadRequest)
		return
	}
	e.counts.resumed.Add(1)
	e.writeStream(w, req, s, from, target.NoFault)
}

// deleteStream cancels a stream.
func (e *Engine) deleteStream(w http.ResponseWriter, req *http.Request, p httprouter.Params) {
	s, ok := e.find(p.ByName("stream"))
	if !ok {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	usage := e.cancel(s)
	if !e.door.DelayResponse(req.Context(), target.NoFault) {
		return
	}
	w.Header().Set(target.HeaderRequestID, s.requestID)
	control.WriteJSON(w, cancelMessage{Usage: usage})
}

// writeWhole waits for the end of a run and answers it in one message.
func (e *Engine) writeWhole(w http.ResponseWriter, req *http.Request, s *stream, fate target.RequestFault) {
	state := e.await(req.Context(), s)
	if state != finished || !e.door.DelayResponse(req.Context(), fate) {
		return
	}
	if fate == target.FaultDisconnect {
		target.Abort()
	}
	id := e.door.SetRequestID(w, s.requestID, fate)
	w.Header().Set(target.HeaderStream, s.id)
	message := chatMessage{Role: "assistant", Content: string(s.answer.text())}
	control.WriteJSON(w, wholeMessage{
		ID:      id,
		Object:  "chat.completion",
		Choices: []wholeChoice{{Message: message, FinishReason: "stop"}},
		Usage:   e.told(s.usage()),
	})
}

// await waits for the end of a stream, of its caller or of the engine.
func (e *Engine) await(ctx context.Context, s *stream) state {
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
		case <-e.door.Done():
			return state
		}
	}
}
