package operatorcmd

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/ctl/operator"
	"cuminrock.example/router/wait"
)

// drainPollInterval is the time between two status requests to a draining router.
const drainPollInterval = 200 * time.Millisecond

// drainCommand requests a graceful stop of routers.
type drainCommand struct {
	env         cli.Env
	routerFlags operator.Flags
	wait        time.Duration
	json        bool
}

// Name implements subcommands.Command.
func (d *drainCommand) Name() string { return "drain" }

// Synopsis implements subcommands.Command.
func (d *drainCommand) Synopsis() string {
	return "stop routers gracefully, without breaking off a request"
}

// Usage implements subcommands.Command.
func (d *drainCommand) Usage() string {
	return `drain --routers host:port,... [flags]: request a graceful stop of these routers.
With --wait it waits until each has stopped. Exits 1 if a router does not accept
the request or has not stopped in time.
`
}

// SetFlags implements subcommands.Command.
func (d *drainCommand) SetFlags(f *flag.FlagSet) {
	d.routerFlags.SetFlags(f)
	f.DurationVar(&d.wait, "wait", 0, "longest `time` to wait until the routers have stopped (default no wait)")
	f.BoolVar(&d.json, "json", false, "print one line of JSON per router")
}

// drainLine is the output for one router.
type drainLine struct {
	Address string `json:"address"`
	// Outcome is one of the outcomes below.
	Outcome string `json:"outcome"`
	Error   string `json:"error,omitempty"`
}

// Outcomes of a drain request.
const (
	outcomeDraining = "draining"
	outcomeStopped  = "stopped"
	outcomeFailed   = "failed"
)

// Execute implements subcommands.Command.
func (d *drainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	clients, err := d.routerFlags.Clients()
	if err != nil || f.NArg() > 0 {
		return d.env.UsageError("drain", "%v", argumentError(err, f))
	}
	responses := queryAll(clients, func(c *operator.Client) (string, error) { return d.drainRouter(ctx, c) })
	exit := cli.ExitSuccess
	for _, resp := range responses {
		line := drainLine{Address: resp.address, Outcome: resp.value}
		if resp.err != nil {
			exit = cli.ExitFailure
			line.Error = resp.err.Error()
		}
		d.print(line)
	}
	return exit
}

// drainRouter requests the stop of one router and waits for it if --wait is set.
func (d *drainCommand) drainRouter(ctx context.Context, c *operator.Client) (string, error) {
	err := c.Drain(ctx)
	if err != nil {
		return outcomeFailed, trace.Wrap(err)
	}
	if d.wait <= 0 {
		return outcomeDraining, nil
	}
	ctx, cancel := context.WithTimeout(ctx, d.wait)
	defer cancel()
	for {
		_, err := c.Status(ctx)
		if ctx.Err() != nil {
			return outcomeDraining, trace.LimitExceeded("router %s has not stopped in %s", c.Address(), d.wait)
		}
		if trace.IsConnectionProblem(err) {
			return outcomeStopped, nil
		}
		wait.For(ctx, drainPollInterval)
	}
}

func (d *drainCommand) print(line drainLine) {
	if d.json {
		_ = d.env.PrintJSON(line)
		return
	}
	if line.Error != "" {
		d.env.Printf("%s %s: %s\n", line.Address, line.Outcome, line.Error)
		return
	}
	d.env.Printf("%s %s\n", line.Address, line.Outcome)
}
