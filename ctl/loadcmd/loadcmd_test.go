package loadcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/ctl/loadgen"
	"cuminrock.example/standin/engine"
	"cuminrock.example/standin/target"
)

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

// run executes the load command and returns the lines of its output and the exit
// code.
func run(args ...string) ([][]byte, subcommands.ExitStatus) {
	var out, errs bytes.Buffer
	flags := flag.NewFlagSet("cuminrockctl", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "cuminrockctl")
	commander.Output, commander.Error = &out, &errs
	commander.Register(Commands(cli.Env{Stdout: &out, Stderr: &errs})[0], "")
	if flags.Parse(append([]string{"load"}, args...)) != nil {
		return nil, cli.ExitUsageError
	}
	exit := commander.Execute(context.Background())
	return bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")), exit
}

func TestExitCodeReportsFaultyResponses(t *testing.T) {
	is := is.New(t)
	e := startEngine(t)
	args := []string{"-direct", e.Addr(), "-json", "-rate", "200", "-duration", "100ms", "-warmup", "1ms", "-tokens", "3-9", "-seed", "4"}
	lines, exit := run(args...)
	is.Equal(exit, cli.ExitSuccess)
	is.Equal(len(lines), 2) // the options, then the report
	var first loadgen.Report
	is.NoErr(json.Unmarshal(lines[1], &first))
	is.True(first.Whole > 0)
	is.Equal(first.Whole, first.Requests)
	is.NoErr(e.SetFaults(target.Faults{WrongIDNext: 1}))
	lines, exit = run(args...)
	is.Equal(exit, cli.ExitFailure)
	var second loadgen.Report
	is.NoErr(json.Unmarshal(lines[1], &second))
	is.Equal(second.Crossed, 1)
	is.Equal(second.Requests, first.Requests) // the load is determined by the seed
}

func TestInvalidArgumentsAreUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{},
		{"-doors", "127.0.0.1:1", "-tokens", "9-3"},
		{"-doors", "127.0.0.1:1", "-tokens", "few"},
		{"-doors", "127.0.0.1:1", "-call", "nonsense"},
		{"-doors", "127.0.0.1:1", "-rate", "0"},
		{"-doors", "127.0.0.1:1", "stray"},
	} {
		_, exit := run(args...)
		is.New(t).Equal(exit, cli.ExitUsageError)
	}
}
