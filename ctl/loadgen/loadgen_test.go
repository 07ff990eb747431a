package loadgen

import (
	"context"
	"net"
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

func TestScheduleIsDeterministic(t *testing.T) {
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

func startEngine(t *testing.T) *engine.Engine {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	e := engine.New(engine.Options{Seed: 1, TokensPerSecond: 2000, TimeToFirstToken: time.Millisecond})
	serve := e.Open(lis)
	go serve()
	t.Cleanup(e.Close)
	return e
}

func TestRunCountsOutcomes(t *testing.T) {
	is := is.New(t)
	e := startEngine(t)
	is.NoErr(e.SetFaults(target.Faults{RefuseNext: 2, FailNext: 1, DisconnectNext: 3, DisconnectAtToken: 2, WrongIDNext: 4}))
	report := Run(context.Background(), &options, Destination{Name: "direct", Addresses: []string{e.Addr()}, Direct: true}, "t")
	is.Equal(report.Refused, 3)
	is.Equal(report.Refusals, []RefusalCount{{"status_500", 1}, {"status_503", 2}})
	is.Equal(report.Broken, 3)
	is.Equal(report.Crossed, 4)
	is.Equal(report.Altered+report.Unreachable, 0)
	is.Equal(report.Whole, report.Requests-10)
	is.True(report.Whole > 0)
	is.True(!report.Passed())
	is.Equal(report.FirstToken.Count, int64(report.Whole))
}

func TestParseCall(t *testing.T) {
	is := is.New(t)
	call, err := ParseCall("2:action:vault-api/v1/restore")
	is.NoErr(err)
	is.Equal(call, Call{Weight: 2, Kind: CallAction, Service: "vault-api", Path: "v1/restore"})
	for _, invalid := range []string{"", "0:model:a/b", "1:other:a/b", "1:model:a", "1:model:/b", "x:model:a/b"} {
		_, err = ParseCall(invalid)
		is.True(err != nil)
	}
}
