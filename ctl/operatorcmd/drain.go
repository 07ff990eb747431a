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

// drainPoll is the time between two looks at a draining router.
const drainPoll = 200 * time.Millisecond

// drain orders a planned stop of routers.
type drain struct {
	env   cli.Env
	fleet operator.Flags
	wait  time.Duration
	json  bool
}

// Name implements subcommands.Command.
func (d *drain) Name() string { return "drain" }

// Synopsis implements subcommands.Command.
func (d *drain) Synopsis() string { return "stop routers without cutting a request" }

// Usage implements subcommands.Command.
func (d *drain) Usage() string {
	return `drain --routers host:port,... [flags]: order a planned stop of these routers.
With --wait it waits until each has stopped. Exits 1 when a router does not
take the order or has not stopped in time.
`
}

// SetFlags implements subcommands.Command.
func (d *drain) SetFlags(f *flag.FlagSet) {
	d.fleet.SetFlags(f)
	f.DurationVar(&d.wait, "wait", 0, "longest `time` to wait until the routers have stopped (default not at all)")
	f.BoolVar(&d.json, "json", false, "print a JSON line a router")
}

// drainLine is the outcome for one router.
type drainLine struct {
	Address string `json:"address"`
	// Outcome is draining, stopped or failed.
	Outcome string `json:"outcome"`
	Error   string `json:"error,omitempty"`
}

// The outcomes.
const (
	outcomeDraining = "draining"
	outcomeStopped  = "stopped"
	outcomeFailed   = "failed"
)

// Execute implements subcommands.Command.
func (d *drain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	clients, err := d.fleet.Clients()
	if err != nil || f.NArg() > 0 {
		return d.env.UsageError("drain", "%v", firstFault(err, f))
	}
	answers := askAll(clients, func(c *operator.Client) (string, error) { return d.drain(ctx, c) })
	exit := cli.ExitSuccess
	for _, a := range answers {
		line := drainLine{Address: a.address, Outcome: a.answer}
		if a.err != nil {
			exit = cli.ExitFailure
			line.Error = a.err.Error()
		}
		d.print(line)
	}
	return exit
}

// drain orders the stop of one router and waits for it where asked.
func (d *drain) drain(ctx context.Context, c *operator.Client) (string, error) {
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
		wait.For(ctx, drainPoll)
	}
}

func (d *drain) print(line drainLine) {
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
