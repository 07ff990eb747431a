// Package demo holds the command `demo`: a small deployment in one process,
// with the platform and the targets as stand-ins, that serves sample requests.
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
	// platformTimeout bounds one platform call of the demo itself.
	platformTimeout = 5 * time.Second
	// operatorTimeout bounds one call of an operator door.
	operatorTimeout = 5 * time.Second
	// stopLimit bounds the planned stop.
	stopLimit = 30 * time.Second
)

// Commands returns the command `demo`.
func Commands(env cli.Env) []subcommands.Command {
	return []subcommands.Command{&command{env: env}}
}

type command struct {
	env  cli.Env
	once bool
	json bool
	logs string
	seed uint64
}

// Name implements subcommands.Command.
func (c *command) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return "run a small deployment and serve sample requests" }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return `demo [flags]: run the platform, three engines and a plain service as
stand-ins and three routers in one process, apply a sheet, serve a streamed
model call, a lookup and an action, and print answers, bills and time line.
With --once it stops then; without, it stays and prints its addresses and a
curl line, until SIGINT. Exits 1 when anything was not served as it should.
`
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.once, "once", false, "stop after the sample requests")
	f.BoolVar(&c.json, "json", false, "print JSON lines")
	f.StringVar(&c.logs, "log", "error", "`level` of the routers' logs on standard error: debug, info, warn, error")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the engines' answers")
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return c.env.UsageError("demo", "unexpected argument %q", f.Arg(0))
	}
	level, err := zapcore.ParseLevel(c.logs)
	if err != nil {
		return c.env.UsageError("demo", "%v", err)
	}
	logs := zap.NewDevelopmentConfig()
	logs.Level = zap.NewAtomicLevelAt(level)
	logs.DisableStacktrace = true
	log, err := logs.Build()
	if err == nil {
		err = c.run(ctx, log)
	}
	if err != nil {
		return c.env.Fail("demo", err)
	}
	return cli.ExitSuccess
}

// run starts everything, shows it and stops it in order.
func (c *command) run(ctx context.Context, log *zap.Logger) error {
	out, err := startOutside(c.seed)
	if err != nil {
		return trace.Wrap(err)
	}
	defer out.close()
	fleet, err := startRouters(out.platform.Addr(), log)
	if err == nil {
		out.platform.SetVMs(fleet.vms)
		err = c.show(ctx, out, fleet)
	}
	if err == nil && !c.once {
		c.stay(ctx, out, fleet)
	}
	return trace.NewAggregate(err, fleet.stop(stopLimit))
}

// show applies the sheet, makes the sample calls and prints what came.
func (c *command) show(ctx context.Context, out *outside, fleet *routers) error {
	p, err := platformclient.Dial(out.platform.Addr(), platformTimeout)
	if err != nil {
		return trace.Wrap(err)
	}
	defer p.Close()
	version, err := applySheet(ctx, p, sheetText(out.targets))
	if err != nil {
		return trace.Wrap(err)
	}
	err = fleet.waitInForce(ctx, version)
	if err != nil {
		return trace.Wrap(err)
	}
	w := writer{env: c.env, json: c.json}
	w.inForce(version, len(fleet.nodes))
	err = makeCalls(ctx, fleet, w)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.showBills(ctx, p, fleet, w)
}

// makeCalls makes the sample calls one after the other.
func makeCalls(ctx context.Context, fleet *routers, w writer) error {
	doors := fleet.callers()
	for _, call := range sampleCalls {
		w.calling(call, fleet.vms[call.router].Name)
		done, err := call.make(ctx, doors[call.router], w.token)
		if err != nil {
			return trace.Wrap(err)
		}
		w.served(done)
	}
	return nil
}

// showBills prints the bills, the budget and the first call's time line, and
// checks that the budget paid the bills and nothing else.
func (c *command) showBills(ctx context.Context, p platformclient.Platform, fleet *routers, w writer) error {
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

// checkBills compares what the budget spent with the bills.
func checkBills(bills []bill, row *pb.BudgetRow) error {
	var sum int64
	for _, b := range bills {
		sum += b.Tokens
	}
	if row.Spent != sum {
		return trace.CompareFailed("the budget spent %d tokens, the bills say %d", row.Spent, sum)
	}
	return nil
}

// readTimeline merges the routers' events of a request.
func readTimeline(ctx context.Context, fleet *routers, request string) ([]*pb.Event, error) {
	var lists [][]*pb.Event
	for _, address := range fleet.operators() {
		list, err := operator.New(address, "", operatorTimeout).Timeline(ctx, &pb.EventFilter{RequestId: request})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		lists = append(lists, list)
	}
	return timeline.Merge(lists...), nil
}

// stay prints the addresses and waits for the end.
func (c *command) stay(ctx context.Context, out *outside, fleet *routers) {
	writer{env: c.env, json: c.json}.addresses(out, fleet)
	<-ctx.Done()
}
