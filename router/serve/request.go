package serve

import (
	"crypto/sha256"
	"strconv"
	"strings"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

const (
	// promptOverheadTokens is added to a prompt's bytes for what an engine
	// wraps around it. A token is never shorter than a byte.
	promptOverheadTokens = 64
	// DefaultMaxTokens bounds the generated tokens of calls that name no
	// bound.
	DefaultMaxTokens = 1024
	// maxTokensLimit is the largest bound a caller may name.
	maxTokensLimit = 1 << 20
)

// Request is one caller's request after the door has read it whole.
type Request struct {
	// ID is the request's id in the whole deployment: workspace and key.
	ID string
	// Key is the caller's Idempotency-Key, or one that the door made.
	Key string
	// KeyGiven is true when the caller named the key.
	KeyGiven bool
	// Workspace, Service and Call come from the configuration.
	Workspace *pb.Workspace
	Service   *pb.Service
	Call      *pb.Call
	// Repeat is true when the caller says that it sent this request before.
	Repeat bool
	// Budget is the budget to draw on.
	Budget string
	// Body is the JSON body.
	Body []byte
	// MaxTokens bounds the generated tokens of a model call.
	MaxTokens int64
	// Streaming is true when the caller wants events.
	Streaming bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// ResumeAfter is where a broken stream goes on; nil for a new one.
	ResumeAfter *Position
}

// MaxTotalTokens returns the most tokens that the request can cost.
func (r *Request) MaxTotalTokens() int64 {
	if r.Call.Kind != pb.CallKind_CALL_KIND_MODEL {
		return r.Call.CostTokens
	}
	return int64(len(r.Body)) + promptOverheadTokens + r.MaxTokens
}

// CheckMaxTokens returns the bound that applies for a caller's max_tokens; 0
// stands for none named.
func CheckMaxTokens(asked int64) (int64, error) {
	if asked == 0 {
		return DefaultMaxTokens, nil
	}
	if asked < 0 || asked > maxTokensLimit {
		return 0, errkind.New(errkind.BadRequest, "max_tokens must be from 1 to %d", maxTokensLimit)
	}
	return asked, nil
}

// Position is a place in a stream: the id of one event.
type Position struct {
	// Target and Stream name the engine and its stream.
	Target, Stream string
	// Offset counts the stream's events from 0.
	Offset int64
}

// String returns the event id, target/stream/offset.
func (p Position) String() string {
	return p.Target + "/" + p.Stream + "/" + strconv.FormatInt(p.Offset, 10)
}

// ParsePosition reads an event id.
func ParsePosition(id string) (*Position, error) {
	parts := strings.Split(id, "/")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return nil, errkind.New(errkind.BadRequest, "Last-Event-ID must be target/stream/offset")
	}
	offset, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || offset < 0 {
		return nil, errkind.New(errkind.BadRequest, "Last-Event-ID has a bad offset")
	}
	return &Position{Target: parts[0], Stream: parts[1], Offset: offset}, nil
}

// requestDigest names what a request asks for, whatever its key.
func requestDigest(r *Request) []byte {
	h := sha256.New()
	h.Write([]byte(r.Service.Name))
	h.Write([]byte{0})
	h.Write([]byte(r.Call.Path))
	h.Write([]byte{0})
	h.Write(r.Body)
	return h.Sum(nil)
}
