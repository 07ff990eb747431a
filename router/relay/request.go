package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/location"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/quarantine"
)

// Request is a caller's request with its complete body.
type Request struct {
	// ID is the id that the caller gave to this attempt.
	ID string
	// Method, Host and RequestURI are those of the HTTP request; Path is
	// RequestURI without the query.
	Method, Host, RequestURI, Path string
	// HostName is Host without a port.
	HostName string
	// Header has the fields that are forwarded unchanged.
	Header http.Header
	Body   Body
	// Key is the caller's API key, or empty.
	Key string
	// CallerTimeout is how long the caller waits, counted from Arrived; 0 when the
	// caller sets no limit.
	CallerTimeout time.Duration
	Arrived       time.Time
	// LongBody is set if the body is long. What is read of such bodies is bounded, and has
	// come over the same link, so they aren't refused because sends are behind on it.
	LongBody bool
	// Admitted is set once Admit has let the request's body be read. The request isn't
	// refused for overload after that.
	Admitted bool
	// Prompt is nil for requests that generate no tokens.
	Prompt *Prompt
	// ResumeAfter is the id of the last event of the stream that the caller has
	// received; empty for a new stream.
	ResumeAfter string
	// Resumes is the id of the attempt that brought the stream's first event; empty for
	// a new stream, or if the caller doesn't tell.
	Resumes string
}

// Prompt describes the tokens of a request, as stated by the caller.
type Prompt struct {
	// InputTokens is the length of the prompt. MaxOutputTokens bounds the tokens to
	// generate.
	InputTokens, MaxOutputTokens int64
	// Parts are the parts of the prompt, in order.
	Parts []PromptPart
}

// PromptPart is a part of a prompt. Other requests may start with the same parts.
type PromptPart struct {
	ID     string
	Tokens int64
}

// MaxTotalTokens returns the most tokens that the request can consume.
func (p *Prompt) MaxTotalTokens() int64 { return p.InputTokens + p.MaxOutputTokens }

// inputTokens returns the length of the prompt; 0 without one.
func (p *Prompt) inputTokens() int64 {
	if p == nil {
		return 0
	}
	return p.InputTokens
}

// maxOutputTokens returns the most tokens to generate; 0 without a prompt.
func (p *Prompt) maxOutputTokens() int64 {
	if p == nil {
		return 0
	}
	return p.MaxOutputTokens
}

// sharedTokens returns the size of the parts that other requests may share: all
// but the last.
func (p *Prompt) sharedTokens() int64 {
	if p == nil || len(p.Parts) < 2 {
		return 0
	}
	var tokens int64
	for _, part := range p.Parts[:len(p.Parts)-1] {
		tokens += part.Tokens
	}
	return tokens
}

// sharedPartIDs returns the ids of the parts that other requests may share, all
// but the last; none without a prompt.
func (p *Prompt) sharedPartIDs() []string {
	if p == nil || len(p.Parts) < 2 {
		return nil
	}
	ids := make([]string, 0, len(p.Parts)-1)
	for _, part := range p.Parts[:len(p.Parts)-1] {
		ids = append(ids, part.ID)
	}
	return ids
}

// traits returns the traits of the parts that other requests may share; none
// without a prompt.
func (p *Prompt) traits() []quarantine.Trait {
	var traits []quarantine.Trait
	for _, id := range p.sharedPartIDs() {
		traits = append(traits, quarantine.PromptPartTrait(id))
	}
	return traits
}

// affinityHash returns a hash of the parts that other requests may share, all but
// the last; 0 without any.
func (p *Prompt) affinityHash() uint64 {
	if p == nil || len(p.Parts) < 2 {
		return 0
	}
	h := xxhash.New()
	for _, part := range p.Parts[:len(p.Parts)-1] {
		// Writing to a hash never fails.
		_, _ = h.WriteString(part.ID)
		_, _ = h.WriteString(",")
	}
	return max(h.Sum64(), 1)
}

// ResponseWriter writes the response to the caller. Exactly one of WriteError and
// WriteHeader is called first; Finish or Abort follows WriteHeader.
type ResponseWriter interface {
	// WriteError writes an error response of the gateway.
	WriteError(err *errkind.Error)
	// WriteHeader starts a target's response. Length is that of the body, or -1 if
	// unknown.
	WriteHeader(status int, header http.Header, length int64) error
	// WriteBody writes a part of the body and flushes it.
	WriteBody(p []byte) error
	// Finish ends a complete response.
	Finish()
	// Abort ends a response so that the caller sees that it is incomplete.
	Abort()
}

// UpstreamRequest is a request to one target.
type UpstreamRequest struct {
	Request *Request
	Target  placement.Target
	// Source is a target with the prompt's shared parts in its cache, from which
	// Target can copy them; nil for none.
	Source    *placement.Target
	Workspace string
	// Deadline is when the response must be complete.
	Deadline time.Time
	// Priority is from 0, the most urgent, to 9; nil if none is sent.
	Priority *int
	// Urgent is set for the routes with the highest priority, whose requests are refused
	// last.
	Urgent bool
	// PromptTokens is the length of the prompt; 0 without one.
	PromptTokens int64
	// Repeatable is set if the request may be sent to another target after it was lost.
	Repeatable bool
	// OnUnacknowledged, if set, is called from time to time while the target's machine
	// hasn't acknowledged the whole request and no response has arrived. It must not block.
	OnUnacknowledged func()
	// ResumeAfter is the id of the last event that the caller has received; empty
	// for none.
	ResumeAfter string
	// Homes are the regions whose targets may get the request.
	Homes location.Homes
}

// UpstreamResponse is a target's response, whose body is still to be read. It must
// be closed.
type UpstreamResponse interface {
	// Status and Header are those of the target, without hop-by-hop fields.
	Status() int
	Header() http.Header
	// Read reads the body. The error is io.EOF only at the end of a complete body.
	Read(p []byte) (int, error)
	// Load is the load that the target reports; nil without a report.
	Load() *placement.Load
	// EndsWithConnection reports whether the body has no length of its own: it is
	// complete when the target closes the connection.
	EndsWithConnection() bool
	// Announcement is what the target says about its further use.
	Announcement() placement.Announcement
	Close()
}

// Refusal is the cause of an error of kind TargetRefused: a target's response that
// says that it didn't run the request.
type Refusal struct {
	Status int
	// Misdirected is set if another process answered at the target's address.
	Misdirected  bool
	Announcement placement.Announcement
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("status %d", r.Status) }

// Upstream sends requests to targets. The kind of the error is TargetUnreachable if
// no byte was sent, TargetRefused, caused by a Refusal, if the target says that it
// didn't run the request, and TargetFailed if the request may have run.
type Upstream interface {
	Send(ctx context.Context, s *UpstreamRequest) (UpstreamResponse, error)
}

// admittedRequest is a request that the configuration allows.
type admittedRequest struct {
	*Request
	catalog   *catalog.Catalog
	route     *catalog.Route
	service   *catalog.Service
	workspace *catalog.Workspace
	deadline  time.Time
}

// homes returns the regions whose targets may get the request: those that its route and
// its workspace both allow.
func (a *admittedRequest) homes() location.Homes {
	if a.workspace == nil {
		return a.route.Homes
	}
	return a.route.Homes.And(a.workspace.Homes)
}

// priority returns the priority sent to targets, nil for a request without a prompt.
// The workspace's priority takes precedence over the route's.
func (a *admittedRequest) priority() *int {
	if a.Prompt == nil {
		return nil
	}
	rank := a.route.Priority
	if a.workspace != nil && a.workspace.Priority != nil {
		rank = *a.workspace.Priority
	}
	rank = min(max(rank, mostUrgent), lowestPriority)
	return &rank
}

// urgent reports whether the request's route has the highest priority.
func (a *admittedRequest) urgent() bool { return a.route.Priority == mostUrgent }

// workspaceName returns the workspace's name, or an empty string.
func (a *admittedRequest) workspaceName() string {
	if a.workspace == nil {
		return ""
	}
	return a.workspace.Name
}
