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

// StreamedResponse is a streamed answer as far as the caller has it. It survives
// resumes at other routers.
type StreamedResponse struct {
	// Text is the contents so far.
	Text strings.Builder
	// Tokens counts the token events.
	Tokens int
	// LastEventID is the id of the last event.
	LastEventID string
	// Complete is true once the end event came and fits the text.
	Complete bool
	// Usage is what the end event told.
	Usage int64
}

// StreamError is a refusal or a failure told by the router.
type StreamError struct{ Info callerapi.ErrorInfo }

// Error implements error.
func (e *StreamError) Error() string { return e.Info.Kind + ": " + e.Info.Message }

// ErrStreamInterrupted means that the connection ended before the answer was whole.
var ErrStreamInterrupted = errors.New("the stream broke off")

// ReadStream makes or resumes a streamed call and adds what comes to the answer. It
// returns nil once the answer is whole, or when enough says so, which closes
// the connection as a caller does that vanishes.
func (r *Router) ReadStream(ctx context.Context, q Request, a *StreamedResponse, enough func(a *StreamedResponse) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q.LastEventID = a.LastEventID
	resp, err := r.request(ctx, q)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	events := eventReader{in: bufio.NewReader(resp.Body)}
	for !a.Complete {
		ev, err := events.next()
		if err != nil {
			return fmt.Errorf("%w: %w", ErrStreamInterrupted, err)
		}
		if err := a.add(ev); err != nil {
			return err
		}
		if enough != nil && enough(a) {
			return nil
		}
	}
	return nil
}

// MustReadStream reads an answer to its end and fails the test where it can't. While
// it is told that the request is still being answered on another connection,
// it comes back, as callers are asked to.
func (r *Router) MustReadStream(q Request, a *StreamedResponse) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	err := r.ReadStream(ctx, q, a, nil)
	for told := (*StreamError)(nil); errors.As(err, &told) && told.Info.Kind == "in_progress"; {
		time.Sleep(pollInterval)
		err = r.ReadStream(ctx, q, a, nil)
	}
	if err != nil {
		r.t.Fatalf("%s: stream %s after %d tokens: %v", r.Name, q.IdempotencyKey, a.Tokens, err)
	}
}

func refusal(resp *http.Response) error {
	reply, err := readReply(resp)
	if err != nil {
		return err
	}
	return &StreamError{Info: reply.Error}
}

// chunk is the data of token events and of the end event.
type chunk struct {
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

func (a *StreamedResponse) add(ev event) error {
	if ev.name == "error" {
		var failure callerapi.ErrorBody
		if err := json.Unmarshal([]byte(ev.data), &failure); err != nil {
			return err
		}
		return &StreamError{Info: failure.Error}
	}
	var c chunk
	if err := json.Unmarshal([]byte(ev.data), &c); err != nil {
		return fmt.Errorf("event %q: %w", ev.data, err)
	}
	a.LastEventID = ev.id
	if ev.name == "end" {
		return a.end(c)
	}
	if len(c.Choices) != 1 {
		return fmt.Errorf("event %q has no content", ev.data)
	}
	a.Text.WriteString(c.Choices[0].Delta.Content)
	a.Tokens++
	return nil
}

func (a *StreamedResponse) end(c chunk) error {
	sum := sha256.Sum256([]byte(a.Text.String()))
	if a.Text.Len() != c.Length || hex.EncodeToString(sum[:]) != c.SHA256 {
		return fmt.Errorf("the text of %d bytes isn't the one of %d bytes that the end event names", a.Text.Len(), c.Length)
	}
	a.Usage = c.Usage.PromptTokens + c.Usage.CompletionTokens
	a.Complete = true
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
