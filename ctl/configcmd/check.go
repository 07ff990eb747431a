// Package configcmd provides the command that checks a configuration of a hosting
// platform before it is sent.
package configcmd

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/catalogcheck"
	"cuminrock.example/platform/operatorconfig"
)

// Commands returns the commands.
func Commands(env cli.Env) []subcommands.Command { return []subcommands.Command{&check{env: env}} }

// check is the command config-check.
type check struct {
	env     cli.Env
	json    bool
	inForce string
}

// Name implements subcommands.Command.
func (*check) Name() string { return "config-check" }

// Synopsis implements subcommands.Command.
func (*check) Synopsis() string { return "check a platform configuration before it is sent" }

// Usage implements subcommands.Command.
func (*check) Usage() string {
	return `config-check [--json] [--in-force FILE] FILE
Checks a configuration, as it is written to the platform's store: errors, entries
that can never match a request, and limits that contradict each other. With
--in-force it also lists what differs from that configuration. Reads files only.
Exits 1 if it finds anything wrong.
`
}

// SetFlags implements subcommands.Command.
func (c *check) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print the result as JSON")
	f.StringVar(&c.inForce, "in-force", "", "`FILE` with the configuration that is in force")
}

// result is the JSON output.
type result struct {
	Findings []string `json:"findings"`
	Changes  []string `json:"changes"`
}

// Execute implements subcommands.Command.
func (c *check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.env.UsageError(c.Name(), "one FILE is required")
	}
	next, err := read(f.Arg(0))
	if err != nil {
		return c.env.Fail(c.Name(), err)
	}
	r := result{Findings: []string{}, Changes: []string{}}
	for _, finding := range catalogcheck.Check(next) {
		r.Findings = append(r.Findings, finding.String())
	}
	if c.inForce != "" {
		inForce, err := read(c.inForce)
		if err != nil {
			return c.env.Fail(c.Name(), err)
		}
		r.Changes = append(r.Changes, catalogcheck.Diff(inForce, next)...)
	}
	c.print(r)
	if len(r.Findings) > 0 {
		return cli.ExitFailure
	}
	return cli.ExitSuccess
}

func (c *check) print(r result) {
	if c.json {
		// An error only means that nobody reads the output.
		_ = c.env.PrintJSON(r)
		return
	}
	for _, line := range r.Findings {
		c.env.Printf("%s\n", line)
	}
	for _, line := range r.Changes {
		c.env.Printf("changes: %s\n", line)
	}
	if len(r.Findings) == 0 {
		c.env.Printf("nothing is wrong\n")
	}
}

// read reads a configuration from a file.
func read(path string) (catalog.Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return catalog.Spec{}, trace.ConvertSystemError(err)
	}
	spec, err := operatorconfig.ParseSpec(data)
	return spec, trace.Wrap(err, "%s", path)
}
