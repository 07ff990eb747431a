// Package demo holds the command demo: a small deployment in one process that
// serves sample requests, with stand-ins for the platform and the targets.
package demo

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/ctl/cli"
	"cuminrock.example/ctl/operator"
	"cuminrock.example/fleet/timeline"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/platformclient"
)

const (
	// platformTimeout bounds one call of the demo itself to the platform.
	platformTimeout = 5 * time.Second
	// operatorTimeout bounds one call to an operator API.
	operatorTimeout = 5 * time.Second
	// stopTimeout bounds the graceful stop of the routers.
	stopTimeout = 30 * time.Second
)

// Commands returns the command demo.
func Commands(env cli.Env) []subcommands.Command {
	return []subcommands.Command{&command{env: env}}
}

type command struct {
	env      cli.Env
	once     bool
	json     bool
	logLevel string
	seed     uint64
}

// Name implements subcommands.Command.
func (c *command) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return "run a small deployment and serve sample requests" }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return `demo [flags]: run stand-ins of the platform, three engines and a plain
service and three routers in one process, apply a sheet, serve a streamed model
call, a lookup and an action, and print responses, bills and a timeline. With
--once it then stops; without it, it prints its addresses and a curl command and
runs until SIGINT. Exits 1 if anything was not served as expected.
`
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.once, "once", false, "stop after the sample requests")
	f.BoolVar(&c.json, "json", false, "print JSON lines")
	f.StringVar(&c.logLevel, "log", "error", "`level` of the routers' logs on standard error: debug, info, warn, error")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the engines' responses")
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return c.env.UsageError("demo", "unexpected argument %q", f.Arg(0))
	}
	level, err := zapcore.ParseLevel(c.logLevel)
	if err != nil {
		return c.env.UsageError("demo", "%v", err)
	}
	logConfig := zap.NewDevelopmentConfig()
	logConfig.Level = zap.NewAtomicLevelAt(level)
	logConfig.DisableStacktrace = true
	log, err := logConfig.Build()
	if err == nil {
		err = c.run(ctx, log)
	}
	if err != nil {
		return c.env.Fail("demo", err)
	}
	return cli.ExitSuccess
}

// run starts the deployment, runs the sample calls and stops everything in
// reverse order.
func (c *command) run(ctx context.Context, log *zap.Logger) error {
	deps, err := startDependencies(c.seed)
	if err != nil {
		return trace.Wrap(err)
	}
	defer deps.close()
	fleet, err := startRouters(deps.platform.Addr(), log)
	if err == nil {
		deps.platform.SetVMs(fleet.vms)
		err = c.runSamples(ctx, deps, fleet)
	}
	if err == nil && !c.once {
		c.waitForInterrupt(ctx, deps, fleet)
	}
	return trace.NewAggregate(err, fleet.stop(stopTimeout))
}

// runSamples applies the sheet, makes the sample calls and prints the results.
func (c *command) runSamples(ctx context.Context, deps *dependencies, fleet *routers) error {
	p, err := platformclient.Dial(deps.platform.Addr(), platformTimeout)
	if err != nil {
		return trace.Wrap(err)
	}
	defer p.Close()
	version, err := applySheet(ctx, p, sheetText(deps.targets))
	if err != nil {
		return trace.Wrap(err)
	}
	err = fleet.waitForVersion(ctx, version)
	if err != nil {
		return trace.Wrap(err)
	}
	w := writer{env: c.env, json: c.json}
	w.inForce(version, len(fleet.nodes))
	err = sendCalls(ctx, fleet, w)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.reportBills(ctx, p, fleet, w)
}

// sendCalls makes the sample calls one after the other.
func sendCalls(ctx context.Context, fleet *routers, w writer) error {
	addresses := fleet.callerAddresses()
	for _, call := range sampleCalls {
		w.callStarted(call, fleet.vms[call.router].Name)
		result, err := call.send(ctx, addresses[call.router], w.token)
		if err != nil {
			return trace.Wrap(err)
		}
		w.result(result)
	}
	return nil
}

// reportBills prints the bills, the budget and the first call's timeline, and
// checks that the budget's spent tokens are exactly those of the bills.
func (c *command) reportBills(ctx context.Context, p platformclient.Platform, fleet *routers, w writer) error {
	bills, err := waitForBills(ctx, p, distinctKeys())
	if err != nil {
		return trace.Wrap(err)
	}
	status, err := ledger.Status(ctx, p, budgetName)
	if err != nil {
		return trace.Wrap(err)
	}
	w.bills(bills, status.Budget)
	events, err := readTimeline(ctx, fleet, requestID(sampleCalls[0].key))
	if err != nil {
		return trace.Wrap(err)
	}
	w.timeline(events)
	return checkBills(bills, status.Budget)
}

// checkBills checks that the tokens that the budget spent are the sum of the
// bills.
func checkBills(bills []bill, budgetRow *pb.BudgetRow) error {
	var sum int64
	for _, b := range bills {
		sum += b.Tokens
	}
	if budgetRow.Spent != sum {
		return trace.CompareFailed("the budget spent %d tokens, but the bills amount to %d", budgetRow.Spent, sum)
	}
	return nil
}

// readTimeline reads the events of a request from all routers and merges them.
func readTimeline(ctx context.Context, fleet *routers, request string) ([]*pb.Event, error) {
	var lists [][]*pb.Event
	for _, address := range fleet.operatorAddresses() {
		list, err := operator.New(address, "", operatorTimeout).Timeline(ctx, &pb.EventFilter{RequestId: request})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		lists = append(lists, list)
	}
	return timeline.Merge(lists...), nil
}

// waitForInterrupt prints the addresses and waits until ctx is cancelled.
func (c *command) waitForInterrupt(ctx context.Context, deps *dependencies, fleet *routers) {
	writer{env: c.env, json: c.json}.addresses(deps, fleet)
	<-ctx.Done()
}
