package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
)

// Request is one caller's request, read whole.
type Request struct {
	// ID is the caller's id of this attempt.
	ID string
	// Method, Host and RequestURI are the request line's; Path is the target's
	// without its query.
	Method, Host, RequestURI, Path string
	// HostName is Host without a port.
	HostName string
	// Header has the fields that are passed on as they are.
	Header http.Header
	Body   []byte
	// Key is the caller's API key; empty without one.
	Key string
	// CallerTimeout is how long the caller waits from Arrived on; 0 where it
	// doesn't say.
	CallerTimeout time.Duration
	Arrived       time.Time
	// Prompt is nil for requests that generate no tokens.
	Prompt *Prompt
	// ResumeAfter is the id of the last event that the caller has of this
	// stream; empty for a new one.
	ResumeAfter string
}

// Prompt is what a request says of its tokens.
type Prompt struct {
	// InputTokens is the length of the prompt, MaxOutputTokens the most tokens
	// generated.
	InputTokens, MaxOutputTokens int64
	// Parts are the parts of the prompt, in order.
	Parts []PromptPart
}

// PromptPart is a part of a prompt, which other requests may begin with too.
type PromptPart struct {
	ID     string
	Tokens int64
}

// MaxTotalTokens returns the most tokens that the prompt can consume.
func (p *Prompt) MaxTotalTokens() int64 { return p.InputTokens + p.MaxOutputTokens }

// input returns the length of the prompt; 0 where there is none.
func (p *Prompt) input() int64 {
	if p == nil {
		return 0
	}
	return p.InputTokens
}

// shared returns the size of the parts that other requests may share.
func (p *Prompt) shared() int64 {
	if p == nil || len(p.Parts) < 2 {
		return 0
	}
	var tokens int64
	for _, part := range p.Parts[:len(p.Parts)-1] {
		tokens += part.Tokens
	}
	return tokens
}

// affinity hashes the parts that other requests may share: all but the last.
func (p *Prompt) affinity() uint64 {
	if p == nil || len(p.Parts) < 2 {
		return 0
	}
	h := xxhash.New()
	for _, part := range p.Parts[:len(p.Parts)-1] {
		// Writing to a hash doesn't fail.
		_, _ = h.WriteString(part.ID)
		_, _ = h.WriteString(",")
	}
	return max(h.Sum64(), 1)
}

// ResponseWriter passes the answer on to the caller. Exactly one of Refuse and Head
// is called first; End or Break follow Head.
type ResponseWriter interface {
	// WriteError answers with an error of ours.
	WriteError(err *errkind.Error)
	// WriteHeader begins a target's answer. Length is the body's, or -1.
	WriteHeader(status int, header http.Header, length int64) error
	// WriteBody passes a part of the body on at once.
	WriteBody(p []byte) error
	// Finish ends a whole answer.
	Finish()
	// Abort ends an answer so that the caller sees that it isn't whole.
	Abort()
}

// UpstreamRequest is one request to one target.
type UpstreamRequest struct {
	Request *Request
	Target  placement.Target
	// Source is the target that keeps the prompt's shared parts, for Target to
	// copy them from; nil for none.
	Source    *placement.Target
	Workspace string
	// Deadline is when the answer must be there.
	Deadline time.Time
	// Priority from 0, the most urgent, to 9; nil where none is to be told.
	Priority *int
	// ResumeAfter is the last event that the caller has; empty for none.
	ResumeAfter string
}

// UpstreamResponse is a target's answer, its body still to be read. Close ends it.
type UpstreamResponse interface {
	// Status and Header are the target's, without fields of the connection.
	Status() int
	Header() http.Header
	// Read reads the body; the error is io.EOF only where it is whole.
	Read(p []byte) (int, error)
	// SetReadDeadline bounds the next reads; zero sets no bound.
	SetReadDeadline(t time.Time) error
	// Load is what the target tells of itself; nil where it doesn't.
	Load() *placement.Load
	Close()
}

// Upstream sends requests to targets. The error's kind is TargetUnreachable
// where no byte was sent, TargetRefused where the target says that it didn't
// run the request, and TargetFailed where the request may have run.
type Upstream interface {
	Send(ctx context.Context, s *UpstreamRequest) (UpstreamResponse, error)
}

// admitted is a request that the configuration allows.
type admitted struct {
	*Request
	catalog   *catalog.Catalog
	route     *catalog.Route
	service   *catalog.Service
	workspace *catalog.Workspace
	deadline  time.Time
}

// priority returns the rank told to targets: the workspace's before the
// route's.
func (a *admitted) priority() *int {
	if a.Prompt == nil {
		return nil
	}
	rank := a.route.Priority
	if a.workspace != nil && a.workspace.Priority != nil {
		rank = *a.workspace.Priority
	}
	rank = min(max(rank, 0), lowestPriority)
	return &rank
}

// workspaceName returns the workspace's name, or nothing.
func (a *admitted) workspaceName() string {
	if a.workspace == nil {
		return ""
	}
	return a.workspace.Name
}
