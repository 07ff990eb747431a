package demo

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"cuminrock.example/ctl/streamcheck"
)

const (
	// callTimeout bounds one sample call.
	callTimeout = 30 * time.Second
	// maxResponseBytes bounds the response to a call that isn't streamed.
	maxResponseBytes = 1 << 20
	// chatBody is the body of the streamed model call; the demo also prints it
	// as a curl command.
	chatBody = `{"model":"default","messages":[{"role":"user","content":"Who stands in the parish register of 1880?"}],"max_tokens":24,"stream":true}`
)

// sampleCall is one call of the demo.
type sampleCall struct {
	// description is printed before the call and in error messages.
	description string
	key         string
	service     string
	path        string
	body        string
	stream      bool
	// router is the index of the router to call.
	router int
}

// sampleCalls are the calls of the demo. The last one repeats the action at
// another router and gets the recorded response.
var sampleCalls = []sampleCall{
	{description: "a streamed model call", key: "demo-chat", service: modelService, path: modelCall, body: chatBody, stream: true},
	{description: "an idempotent lookup", key: "demo-lookup", service: plainService, path: lookupCall, body: `{"record":1880}`, router: 1},
	{description: "an action, at most once", key: "demo-certificate", service: plainService, path: actionCall, body: `{"record":1880}`, router: 1},
	{description: "the same action again, at another router", key: "demo-certificate", service: plainService, path: actionCall, body: `{"record":1880}`, router: 2},
}

// callResult is the result of a sample call.
type callResult struct {
	Title string `json:"title"`
	Key   string `json:"key"`
	// Answer is the text of a streamed response or the body of any other.
	Answer string `json:"answer"`
	// Tokens is the number of tokens of a streamed response.
	Tokens int `json:"tokens,omitempty"`
	// Replayed is true if the response is the recorded one of an earlier run.
	Replayed bool `json:"replayed,omitempty"`
}

// send sends the call to the caller API at this address and returns the complete
// response. It calls onToken with each token of a streamed response as it arrives.
func (c sampleCall) send(ctx context.Context, address string, onToken func(string)) (*callResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + address + "/v1/services/" + c.service + "/" + c.path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(c.body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", c.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		return nil, trace.Errorf("%s: unexpected status %s: %s", c.description, resp.Status, bytes.TrimSpace(body))
	}
	result := &callResult{Title: c.description, Key: c.key, Replayed: resp.Header.Get("Cuminrock-Replayed") != ""}
	if !c.stream {
		return result, result.readPlain(resp.Body)
	}
	return result, result.readStream(resp.Body, onToken)
}

func (r *callResult) readPlain(body io.Reader) error {
	text, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	r.Answer = strings.TrimSpace(string(text))
	return trace.Wrap(err)
}

// readStream reads a streamed response and checks that it is complete.
func (r *callResult) readStream(body io.Reader, onToken func(string)) error {
	var text strings.Builder
	checker := streamcheck.New(r.Key)
	checker.OnToken = func(content string) {
		text.WriteString(content)
		onToken(content)
	}
	verdict, err := checker.Read(body)
	if verdict != streamcheck.Whole {
		return trace.Errorf("%s: incomplete or faulty response (verdict %d): %v", r.Title, verdict, err)
	}
	r.Answer = text.String()
	r.Tokens = checker.Tokens
	return nil
}
