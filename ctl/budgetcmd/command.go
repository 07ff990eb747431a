// Package budgetcmd holds the commands that show budgets and make the changes
// that only an operator may make: manual top-ups, closing the grants of dead
// holders and releasing tokens in doubt.
package budgetcmd

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/router/platformclient"
)

// defaultTimeout bounds one call to the platform.
const defaultTimeout = 5 * time.Second

// Commands returns the command group budget.
func Commands(env cli.Env) []subcommands.Command {
	return []subcommands.Command{cli.NewGroup(env, "budget", "show budgets, top up, close grants, release tokens in doubt",
		&command{env: env, operation: &show{}},
		&command{env: env, operation: &topUp{}},
		&command{env: env, operation: &closeGrant{}},
		&command{env: env, operation: &release{}},
	)}
}

// operation is one operation on budgets.
type operation interface {
	// help returns the command's name, the arguments and the synopsis.
	help() (name, arguments, synopsis string)
	// setFlags adds the operation's own flags.
	setFlags(f *flag.FlagSet)
	// parseArgs parses the positional arguments.
	parseArgs(args []string) error
	// run executes the operation and returns the result to print.
	run(ctx context.Context, p platformclient.Platform) (result, error)
}

// result is what an operation prints.
type result interface {
	// printText prints the result as text.
	printText(env cli.Env)
	// failed reports whether the command exits with ExitFailure, for example
	// because there was nothing to show or release.
	failed() bool
}

// command implements subcommands.Command for an operation.
type command struct {
	env       cli.Env
	operation operation
	address   string
	timeout   time.Duration
	json      bool
}

// Name implements subcommands.Command.
func (c *command) Name() string {
	name, _, _ := c.operation.help()
	return name
}

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string {
	_, _, synopsis := c.operation.help()
	return synopsis
}

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	name, arguments, synopsis := c.operation.help()
	return fmt.Sprintf("budget %s --platform host:port [flags] %s: %s.\n", name, arguments, synopsis)
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "platform", "", "`host:port` of the platform; required")
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "timeout of one call to the platform")
	f.BoolVar(&c.json, "json", false, "print JSON")
	c.operation.setFlags(f)
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name := "budget " + c.Name()
	if c.address == "" {
		return c.env.UsageError(name, "--platform is required")
	}
	err := c.operation.parseArgs(f.Args())
	if err != nil {
		return c.env.UsageError(name, "%v", err)
	}
	p, err := platformclient.Dial(c.address, c.timeout)
	if err != nil {
		return c.env.Fail(name, err)
	}
	defer p.Close()
	res, err := c.operation.run(ctx, p)
	if err != nil {
		return c.env.Fail(name, err)
	}
	return c.print(name, res)
}

func (c *command) print(name string, res result) subcommands.ExitStatus {
	if c.json {
		err := c.env.PrintJSON(res)
		if err != nil {
			return c.env.Fail(name, err)
		}
	} else {
		res.printText(c.env)
	}
	if res.failed() {
		return cli.ExitFailure
	}
	return cli.ExitSuccess
}
