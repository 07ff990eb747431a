package loadgen

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

// answerCheck reads one streamed answer and checks it.
type answerCheck struct {
	id     string
	digest hash.Hash
	length int
	tokens int
	// lastID is the id of the last token event, for a resume.
	lastID string
	ended  bool
	first  time.Time
	last   time.Time
	gaps   []time.Duration
}

func newAnswerCheck(id string) *answerCheck {
	return &answerCheck{id: id, digest: sha256.New()}
}

// read takes events until the answer ends and returns the verdict. The error
// tells more of a broken answer.
func (a *answerCheck) read(body io.Reader) (Verdict, error) {
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
func (a *answerCheck) take(e event, now time.Time) Verdict {
	var c chunk
	err := json.Unmarshal(e.data, &c)
	if err != nil {
		return Altered
	}
	if string(e.name) == errorEvent {
		return Broken
	}
	if !sameRequest(c.ID, a.id) {
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
	a.lastID = string(e.id)
	return Whole
}

// sameRequest tells whether an answer carries the id of a request: the id
// itself, or at a caller door the workspace, a colon and the id.
func sameRequest(carried, id string) bool {
	return carried == id || strings.HasSuffix(carried, ":"+id)
}

// Names of events that are not tokens.
const (
	endEvent   = "end"
	errorEvent = "error"
)

// nextOffset checks that an event's id ends in the offset that is due.
func (a *answerCheck) nextOffset(id []byte) bool {
	slash := bytes.LastIndexByte(id, '/')
	offset, err := strconv.Atoi(string(id[slash+1:]))
	return err == nil && offset == a.tokens
}

func (a *answerCheck) takeToken(content string, now time.Time) {
	if a.tokens == 0 {
		a.first = now
	} else {
		a.gaps = append(a.gaps, now.Sub(a.last))
	}
	a.last = now
	a.tokens++
	a.length += len(content)
	io.WriteString(a.digest, content)
}

func (a *answerCheck) takeEnd(c chunk) Verdict {
	a.ended = true
	sum := hex.EncodeToString(a.digest.Sum(nil))
	if c.Length != a.length || c.SHA256 != sum {
		return Altered
	}
	if c.Usage == nil || c.Usage.CompletionTokens != a.tokens {
		return Altered
	}
	return Whole
}
