// Package streamcheck reads a streamed answer and checks that it is whole and
// belongs to its request.
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

// chunk is the data of a token event and of the end event.
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

// Verdict is what became of one request.
type Verdict int

// The verdicts.
const (
	// Whole answers came complete and checked.
	Whole Verdict = iota
	// Refused requests got an error answer.
	Refused
	// Broken answers ended before their end event.
	Broken
	// Crossed answers carry another request's id.
	Crossed
	// Altered answers differ from their end event or lack an offset.
	Altered
	// Unreachable requests found no door.
	Unreachable
)

// doneData is the last line of an answer.
const doneData = "[DONE]"

// Checker reads one streamed answer and checks it.
type Checker struct {
	// OnToken, where set, is given the content of each token.
	OnToken func(content string)
	// Tokens is the number of tokens so far.
	Tokens int
	// LastID is the id of the last token event, for a resume.
	LastID string
	// FirstTokenAt is when the first token came.
	FirstTokenAt time.Time
	// TokenGaps are the times between two tokens.
	TokenGaps []time.Duration

	id     string
	digest hash.Hash
	length int
	ended  bool
	last   time.Time
}

// New returns the check of the answer to a request id.
func New(id string) *Checker {
	return &Checker{id: id, digest: sha256.New()}
}

// Read takes events until the answer ends and returns the verdict. The error
// tells more of a broken answer.
func (a *Checker) Read(body io.Reader) (Verdict, error) {
	events := newEventReader(body)
	for !a.ended {
		e, err := events.next()
		if err != nil {
			return Broken, trace.Wrap(err)
		}
		if string(e.data) == doneData {
			return Broken, trace.BadParameter("the answer has no end event")
		}
		verdict := a.take(e, time.Now())
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

// take checks one event.
func (a *Checker) take(e event, now time.Time) Verdict {
	var c chunk
	err := json.Unmarshal(e.data, &c)
	if err != nil {
		return Altered
	}
	if string(e.name) == errorEvent {
		return Broken
	}
	if !MatchesRequestID(c.ID, a.id) {
		return Crossed
	}
	if !a.nextOffset(e.id) {
		return Altered
	}
	if string(e.name) == endEvent {
		return a.takeEnd(c)
	}
	if len(c.Choices) != 1 {
		return Altered
	}
	a.takeToken(c.Choices[0].Delta.Content, now)
	a.LastID = string(e.id)
	return Whole
}

// MatchesRequestID tells whether an answer carries the id of a request: the id
// itself, or at a caller door the workspace, a colon and the id.
func MatchesRequestID(carried, id string) bool {
	return carried == id || strings.HasSuffix(carried, ":"+id)
}

// Names of events that are not tokens.
const (
	endEvent   = "end"
	errorEvent = "error"
)

// nextOffset checks that an event's id ends in the offset that is due.
func (a *Checker) nextOffset(id []byte) bool {
	slash := bytes.LastIndexByte(id, '/')
	offset, err := strconv.Atoi(string(id[slash+1:]))
	return err == nil && offset == a.Tokens
}

func (a *Checker) takeToken(content string, now time.Time) {
	if a.Tokens == 0 {
		a.FirstTokenAt = now
	} else {
		a.TokenGaps = append(a.TokenGaps, now.Sub(a.last))
	}
	a.last = now
	a.Tokens++
	a.length += len(content)
	io.WriteString(a.digest, content)
	if a.OnToken != nil {
		a.OnToken(content)
	}
}

func (a *Checker) takeEnd(c chunk) Verdict {
	a.ended = true
	sum := hex.EncodeToString(a.digest.Sum(nil))
	if c.Length != a.length || c.SHA256 != sum {
		return Altered
	}
	if c.Usage == nil || c.Usage.CompletionTokens != a.Tokens {
		return Altered
	}
	return Whole
}
