package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Headers of the caller door and of the targets.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "Cuminrock-Deadline-Ms"
	headerRequestID      = "Cuminrock-Request-Id"
)

const (
	// maxErrorBytes bounds the body of a refusal that is read.
	maxErrorBytes = 64 << 10
	// idleTimeout is when an unused connection is closed.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds one connection attempt.
	dialTimeout = 5 * time.Second
)

// Destination is where a phase sends its requests.
type Destination struct {
	Name string `json:"name"`
	// Addresses are host:port, used in turn.
	Addresses []string `json:"addresses"`
	// Direct requests go straight to engines, past the routers.
	Direct bool `json:"direct"`
}

// url returns where the n-th request goes.
func (g *Destination) url(a arrival) string {
	address := g.Addresses[a.number%len(g.Addresses)]
	if g.Direct {
		return "http://" + address + "/" + a.call.Path
	}
	return "http://" + address + "/v1/services/" + a.call.Service + "/" + a.call.Path
}

func newClient(timeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: http.DefaultMaxIdleConnsPerHost << 12,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// chatBody is the body of a model call.
type chatBody struct {
	Model     string       `json:"model"`
	Messages  []chatPrompt `json:"messages"`
	MaxTokens int          `json:"max_tokens"`
	Stream    bool         `json:"stream"`
}

type chatPrompt struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// plainBody is the body of a plain call.
type plainBody struct {
	Query string `json:"query"`
}

// modelName is the model that all calls name.
const modelName = "default"

func (p *phase) newRequest(ctx context.Context, a arrival, id string) (*http.Request, error) {
	body, err := p.body(a)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.goal.url(a), bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerIdempotencyKey, id)
	req.Header.Set(headerDeadline, strconv.FormatInt(p.opts.Timeout.Milliseconds(), 10))
	if p.goal.Direct {
		req.Header.Set(headerRequestID, id)
	}
	if a.key != "" {
		req.Header.Set("Authorization", "Bearer "+a.key)
	}
	return req, nil
}

func (p *phase) body(a arrival) ([]byte, error) {
	if a.call.Kind != CallModel {
		body, err := json.Marshal(plainBody{Query: prompt(a.prompt, p.opts.PromptBytes)})
		return body, trace.Wrap(err)
	}
	body, err := json.Marshal(chatBody{
		Model:     modelName,
		Messages:  []chatPrompt{{Role: "user", Content: prompt(a.prompt, p.opts.PromptBytes)}},
		MaxTokens: a.tokens,
		Stream:    true,
	})
	return body, trace.Wrap(err)
}

// prompt returns text of a length, the same for the same seed.
func prompt(seed uint64, length int) string {
	rng := rand.New(rand.NewPCG(seed, 0))
	var text strings.Builder
	for text.Len() < length {
		fmt.Fprintf(&text, "%x ", rng.Uint64())
	}
	return text.String()[:length]
}

// refusal is the body of an error answer.
type refusal struct {
	Error struct {
		Kind string `json:"kind"`
	} `json:"error"`
}

// refusalKind names the kind of an error answer.
func refusalKind(resp *http.Response) string {
	var r refusal
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err == nil {
		err = json.Unmarshal(body, &r)
	}
	if err != nil || r.Error.Kind == "" {
		return fmt.Sprintf("status_%d", resp.StatusCode)
	}
	return r.Error.Kind
}
