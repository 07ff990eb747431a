package target

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// template is what the token events of one stream have in common: all but the
// content. An event that differs from an earlier one only there needs no
// decoding. Engines send the same fields with every token of a stream.
type template struct {
	// prefix ends with the quote that opens the content, suffix begins with
	// the one that closes it.
	prefix, suffix []byte
	// tries counts the events that it was learnt from.
	tries int
}

const (
	// contentField starts the content in an event's JSON.
	contentField = `"content":"`
	// maxTries bounds the work on streams whose events have nothing in common.
	maxTries = 4
	// probe takes the content's place to prove where it stands.
	probe = "cuminrock-probe"
)

// learn makes the template from an event that was decoded. It stays empty
// where the event has another shape.
func (t *template) learn(data []byte, c *chunk) {
	if t.tries == maxTries {
		return
	}
	t.tries++
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
	if proves(prefix, suffix, c.ID) {
		t.prefix, t.suffix = bytes.Clone(prefix), bytes.Clone(suffix)
	}
}

// proves tells whether what stands between prefix and suffix is the content.
func proves(prefix, suffix []byte, id string) bool {
	var c chunk
	err := json.Unmarshal(bytes.Join([][]byte{prefix, suffix}, []byte(probe)), &c)
	return err == nil && c.ID == id && len(c.Choices) == 1 && c.Choices[0].Delta.Content == probe
}

// content returns an event's content, and false where the event has to be
// decoded.
func (t *template) content(data []byte) ([]byte, bool) {
	if len(t.prefix) == 0 || len(data) < len(t.prefix)+len(t.suffix) {
		return nil, false
	}
	if !bytes.HasPrefix(data, t.prefix) || !bytes.HasSuffix(data, t.suffix) {
		return nil, false
	}
	content := data[len(t.prefix) : len(data)-len(t.suffix)]
	return content, plain(content)
}

// plain tells whether a JSON string's text stands for itself.
func plain(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}
