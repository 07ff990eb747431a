// Package streamcheck reads a streamed response and checks that it is complete
// and belongs to its request.
package streamcheck

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// chunk is the JSON data of a token event or of the end event.
type chunk struct {
	ID      string        `json:"id"`
	Choices []chunkChoice `json:"choices"`
	Usage   *chunkUsage   `json:"usage"`
	Length  int           `json:"length"`
	SHA256  string        `json:"sha256"`
}

type chunkChoice struct {
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
}

type chunkUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// Verdict is the outcome of one request.
type Verdict int

// The verdicts, named like the JSON keys of a load report.
const (
	// Whole means that the response was complete and passed all checks.
	Whole Verdict = iota
	// Refused means that the request got an error response.
	Refused
	// Broken means that the response ended before its end event or has an
	// error event.
	Broken
	// Crossed means that the response carries another request's id.
	Crossed
	// Altered means that the response doesn't match the length, digest or
	// token count in its end event, skips an offset or has a malformed event.
	Altered
	// Unreachable means that no response arrived from the server.
	Unreachable
)

// doneData is the data of the last event of a response.
const doneData = "[DONE]"

// Checker reads one streamed response and checks it.
type Checker struct {
	// OnToken, if set, is called with the content of each token.
	OnToken func(content string)
	// Tokens is the number of tokens read so far.
	Tokens int
	// LastID is the id of the last token event, from which a stream resumes.
	LastID string
	// FirstTokenAt is the time at which the first token arrived.
	FirstTokenAt time.Time
	// TokenGaps holds the times between consecutive tokens.
	TokenGaps []time.Duration

	id           string
	digest       hash.Hash
	contentBytes int
	ended        bool
	lastTokenAt  time.Time
}

// New returns a Checker for the response to the request with this id.
func New(id string) *Checker {
	return &Checker{id: id, digest: sha256.New()}
}

// Read reads events until the response ends and returns the verdict. The error
// says why a response is Broken; it is nil if an error event ended the response.
func (c *Checker) Read(body io.Reader) (Verdict, error) {
	events := newEventReader(body)
	for !c.ended {
		e, err := events.next()
		if err != nil {
			return Broken, trace.Wrap(err)
		}
		if string(e.data) == doneData {
			return Broken, trace.BadParameter("the response has no end event")
		}
		verdict := c.checkEvent(e, time.Now())
		if verdict != Whole {
			return verdict, nil
		}
	}
	_, err := io.Copy(io.Discard, body)
	if err != nil {
		return Broken, trace.Wrap(err)
	}
	return Whole, nil
}

// checkEvent checks one event and records its token.
func (c *Checker) checkEvent(e event, now time.Time) Verdict {
	var data chunk
	err := json.Unmarshal(e.data, &data)
	if err != nil {
		return Altered
	}
	if string(e.name) == errorEvent {
		return Broken
	}
	if !MatchesRequestID(data.ID, c.id) {
		return Crossed
	}
	if !c.isNextOffset(e.id) {
		return Altered
	}
	if string(e.name) == endEvent {
		return c.checkEnd(data)
	}
	if len(data.Choices) != 1 {
		return Altered
	}
	c.addToken(data.Choices[0].Delta.Content, now)
	c.LastID = string(e.id)
	return Whole
}

// MatchesRequestID reports whether the id in a response is that of the request.
// The caller API prefixes the request's id with the workspace and a colon.
func MatchesRequestID(responseID, requestID string) bool {
	return responseID == requestID || strings.HasSuffix(responseID, ":"+requestID)
}

// Names of the events that carry no token.
const (
	endEvent   = "end"
	errorEvent = "error"
)

// isNextOffset reports whether an event's id ends in the next expected offset.
func (c *Checker) isNextOffset(id []byte) bool {
	slash := bytes.LastIndexByte(id, '/')
	offset, err := strconv.Atoi(string(id[slash+1:]))
	return err == nil && offset == c.Tokens
}

func (c *Checker) addToken(content string, now time.Time) {
	if c.Tokens == 0 {
		c.FirstTokenAt = now
	} else {
		c.TokenGaps = append(c.TokenGaps, now.Sub(c.lastTokenAt))
	}
	c.lastTokenAt = now
	c.Tokens++
	c.contentBytes += len(content)
	io.WriteString(c.digest, content)
	if c.OnToken != nil {
		c.OnToken(content)
	}
}

func (c *Checker) checkEnd(data chunk) Verdict {
	c.ended = true
	sum := hex.EncodeToString(c.digest.Sum(nil))
	if data.Length != c.contentBytes || data.SHA256 != sum {
		return Altered
	}
	if data.Usage == nil || data.Usage.CompletionTokens != c.Tokens {
		return Altered
	}
	return Whole
}
