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

	"cuminrock.example/router/responseconn"
)

// Headers of the caller API and of the targets.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "Cuminrock-Deadline-Ms"
	headerRequestID      = "Cuminrock-Request-Id"
)

const (
	// maxErrorBytes bounds the part of an error body that is read.
	maxErrorBytes = 64 << 10
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds one connection attempt.
	dialTimeout = 5 * time.Second
)

// Destination is where a run sends its requests.
type Destination struct {
	Name string `json:"name"`
	// Addresses are host:port and used in turn.
	Addresses []string `json:"addresses"`
	// Direct is true if the requests go directly to engines and not through
	// routers.
	Direct bool `json:"direct"`
}

// url returns the URL of a request.
func (d *Destination) url(a arrival) string {
	address := d.Addresses[a.number%len(d.Addresses)]
	if d.Direct {
		return "http://" + address + "/" + a.call.Path
	}
	return "http://" + address + "/v1/services/" + a.call.Service + "/" + a.call.Path
}

func newClient(timeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Timeout: timeout,
		Transport: responseconn.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: http.DefaultMaxIdleConnsPerHost << 12,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}),
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

// modelName is the model that all calls request.
const modelName = "default"

func (r *loadRun) newRequest(ctx context.Context, a arrival, id string) (*http.Request, error) {
	body, err := r.body(a)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.dest.url(a), bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerIdempotencyKey, id)
	req.Header.Set(headerDeadline, strconv.FormatInt(r.opts.Timeout.Milliseconds(), 10))
	if r.dest.Direct {
		req.Header.Set(headerRequestID, id)
	}
	if a.key != "" {
		req.Header.Set("Authorization", "Bearer "+a.key)
	}
	return req, nil
}

func (r *loadRun) body(a arrival) ([]byte, error) {
	if a.call.Kind != CallModel {
		body, err := json.Marshal(plainBody{Query: promptText(a.promptSeed, r.opts.PromptBytes)})
		return body, trace.Wrap(err)
	}
	body, err := json.Marshal(chatBody{
		Model:     modelName,
		Messages:  []chatPrompt{{Role: "user", Content: promptText(a.promptSeed, r.opts.PromptBytes)}},
		MaxTokens: a.tokens,
		Stream:    true,
	})
	return body, trace.Wrap(err)
}

// promptText returns text of this length, which is the same for the same seed.
func promptText(seed uint64, length int) string {
	rng := rand.New(rand.NewPCG(seed, 0))
	var text strings.Builder
	for text.Len() < length {
		fmt.Fprintf(&text, "%x ", rng.Uint64())
	}
	return text.String()[:length]
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error struct {
		Kind string `json:"kind"`
	} `json:"error"`
}

// errorKind returns the error kind in an error response, or the status code if
// the body has none.
func errorKind(resp *http.Response) string {
	var r errorResponse
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err == nil {
		err = json.Unmarshal(body, &r)
	}
	if err != nil || r.Error.Kind == "" {
		return fmt.Sprintf("status_%d", resp.StatusCode)
	}
	return r.Error.Kind
}
