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
	// callTimeout bounds one call of the demo.
	callTimeout = 30 * time.Second
	// maxAnswerBytes bounds a plain answer.
	maxAnswerBytes = 1 << 20
	// chatBody is the streamed model call that the demo makes and prints.
	chatBody = `{"model":"default","messages":[{"role":"user","content":"Who stands in the parish register of 1880?"}],"max_tokens":24,"stream":true}`
)

// sampleCall is one call that the demo makes.
type sampleCall struct {
	// title tells people what it is.
	title   string
	key     string
	service string
	path    string
	body    string
	stream  bool
	// router is the index of the router that is called.
	router int
}

// sampleCalls are the calls of the demo; the last repeats the action at
// another router and gets the recorded answer.
var sampleCalls = []sampleCall{
	{title: "a streamed model call", key: "demo-chat", service: modelService, path: modelCall, body: chatBody, stream: true},
	{title: "an idempotent lookup", key: "demo-lookup", service: plainService, path: lookupCall, body: `{"record":1880}`, router: 1},
	{title: "an action, at most once", key: "demo-certificate", service: plainService, path: actionCall, body: `{"record":1880}`, router: 1},
	{title: "the same action again, at another router", key: "demo-certificate", service: plainService, path: actionCall, body: `{"record":1880}`, router: 2},
}

// served is what came of a sample call.
type served struct {
	Title string `json:"title"`
	Key   string `json:"key"`
	// Answer is the text of a streamed answer or the body of a plain one.
	Answer string `json:"answer"`
	// Tokens is the tokens of a streamed answer.
	Tokens int `json:"tokens,omitempty"`
	// Replayed marks the recorded answer of an earlier run.
	Replayed bool `json:"replayed,omitempty"`
}

// make makes the call at a caller door and returns the whole answer. Tokens
// are given to onToken as they come.
func (c sampleCall) make(ctx context.Context, door string, onToken func(string)) (*served, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + door + "/v1/services/" + c.service + "/" + c.path
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
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		return nil, trace.Errorf("%s was answered %s: %s", c.title, resp.Status, bytes.TrimSpace(body))
	}
	done := &served{Title: c.title, Key: c.key, Replayed: resp.Header.Get("Cuminrock-Replayed") != ""}
	if !c.stream {
		return done, done.readPlain(resp.Body)
	}
	return done, done.readStream(resp.Body, onToken)
}

func (s *served) readPlain(body io.Reader) error {
	text, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	s.Answer = strings.TrimSpace(string(text))
	return trace.Wrap(err)
}

// readStream reads a streamed answer and checks that it is whole.
func (s *served) readStream(body io.Reader, onToken func(string)) error {
	var text strings.Builder
	check := streamcheck.New(s.Key)
	check.OnToken = func(content string) {
		text.WriteString(content)
		onToken(content)
	}
	verdict, err := check.Read(body)
	if verdict != streamcheck.Whole {
		return trace.Errorf("%s: the answer is not whole (verdict %d): %v", s.Title, verdict, err)
	}
	s.Answer = text.String()
	s.Tokens = check.Tokens
	return nil
}
