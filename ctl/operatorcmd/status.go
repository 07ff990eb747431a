package operatorcmd

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"

	"github.com/google/subcommands"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/ctl/operator"
)

// status tells the state of each router.
type status struct {
	env   cli.Env
	fleet operator.Flags
	json  bool
}

// Name implements subcommands.Command.
func (s *status) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (s *status) Synopsis() string { return "tell the state of each router" }

// Usage implements subcommands.Command.
func (s *status) Usage() string {
	return `status --routers host:port,... [flags]: tell the state of each router.
Exits 1 when a router does not answer, is not ready, or when the versions of
the configuration in force differ.
`
}

// SetFlags implements subcommands.Command.
func (s *status) SetFlags(f *flag.FlagSet) {
	s.fleet.SetFlags(f)
	f.BoolVar(&s.json, "json", false, "print a JSON line a router")
}

// routerLine is one router in JSON.
type routerLine struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *operator.Status `json:"status,omitempty"`
}

// Execute implements subcommands.Command.
func (s *status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	clients, err := s.fleet.Clients()
	if err != nil || f.NArg() > 0 {
		return s.env.UsageError("status", "%v", firstFault(err, f))
	}
	answers := askAll(clients, func(c *operator.Client) (*operator.Status, error) { return c.Status(ctx) })
	if s.json {
		s.printJSON(answers)
	} else {
		s.printText(answers)
	}
	if healthy(answers) {
		return cli.ExitSuccess
	}
	return cli.ExitFailure
}

// firstFault names what is wrong with a command line.
func firstFault(err error, f *flag.FlagSet) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("unexpected argument %q", f.Arg(0))
}

// healthy tells whether all routers are ready with one configuration.
func healthy(answers []asked[*operator.Status]) bool {
	for _, a := range answers {
		if a.err != nil || !a.answer.Ready {
			return false
		}
		if a.answer.ConfigVersion != answers[0].answer.ConfigVersion {
			return false
		}
	}
	return true
}

func (s *status) printJSON(answers []asked[*operator.Status]) {
	for _, a := range answers {
		line := routerLine{Address: a.address, Status: a.answer}
		if a.err != nil {
			line.Error = a.err.Error()
		}
		_ = s.env.PrintJSON(line)
	}
}

func (s *status) printText(answers []asked[*operator.Status]) {
	table := tabwriter.NewWriter(s.env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTER\tDATA CENTRE\tADDRESS\tREADY\tCONFIG\tSTREAMS\tMEMBERS\tNOTE")
	for _, a := range answers {
		if a.err != nil {
			fmt.Fprintf(table, "-\t-\t%s\tno\t-\t-\t-\t%v\n", a.address, a.err)
			continue
		}
		r := a.answer
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", r.Name, r.DataCentre, a.address, yesNo(r.Ready), r.ConfigVersion, r.Streams, len(r.Members), note(r))
	}
	table.Flush()
}

func note(r *operator.Status) string {
	if r.Draining {
		return "draining"
	}
	return r.Reason
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
