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
	// promptOverheadTokens is added to the bytes of a body to bound its prompt
	// tokens: an engine adds tokens of its own around the prompt, and a token
	// is never shorter than a byte.
	promptOverheadTokens = 64
	// DefaultMaxTokens bounds the generated tokens of a call without
	// max_tokens.
	DefaultMaxTokens = 1024
	// maxTokensLimit is the largest max_tokens that a caller may set.
	maxTokensLimit = 1 << 20
)

// Request is a caller's request, read completely and validated.
type Request struct {
	// ID identifies the request in the entire deployment: workspace and key.
	ID string
	// Key is the caller's Idempotency-Key, or a generated one.
	Key string
	// KeyGiven is true if the caller sent the key.
	KeyGiven bool
	// Workspace, Service and Call come from the configuration.
	Workspace *pb.Workspace
	Service   *pb.Service
	Call      *pb.Call
	// Repeat is true if the caller says that it has sent this request before.
	Repeat bool
	// Budget is the name of the budget that pays for the request.
	Budget string
	// Body is the JSON body.
	Body []byte
	// MaxTokens bounds the generated tokens of a model call.
	MaxTokens int64
	// Streaming is true if the caller asked for a stream of events.
	Streaming bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// ResumeAfter is the position of the last event that the caller received of
	// an interrupted stream; nil for a new one.
	ResumeAfter *Position
}

// MaxTotalTokens returns the most tokens that the request can cost, prompt and
// output.
func (r *Request) MaxTotalTokens() int64 {
	if r.Call.Kind != pb.CallKind_CALL_KIND_MODEL {
		return r.Call.CostTokens
	}
	return int64(len(r.Body)) + promptOverheadTokens + r.MaxTokens
}

// CheckMaxTokens validates a caller's max_tokens and returns the bound to use; 0
// means that the caller set none.
func CheckMaxTokens(requested int64) (int64, error) {
	if requested == 0 {
		return DefaultMaxTokens, nil
	}
	if requested < 0 || requested > maxTokensLimit {
		return 0, errkind.New(errkind.BadRequest, "max_tokens must be from 1 to %d", maxTokensLimit)
	}
	return requested, nil
}

// Position is the position of an event in a stream.
type Position struct {
	// Target and Stream identify the engine and its stream.
	Target, Stream string
	// Offset is the number of the event in the stream, from 0.
	Offset int64
}

// String returns the event ID, target/stream/offset.
func (p Position) String() string {
	return p.Target + "/" + p.Stream + "/" + strconv.FormatInt(p.Offset, 10)
}

// ParsePosition parses an event ID.
func ParsePosition(id string) (*Position, error) {
	parts := strings.Split(id, "/")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return nil, errkind.New(errkind.BadRequest, "Last-Event-ID must be target/stream/offset")
	}
	offset, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || offset < 0 {
		return nil, errkind.New(errkind.BadRequest, "the offset of Last-Event-ID must be an integer of at least 0")
	}
	return &Position{Target: parts[0], Stream: parts[1], Offset: offset}, nil
}

// requestDigest returns the digest of a request's contents: service, call and
// body, without its key.
func requestDigest(r *Request) []byte {
	h := sha256.New()
	h.Write([]byte(r.Service.Name))
	h.Write([]byte{0})
	h.Write([]byte(r.Call.Path))
	h.Write([]byte{0})
	h.Write(r.Body)
	return h.Sum(nil)
}
