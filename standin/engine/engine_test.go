package engine

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/standin/target"
)

const body = `{"model":"m","messages":[{"role":"user","content":"who was born?"}],"max_tokens":40,"stream":true}`

func start(t *testing.T, opts Options) *Engine {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	opts.Seed = 7
	e := New(opts)
	serve := e.Open(lis)
	go serve()
	t.Cleanup(e.Close)
	return e
}

func post(t *testing.T, e *Engine, id string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Addr()+"/v1/chat/completions", strings.NewReader(body))
	is.New(t).NoErr(err)
	req.Header.Set(target.HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(req)
	is.New(t).NoErr(err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

var fast = Options{TokensPerSecond: 2000, TimeToFirstToken: time.Millisecond}

func TestResumedStreamIsByteIdentical(t *testing.T) {
	is := is.New(t)
	e := start(t, fast)
	resp := post(t, e, "r1")
	whole, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.Header.Get(target.HeaderRequestID), "r1")
	stream := resp.Header.Get(target.HeaderStream)
	for _, from := range []int{0, 1, 17, 40} {
		resumed, err := http.Get(fmt.Sprintf("http://%s/v1/streams/%s?from=%d", e.Addr(), stream, from))
		is.NoErr(err)
		rest, err := io.ReadAll(resumed.Body)
		is.NoErr(err)
		resumed.Body.Close()
		is.Equal(resumed.Header.Get(target.HeaderRequestID), "r1")
		is.True(bytes.HasSuffix(whole, rest))
		is.True(bytes.HasPrefix(rest, fmt.Appendf(nil, "id: %s/%d\n", stream, from)))
	}
	is.Equal(e.RunCount("r1"), 1) // resuming a stream is not a run
	checkEndEvent(t, whole, 40)
}

// checkEndEvent checks the end event against the content of the token events.
func checkEndEvent(t *testing.T, events []byte, tokens int64) {
	t.Helper()
	is := is.New(t)
	var text strings.Builder
	var end endMessage
	for line := range strings.Lines(string(events)) {
		data, isData := strings.CutPrefix(line, "data: {")
		if !isData {
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
			endMessage
		}
		is.NoErr(json.Unmarshal([]byte("{"+data), &chunk))
		if len(chunk.Choices) == 0 {
			end = chunk.endMessage
			continue
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	sum := sha256.Sum256([]byte(text.String()))
	is.Equal(end.Usage.CompletionTokens, tokens)
	is.Equal(end.Length, text.Len())
	is.Equal(end.SHA256, hex.EncodeToString(sum[:]))
}

func TestRepeatedRequestCountsAsTwoRuns(t *testing.T) {
	is := is.New(t)
	e := start(t, fast)
	io.ReadAll(post(t, e, "r1").Body)
	io.ReadAll(post(t, e, "r1").Body)
	is.Equal(e.RunCount("r1"), 2)
	is.Equal(e.Counts().Repeated, 1)
}

func TestStreamResumesAfterDisconnect(t *testing.T) {
	is := is.New(t)
	e := start(t, fast)
	is.NoErr(e.SetFaults(target.Faults{DisconnectNext: 1, DisconnectAtToken: 5}))
	resp := post(t, e, "r1")
	part, err := io.ReadAll(resp.Body)
	is.True(err != nil) // the connection is closed in mid-stream
	is.Equal(bytes.Count(part, []byte("delta")), 5)
	resumed, err := http.Get("http://" + e.Addr() + "/v1/streams/" + resp.Header.Get(target.HeaderStream) + "?from=5")
	is.NoErr(err)
	rest, err := io.ReadAll(resumed.Body)
	is.NoErr(err)
	resumed.Body.Close()
	checkEndEvent(t, append(part, rest...), 40)
}

func TestRefusedRequestsDoNotRun(t *testing.T) {
	is := is.New(t)
	e := start(t, Options{Slots: 1, QueueCapacity: 1, TimeToFirstToken: time.Hour})
	is.NoErr(e.SetFaults(target.Faults{RefuseNext: 1}))
	refused := post(t, e, "r0")
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.Equal(refused.Header.Get(target.HeaderRunState), target.RunStateNotRun)
	post(t, e, "r1")
	post(t, e, "r2")
	full := post(t, e, "r3")
	is.Equal(full.StatusCode, http.StatusTooManyRequests)
	is.Equal(full.Header.Get(target.HeaderRunState), target.RunStateNotRun)
	is.Equal(e.RunCount("r0")+e.RunCount("r2")+e.RunCount("r3"), 0)
	is.Equal(e.RunCount("r1"), 1)
}

func TestCancelFreesSlotAndReportsUsage(t *testing.T) {
	is := is.New(t)
	e := start(t, Options{Slots: 1, TimeToFirstToken: time.Hour})
	first := post(t, e, "r1")
	post(t, e, "r2")
	req, err := http.NewRequest(http.MethodDelete, "http://"+e.Addr()+"/v1/streams/"+first.Header.Get(target.HeaderStream), nil)
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	var message cancelMessage
	is.NoErr(json.NewDecoder(resp.Body).Decode(&message))
	is.Equal(message.Usage.CompletionTokens, int64(0))
	is.Equal(e.RunCount("r2"), 1) // the queued request got the freed slot
}

func TestWrongIDFaultReturnsAnotherID(t *testing.T) {
	is := is.New(t)
	e := start(t, fast)
	is.NoErr(e.SetFaults(target.Faults{WrongIDNext: 1}))
	is.True(post(t, e, "r1").Header.Get(target.HeaderRequestID) != "r1")
	is.Equal(post(t, e, "r2").Header.Get(target.HeaderRequestID), "r2")
}

func TestMaxTokensBoundsCompletion(t *testing.T) {
	is := is.New(t)
	chat := &chatRequest{MaxTokens: 40}
	is.Equal(completionTokens(chat, ""), 40)
	is.Equal(completionTokens(chat, "25"), 25)
	is.Equal(completionTokens(chat, "0"), 0)
}

func TestPrefixCacheKeepsRecentWholeChunks(t *testing.T) {
	is := is.New(t)
	prompt := bytes.Repeat([]byte("abcd"), 3*chunkTokens)
	longer := append(bytes.Clone(prompt), "tail"...)
	c := newPrefixCache(4 * chunkTokens)
	is.Equal(c.lookupAndInsert(prompt), 0)
	is.Equal(c.lookupAndInsert(longer), 3*chunkTokens)
	other := bytes.Repeat([]byte("wxyz"), 2*chunkTokens)
	is.Equal(c.lookupAndInsert(other), 0) // evicts the least recently used chunk
	is.Equal(c.lookupAndInsert(prompt), 0)
	is.Equal(newPrefixCache(0).lookupAndInsert(prompt), 0)
}

func TestTimerWheelReturnsStreamsAtTheirTick(t *testing.T) {
	is := is.New(t)
	var w timerWheel
	w.add(&stream{id: "now"}, 0)
	w.add(&stream{id: "later"}, 5*tick)
	w.add(&stream{id: "far"}, 10*wheelSlots*tick)
	seen := make(map[string]int64)
	for now := int64(1); now < wheelSlots; now++ {
		due, ok := w.takeDue(time.Duration(now)*tick, nil)
		is.True(ok)
		for _, s := range due {
			seen[s.id] = now
		}
	}
	is.Equal(seen, map[string]int64{"now": 1, "later": 5, "far": wheelSlots - 1})
}

// A held stream generates exactly the tokens up to the hold, and goes on from
// there once the fault is cleared.
func TestHeldStreamStopsAtToken(t *testing.T) {
	is := is.New(t)
	e := start(t, fast)
	is.NoErr(e.SetFaults(target.Faults{HoldAtToken: 7}))
	resp := post(t, e, "held")
	events := bufio.NewReader(resp.Body)
	var received strings.Builder
	for strings.Count(received.String(), "id: ") < 7 {
		line, err := events.ReadString('\n')
		is.NoErr(err)
		received.WriteString(line)
	}
	for e.Counts().Tokens < 7 { // the counter follows the events
		time.Sleep(time.Millisecond)
	}
	is.Equal(e.Counts().Tokens, uint64(7)) // none beyond the hold
	is.NoErr(e.SetFaults(target.Faults{}))
	rest, err := io.ReadAll(events)
	is.NoErr(err)
	checkEndEvent(t, append([]byte(received.String()), rest...), 40)
}
