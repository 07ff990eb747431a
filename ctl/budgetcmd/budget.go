// Package budgetcmd holds the commands that show budgets and settle what only
// an operator may decide: top-ups by hand, grants of dead holders and tokens
// in doubt.
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

// defaultTimeout bounds one call of the platform.
const defaultTimeout = 5 * time.Second

// Commands returns the group `budget`.
func Commands(env cli.Env) []subcommands.Command {
	return []subcommands.Command{cli.NewGroup(env, "budget", "show budgets, top up, close grants, release tokens in doubt",
		&command{env: env, operation: &show{}},
		&command{env: env, operation: &topUp{}},
		&command{env: env, operation: &closeGrant{}},
		&command{env: env, operation: &release{}},
	)}
}

// operation is one thing done to budgets.
type operation interface {
	// texts returns the name, the arguments and the synopsis.
	texts() (name, arguments, synopsis string)
	// flags adds the operation's own flags.
	flags(f *flag.FlagSet)
	// read takes the arguments.
	read(args []string) error
	// run does it and returns what to print.
	run(ctx context.Context, p platformclient.Platform) (result, error)
}

// result is what an operation prints.
type result interface {
	// text writes it for people.
	text(env cli.Env)
	// negative tells whether nothing was done.
	negative() bool
}

// command is an operation as a command.
type command struct {
	env       cli.Env
	operation operation
	address   string
	timeout   time.Duration
	json      bool
}

// Name implements subcommands.Command.
func (c *command) Name() string {
	name, _, _ := c.operation.texts()
	return name
}

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string {
	_, _, synopsis := c.operation.texts()
	return synopsis
}

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	name, arguments, synopsis := c.operation.texts()
	return fmt.Sprintf("budget %s --platform host:port [flags] %s: %s.\n", name, arguments, synopsis)
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "platform", "", "`host:port` of the platform; required")
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest wait for one answer of the platform")
	f.BoolVar(&c.json, "json", false, "print JSON")
	c.operation.flags(f)
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name := "budget " + c.Name()
	if c.address == "" {
		return c.env.UsageError(name, "--platform is required")
	}
	err := c.operation.read(f.Args())
	if err != nil {
		return c.env.UsageError(name, "%v", err)
	}
	p, err := platformclient.Dial(c.address, c.timeout)
	if err != nil {
		return c.env.Fail(name, err)
	}
	defer p.Close()
	done, err := c.operation.run(ctx, p)
	if err != nil {
		return c.env.Fail(name, err)
	}
	return c.print(name, done)
}

func (c *command) print(name string, done result) subcommands.ExitStatus {
	if c.json {
		err := c.env.PrintJSON(done)
		if err != nil {
			return c.env.Fail(name, err)
		}
	} else {
		done.text(c.env)
	}
	if done.negative() {
		return cli.ExitFailure
	}
	return cli.ExitSuccess
}
