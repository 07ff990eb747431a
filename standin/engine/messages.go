package engine

import (
	"encoding/json"
	"strconv"
)

// chatRequest is the part of a request body that the engine reads.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// promptBytesPerToken is the number of prompt bytes that count as one token.
const promptBytesPerToken = 4

// prompt returns the concatenated text of all messages.
func (r *chatRequest) prompt() []byte {
	var text []byte
	for _, m := range r.Messages {
		text = append(text, m.Content...)
	}
	return text
}

// promptTokens returns the number of tokens of a prompt, at least one.
func promptTokens(prompt []byte) int {
	return 1 + len(prompt)/promptBytesPerToken
}

// Usage is the number of tokens that a request consumed.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// endMessage is the data of the end event.
type endMessage struct {
	ID     string `json:"id"`
	Usage  Usage  `json:"usage"`
	Length int    `json:"length"`
	SHA256 string `json:"sha256"`
}

// completionMessage is the response to a request that does not stream.
type completionMessage struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Choices []completionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

type completionChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// cancelMessage is the response to a cancel request.
type cancelMessage struct {
	Usage Usage `json:"usage"`
}

// appendTokenEvent appends the event of one token. The content needs no
// escaping, see vocabulary.
func appendTokenEvent(b []byte, stream string, offset int, idJSON []byte, content string) []byte {
	b = appendEventID(b, stream, offset)
	b = append(b, `data: {"id":`...)
	b = append(b, idJSON...)
	b = append(b, `,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"`...)
	b = append(b, content...)
	return append(b, "\"}}]}\n\n"...)
}

// appendEndEvent appends the end event and the [DONE] line that clients wait
// for.
func appendEndEvent(b []byte, stream string, offset int, end endMessage) []byte {
	data, err := json.Marshal(end)
	if err != nil {
		panic(err) // unreachable: the message holds only strings and numbers
	}
	b = appendEventID(b, stream, offset)
	b = append(b, "event: end\ndata: "...)
	b = append(b, data...)
	return append(b, "\n\ndata: [DONE]\n\n"...)
}

func appendEventID(b []byte, stream string, offset int) []byte {
	b = append(b, "id: "...)
	b = append(b, stream...)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(offset), 10)
	return append(b, '\n')
}
