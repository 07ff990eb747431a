package processtest

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cuminrock.example/router/callerapi"
)

// StreamedResponse is the part of a streamed response that the caller has
// received. It is kept when the stream is resumed at another router.
type StreamedResponse struct {
	// Text is the content received so far.
	Text strings.Builder
	// Tokens is the number of token events.
	Tokens int
	// LastEventID is the id of the last event.
	LastEventID string
	// Complete is true once the end event was received and its length and digest
	// match the text.
	Complete bool
	// Usage is the usage in tokens that the end event reported.
	Usage int64
}

// StreamError is a refusal or a failure that the router reported.
type StreamError struct{ Info callerapi.ErrorInfo }

// Error implements error.
func (e *StreamError) Error() string { return e.Info.Kind + ": " + e.Info.Message }

// ErrStreamInterrupted means that the connection was closed before the response
// was complete.
var ErrStreamInterrupted = errors.New("stream interrupted before the end event")

// ReadStream makes or resumes a streamed call and adds the events to the
// response. It returns nil once the response is complete. It also returns nil
// when stop returns true, and closes the connection, as a disconnecting caller
// does.
func (r *Router) ReadStream(ctx context.Context, q Request, stream *StreamedResponse, stop func(stream *StreamedResponse) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q.LastEventID = stream.LastEventID
	httpResp, err := r.sendRequest(ctx, q)
	if err != nil {
		return err
	}
	defer httpResp.Body.Close()
	if httpResp.StatusCode != http.StatusOK {
		return responseError(httpResp)
	}
	events := eventReader{in: bufio.NewReader(httpResp.Body)}
	for !stream.Complete {
		ev, err := events.next()
		if err != nil {
			return fmt.Errorf("%w: %w", ErrStreamInterrupted, err)
		}
		if err := stream.addEvent(ev); err != nil {
			return err
		}
		if stop != nil && stop(stream) {
			return nil
		}
	}
	return nil
}

// MustReadStream reads a response to its end and fails the test on an error.
// While the router reports that the request is still being answered on another
// connection, it retries, as callers are asked to.
func (r *Router) MustReadStream(q Request, stream *StreamedResponse) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	err := r.ReadStream(ctx, q, stream, nil)
	for streamErr := (*StreamError)(nil); errors.As(err, &streamErr) && streamErr.Info.Kind == "in_progress"; {
		time.Sleep(pollInterval)
		err = r.ReadStream(ctx, q, stream, nil)
	}
	if err != nil {
		r.t.Fatalf("%s: read stream %s after %d tokens: %v", r.Name, q.IdempotencyKey, stream.Tokens, err)
	}
}

func responseError(httpResp *http.Response) error {
	response, err := readResponse(httpResp)
	if err != nil {
		return err
	}
	return &StreamError{Info: response.Error}
}

// eventData is the JSON data of token events and of the end event.
type eventData struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
	Length int    `json:"length"`
	SHA256 string `json:"sha256"`
}

func (s *StreamedResponse) addEvent(ev event) error {
	if ev.name == "error" {
		var errorBody callerapi.ErrorBody
		if err := json.Unmarshal([]byte(ev.data), &errorBody); err != nil {
			return err
		}
		return &StreamError{Info: errorBody.Error}
	}
	var data eventData
	if err := json.Unmarshal([]byte(ev.data), &data); err != nil {
		return fmt.Errorf("decode event data %q: %w", ev.data, err)
	}
	s.LastEventID = ev.id
	if ev.name == "end" {
		return s.finish(data)
	}
	if len(data.Choices) != 1 {
		return fmt.Errorf("event data %q does not have exactly one choice", ev.data)
	}
	s.Text.WriteString(data.Choices[0].Delta.Content)
	s.Tokens++
	return nil
}

func (s *StreamedResponse) finish(data eventData) error {
	sum := sha256.Sum256([]byte(s.Text.String()))
	if s.Text.Len() != data.Length || hex.EncodeToString(sum[:]) != data.SHA256 {
		return fmt.Errorf("the length or SHA-256 digest of the received text (%d bytes) does not match the end event (%d bytes)", s.Text.Len(), data.Length)
	}
	s.Usage = data.Usage.PromptTokens + data.Usage.CompletionTokens
	s.Complete = true
	return nil
}

// event is one server-sent event.
type event struct{ id, name, data string }

type eventReader struct{ in *bufio.Reader }

func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.in.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" && ev.data != "" {
			return ev, nil
		}
		field, value, _ := strings.Cut(line, ": ")
		switch field {
		case "id":
			ev.id = value
		case "event":
			ev.name = value
		case "data":
			ev.data = value
		}
	}
}
