package loadgen

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/standin/engine"
	"cuminrock.example/standin/target"
)

var options = Options{
	Seed:              3,
	RequestsPerSecond: 200,
	Duration:          200 * time.Millisecond,
	MinTokens:         5,
	MaxTokens:         20,
	PromptBytes:       50,
	Calls:             []Call{DefaultCall},
	Timeout:           time.Minute,
}

func TestScheduleFollowsFromItsSeed(t *testing.T) {
	is := is.New(t)
	opts := options
	opts.Calls = []Call{DefaultCall, {Weight: 3, Kind: CallLookup, Service: "registry-app", Path: "find"}}
	a, b := newSchedule(&opts), newSchedule(&opts)
	lookups, total := 0, 0
	for {
		x, more := a.draw()
		y, _ := b.draw()
		is.Equal(x, y)
		if !more {
			break
		}
		total++
		if x.call.Kind == CallLookup {
			lookups++
		}
		is.True(x.tokens >= 5 && x.tokens <= 20)
	}
	is.True(total > 20)
	is.True(lookups > total/2)
}

// events returns a whole answer of two tokens.
func events(id, second, end string) string {
	sum := sha256.Sum256([]byte("one two "))
	data := func(content string) string {
		return fmt.Sprintf(`{"id":%q,"choices":[{"index":0,"delta":{"content":%q}}]}`, id, content)
	}
	return "id: t/s/0\ndata: " + data("one ") + "\n\n" +
		"id: t/s/" + second + "\ndata: " + data("two ") + "\n\n" +
		fmt.Sprintf("id: t/s/2\nevent: end\ndata: {\"id\":%q,\"usage\":{\"completion_tokens\":2},\"length\":%s,\"sha256\":%q}\n\n", id, end, hex.EncodeToString(sum[:])) +
		"data: [DONE]\n\n"
}

func TestAnswersAreChecked(t *testing.T) {
	whole := events("r1", "1", "8")
	cases := []struct {
		name string
		body string
		want Verdict
	}{
		{"whole", whole, Whole},
		{"another request's", events("r2", "1", "8"), Crossed},
		{"a gap in the offsets", events("r1", "2", "8"), Altered},
		{"another length", events("r1", "1", "9"), Altered},
		{"another text", strings.Replace(whole, "two", "twa", 1), Altered},
		{"cut before the end event", whole[:strings.Index(whole, "event: end")], Broken},
		{"an error in the stream", "event: error\ndata: {\"error\":{\"kind\":\"target_failed\"}}\n\n", Broken},
		{"no end event", "data: [DONE]\n\n", Broken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			verdict, _ := newAnswerCheck("r1").read(strings.NewReader(c.body))
			is.Equal(verdict, c.want)
		})
	}
}

func startEngine(t *testing.T) *engine.Engine {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	e := engine.New(engine.Options{Seed: 1, TokensPerSecond: 2000, FirstToken: time.Millisecond})
	serve := e.Open(lis)
	go serve()
	t.Cleanup(e.Close)
	return e
}

func TestLoadCountsWhatBecameOfEachRequest(t *testing.T) {
	is := is.New(t)
	e := startEngine(t)
	is.NoErr(e.SetFaults(target.Faults{RefuseNext: 2, FailNext: 1, DieNext: 3, DieAtToken: 2, CrossNext: 4}))
	p := Run(context.Background(), &options, Goal{Name: "direct", Addresses: []string{e.Addr()}, Direct: true}, "t")
	is.Equal(p.Refused, 3)
	is.Equal(p.Refusals, []KindCount{{"status_500", 1}, {"status_503", 2}})
	is.Equal(p.Broken, 3)
	is.Equal(p.Crossed, 4)
	is.Equal(p.Altered+p.Unreachable, 0)
	is.Equal(p.Whole, p.Requests-10)
	is.True(p.Whole > 0)
	is.True(!p.Clean())
	is.Equal(p.FirstToken.Count, int64(p.Whole))
}

func TestParseCall(t *testing.T) {
	is := is.New(t)
	call, err := ParseCall("2:action:vault-api/v1/restore")
	is.NoErr(err)
	is.Equal(call, Call{Weight: 2, Kind: CallAction, Service: "vault-api", Path: "v1/restore"})
	for _, bad := range []string{"", "0:model:a/b", "1:other:a/b", "1:model:a", "1:model:/b", "x:model:a/b"} {
		_, err = ParseCall(bad)
		is.True(err != nil)
	}
}
