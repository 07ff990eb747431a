// Package cli holds what the commands of cuminrockctl share: output as text or
// JSON, exit codes and nested commands.
//
// A command exits with 0 on success, 1 on failure (an error or a negative
// result) and 2 on a usage error.
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

// Env holds the output streams of a command.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
}

// OS returns the standard output streams of the process.
func OS() Env { return Env{Stdout: os.Stdout, Stderr: os.Stderr} }

// Fail prints an error and returns ExitFailure.
func (e Env) Fail(command string, err error) subcommands.ExitStatus {
	fmt.Fprintf(e.Stderr, "cuminrockctl %s: %v\n", command, err)
	return ExitFailure
}

// UsageError prints why the arguments of a command are invalid and returns
// ExitUsageError.
func (e Env) UsageError(command, format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(e.Stderr, "cuminrockctl %s: %s\n", command, fmt.Sprintf(format, args...))
	return ExitUsageError
}

// PrintJSON prints a message as one line of JSON.
func (e Env) PrintJSON(message any) error {
	return json.NewEncoder(e.Stdout).Encode(message)
}

// Printf prints formatted text.
func (e Env) Printf(format string, args ...any) {
	fmt.Fprintf(e.Stdout, format, args...)
}

// Group is a command that consists of subcommands.
type Group struct {
	env      Env
	name     string
	synopsis string
	commands []subcommands.Command
}

// NewGroup returns a command with these subcommands.
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
	return usage + fmt.Sprintf("\n%s help <command> shows a command's flags.\n", g.name)
}

// SetFlags implements subcommands.Command.
func (g *Group) SetFlags(*flag.FlagSet) {}

// Execute runs the subcommand that the first argument names.
func (g *Group) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	groupFlags := flag.NewFlagSet(g.name, flag.ContinueOnError)
	groupFlags.SetOutput(g.env.Stderr)
	commander := subcommands.NewCommander(groupFlags, "cuminrockctl "+g.name)
	commander.Output = g.env.Stdout
	commander.Error = g.env.Stderr
	commander.Register(commander.HelpCommand(), "")
	for _, c := range g.commands {
		commander.Register(c, "")
	}
	err := groupFlags.Parse(f.Args())
	if err != nil {
		return ExitUsageError
	}
	return commander.Execute(ctx, args...)
}
