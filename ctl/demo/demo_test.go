package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"cuminrock.example/ctl/cli"
)

// line holds the fields of all kinds of lines in the demo's JSON output.
type line struct {
	inForceLine
	resultLine
	billsLine
	Kind string `json:"kind"`
}

func TestDemoServesItsSampleRequests(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	flags := flag.NewFlagSet("cuminrockctl", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "cuminrockctl")
	commander.Register(Commands(cli.Env{Stdout: &out, Stderr: &errs})[0], "")
	is.NoErr(flags.Parse([]string{"demo", "-once", "-json"}))
	exit := commander.Execute(context.Background())
	if exit != cli.ExitSuccess {
		t.Fatalf("exit %d\n%s%s", exit, out.String(), errs.String())
	}
	var results []*callResult
	var bills []bill
	var spent int64
	events := 0
	for text := range bytes.Lines(out.Bytes()) {
		var l line
		is.NoErr(json.Unmarshal(text, &l))
		if l.Served != nil {
			results = append(results, l.Served)
		}
		if l.Bills != nil {
			bills, spent = l.Bills, l.Spent
		}
		if l.Kind != "" {
			events++
		}
	}
	is.Equal(len(results), len(sampleCalls))
	is.Equal(results[0].Tokens, 24) // the max_tokens of the call
	is.True(results[3].Replayed)
	is.Equal(results[3].Answer, results[2].Answer)
	is.Equal(len(bills), 3) // the repeated action is not billed again
	is.Equal(bills[1].Tokens, int64(20))
	is.Equal(bills[2].Tokens, int64(200))
	is.Equal(spent, bills[0].Tokens+20+200)
	is.True(events >= 5) // received, reserved, dispatched, first byte, billed
}
