// Package cli is what the commands of cuminrockctl share: output as text or
// JSON, exit codes and nested commands.
//
// A command exits 0 when it is done, 1 when its outcome is negative and 2
// when it was called wrongly.
package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// Exit codes.
const (
	ExitSuccess    = subcommands.ExitSuccess
	ExitFailure    = subcommands.ExitFailure
	ExitUsageError = subcommands.ExitUsageError
)

// Env is where a command writes.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
}

// OS returns the Env of the process.
func OS() Env { return Env{Stdout: os.Stdout, Stderr: os.Stderr} }

// Fail tells an error and returns the exit code of a negative outcome.
func (e Env) Fail(command string, err error) subcommands.ExitStatus {
	fmt.Fprintf(e.Stderr, "cuminrockctl %s: %v\n", command, err)
	return ExitFailure
}

// UsageError tells how a command was called wrongly.
func (e Env) UsageError(command, format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(e.Stderr, "cuminrockctl %s: %s\n", command, fmt.Sprintf(format, args...))
	return ExitUsageError
}

// PrintJSON writes one message as a line of PrintJSON.
func (e Env) PrintJSON(message any) error {
	return json.NewEncoder(e.Stdout).Encode(message)
}

// Printf writes text.
func (e Env) Printf(format string, args ...any) {
	fmt.Fprintf(e.Stdout, format, args...)
}

// Group is a command that only holds other commands.
type Group struct {
	env      Env
	name     string
	synopsis string
	commands []subcommands.Command
}

// NewGroup returns a group of commands.
func NewGroup(env Env, name, synopsis string, commands ...subcommands.Command) *Group {
	return &Group{env: env, name: name, synopsis: synopsis, commands: commands}
}

// Name implements subcommands.Command.
func (g *Group) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *Group) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *Group) Usage() string {
	usage := fmt.Sprintf("%s <command> [flags]: %s\n\n", g.name, g.synopsis)
	for _, c := range g.commands {
		usage += fmt.Sprintf("  %-14s %s\n", c.Name(), c.Synopsis())
	}
	return usage + fmt.Sprintf("\n%s help <command> tells a command's flags.\n", g.name)
}

// SetFlags implements subcommands.Command.
func (g *Group) SetFlags(*flag.FlagSet) {}

// Execute runs the command that the first argument names.
func (g *Group) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	inner := flag.NewFlagSet(g.name, flag.ContinueOnError)
	inner.SetOutput(g.env.Stderr)
	commander := subcommands.NewCommander(inner, "cuminrockctl "+g.name)
	commander.Output = g.env.Stdout
	commander.Error = g.env.Stderr
	commander.Register(commander.HelpCommand(), "")
	for _, c := range g.commands {
		commander.Register(c, "")
	}
	err := inner.Parse(f.Args())
	if err != nil {
		return ExitUsageError
	}
	return commander.Execute(ctx, args...)
}
