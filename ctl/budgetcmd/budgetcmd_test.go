package budgetcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/ctl/cli"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/router/platformclient"
	standin "cuminrock.example/standin/platform"
)

func startPlatform(t *testing.T) (*standin.Server, string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := standin.New(standin.Options{Seed: 1})
	serve := s.Open(lis)
	go serve()
	t.Cleanup(s.Close)
	return s, lis.Addr().String()
}

// run executes the budget command with the arguments.
func run(args ...string) (stdout string, exit subcommands.ExitStatus) {
	var out, errs bytes.Buffer
	flags := flag.NewFlagSet("cuminrockctl", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "cuminrockctl")
	commander.Output, commander.Error = &out, &errs
	commander.Register(Commands(cli.Env{Stdout: &out, Stderr: &errs})[0], "")
	if flags.Parse(append([]string{"budget"}, args...)) != nil {
		return "", cli.ExitUsageError
	}
	exit = commander.Execute(context.Background())
	return out.String() + errs.String(), exit
}

// drawGrant draws a grant from the budget for a router that never responds.
func drawGrant(t *testing.T, address string, tokens int64) {
	t.Helper()
	is := is.New(t)
	p, err := platformclient.Dial(address, time.Minute)
	is.NoErr(err)
	defer p.Close()
	cache := budget.NewCache()
	drawRequest := budget.DrawRequest{Grant: &pb.GrantRow{Id: "g1", Budget: "b1", Holder: "h1", VmName: "vm", VmInstance: "i-1"}, Need: tokens}
	for {
		txn := budget.NewTxn(cache)
		_, err := txn.Draw(drawRequest)
		is.NoErr(err)
		if len(txn.Missing()) == 0 {
			req, err := txn.Request()
			is.NoErr(err)
			_, err = p.Commit(context.Background(), req)
			is.NoErr(err)
			return
		}
		rows, err := p.Read(context.Background(), txn.Missing()...)
		is.NoErr(err)
		cache.Load(txn.Missing(), rows)
	}
}

func readBudget(t *testing.T, address string) Budget {
	t.Helper()
	out, exit := run("show", "-platform", address, "-json", "b1")
	is.New(t).Equal(exit, cli.ExitSuccess)
	var list budgetList
	is.New(t).NoErr(json.Unmarshal([]byte(out), &list))
	return list.Budgets[0]
}

func TestTopUpIsIdempotent(t *testing.T) {
	is := is.New(t)
	_, address := startPlatform(t)
	_, exit := run("show", "-platform", address)
	is.Equal(exit, cli.ExitFailure) // there is no budget yet
	_, exit = run("top-up", "-platform", address, "-id", "t1", "b1", "500")
	is.Equal(exit, cli.ExitSuccess)
	out, exit := run("top-up", "-platform", address, "-json", "-id", "t1", "b1", "500")
	is.Equal(exit, cli.ExitSuccess)
	is.True(strings.Contains(out, `"applied":false`))
	out, exit = run("top-up", "-platform", address, "-id", "t1", "b1", "600")
	is.Equal(exit, cli.ExitFailure)
	if !strings.Contains(out, "top_up_reused") {
		t.Error(out)
	}
	is.Equal(readBudget(t, address).Free, int64(500))
	out, exit = run("show", "-platform", address)
	is.Equal(exit, cli.ExitSuccess)
	is.True(strings.Contains(out, "b1"))
}

func TestGrantOfADeadRouterIsClosedAndReleased(t *testing.T) {
	is := is.New(t)
	_, address := startPlatform(t)
	run("top-up", "-platform", address, "-id", "t1", "b1", "500")
	drawGrant(t, address, 200)
	b := readBudget(t, address)
	is.Equal(b.Granted, int64(200))
	is.Equal(b.Grants[0].Outstanding, int64(200))
	out, exit := run("close-grant", "-platform", address, "b1", "g1")
	is.Equal(exit, cli.ExitSuccess)
	is.True(strings.Contains(out, "200 tokens in doubt"))
	b = readBudget(t, address)
	is.Equal(b.InDoubt, int64(200))
	is.Equal(b.Doubts[0].Reason, "holder_closed")
	_, exit = run("release", "-platform", address, "-as", "unspent", "b1", b.Doubts[0].ID)
	is.Equal(exit, cli.ExitSuccess) // no registered router can still bill the tokens
	is.Equal(readBudget(t, address).Free, int64(500))
}

func TestPlatformOutageFails(t *testing.T) {
	is := is.New(t)
	s, address := startPlatform(t)
	is.NoErr(s.SetFaults(standin.Faults{Outage: standin.OutageRefuse}))
	out, exit := run("top-up", "-platform", address, "-id", "t1", "b1", "500")
	is.Equal(exit, cli.ExitFailure)
	is.True(strings.Contains(out, "platform_down"))
	is.NoErr(s.SetFaults(standin.Faults{}))
	_, exit = run("show", "-platform", address)
	is.Equal(exit, cli.ExitFailure) // there is no budget, as the top-up was not applied
}

func TestInvalidArgumentsAreUsageErrors(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{
		{"show"},
		{"top-up", "-platform", "x:1", "b1", "500"},
		{"top-up", "-platform", "x:1", "-id", "t", "b1", "many"},
		{"close-grant", "-platform", "x:1", "b1"},
		{"release", "-platform", "x:1", "b1", "d1"},
		{"unheard-of"},
	} {
		_, exit := run(args...)
		is.Equal(exit, cli.ExitUsageError)
	}
}
