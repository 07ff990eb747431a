package target

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// eventTemplate is the JSON that the token events of a stream have in common:
// everything but the content. Engines send the same fields with every token, so
// an event that differs from an earlier one only in its content isn't decoded.
type eventTemplate struct {
	// prefix ends with the opening quote of the content, and suffix begins with
	// the closing one.
	prefix, suffix []byte
	// attempts counts the events that learn was called with.
	attempts int
}

const (
	// contentField precedes the content in an event's JSON.
	contentField = `"content":"`
	// maxTemplateAttempts bounds the work on streams whose events match no
	// template.
	maxTemplateAttempts = 4
	// contentProbe replaces the content to verify a template.
	contentProbe = "cuminrock-probe"
)

// learn sets the template from a decoded event. The template stays empty unless
// the event has exactly one content field and its text has no escapes.
func (t *eventTemplate) learn(data []byte, c *chunk) {
	if t.attempts == maxTemplateAttempts {
		return
	}
	t.attempts++
	t.prefix, t.suffix = nil, nil
	if len(c.Choices) != 1 || bytes.Count(data, []byte(contentField)) != 1 {
		return
	}
	start := bytes.Index(data, []byte(contentField)) + len(contentField)
	length := bytes.IndexByte(data[start:], '"')
	if length < 0 || string(data[start:start+length]) != c.Choices[0].Delta.Content {
		return
	}
	prefix, suffix := data[:start], data[start+length:]
	if verifyTemplate(prefix, suffix, c.ID) {
		t.prefix, t.suffix = bytes.Clone(prefix), bytes.Clone(suffix)
	}
}

// verifyTemplate reports whether a string between prefix and suffix is decoded as
// the content of an event with the request ID.
func verifyTemplate(prefix, suffix []byte, id string) bool {
	var c chunk
	err := json.Unmarshal(bytes.Join([][]byte{prefix, suffix}, []byte(contentProbe)), &c)
	return err == nil && c.ID == id && len(c.Choices) == 1 && c.Choices[0].Delta.Content == contentProbe
}

// extractContent returns the content of an event that matches the template, and
// false if the event has to be decoded.
func (t *eventTemplate) extractContent(data []byte) ([]byte, bool) {
	if len(t.prefix) == 0 || len(data) < len(t.prefix)+len(t.suffix) {
		return nil, false
	}
	if !bytes.HasPrefix(data, t.prefix) || !bytes.HasSuffix(data, t.suffix) {
		return nil, false
	}
	content := data[len(t.prefix) : len(data)-len(t.suffix)]
	return content, isUnescaped(content)
}

// isUnescaped reports whether the text of a JSON string is its value, without
// escapes.
func isUnescaped(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}
