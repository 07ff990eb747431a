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

// statusCommand prints the status of each router.
type statusCommand struct {
	env         cli.Env
	routerFlags operator.Flags
	json        bool
}

// Name implements subcommands.Command.
func (s *statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (s *statusCommand) Synopsis() string { return "show the status of each router" }

// Usage implements subcommands.Command.
func (s *statusCommand) Usage() string {
	return `status --routers host:port,... [flags]: show the status of each router.
Exits 1 if a router does not respond or is not ready, or if the routers have
different versions of the configuration in force.
`
}

// SetFlags implements subcommands.Command.
func (s *statusCommand) SetFlags(f *flag.FlagSet) {
	s.routerFlags.SetFlags(f)
	f.BoolVar(&s.json, "json", false, "print one line of JSON per router")
}

// routerLine is the JSON output for one router.
type routerLine struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *operator.Status `json:"status,omitempty"`
}

// Execute implements subcommands.Command.
func (s *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	clients, err := s.routerFlags.Clients()
	if err != nil || f.NArg() > 0 {
		return s.env.UsageError("status", "%v", argumentError(err, f))
	}
	responses := queryAll(clients, func(c *operator.Client) (*operator.Status, error) { return c.Status(ctx) })
	if s.json {
		s.printJSON(responses)
	} else {
		s.printText(responses)
	}
	if allHealthy(responses) {
		return cli.ExitSuccess
	}
	return cli.ExitFailure
}

// argumentError returns a message about the first invalid argument.
func argumentError(err error, f *flag.FlagSet) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("unexpected argument %q", f.Arg(0))
}

// allHealthy reports whether all routers are ready and have the same version of
// the configuration in force.
func allHealthy(responses []routerResponse[*operator.Status]) bool {
	for _, resp := range responses {
		if resp.err != nil || !resp.value.Ready {
			return false
		}
		if resp.value.ConfigVersion != responses[0].value.ConfigVersion {
			return false
		}
	}
	return true
}

func (s *statusCommand) printJSON(responses []routerResponse[*operator.Status]) {
	for _, resp := range responses {
		line := routerLine{Address: resp.address, Status: resp.value}
		if resp.err != nil {
			line.Error = resp.err.Error()
		}
		_ = s.env.PrintJSON(line)
	}
}

func (s *statusCommand) printText(responses []routerResponse[*operator.Status]) {
	table := tabwriter.NewWriter(s.env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTER\tDATA CENTRE\tADDRESS\tREADY\tCONFIG\tSTREAMS\tMEMBERS\tNOTE")
	for _, resp := range responses {
		if resp.err != nil {
			fmt.Fprintf(table, "-\t-\t%s\tno\t-\t-\t-\t%v\n", resp.address, resp.err)
			continue
		}
		r := resp.value
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", r.Name, r.DataCentre, resp.address, yesNo(r.Ready), r.ConfigVersion, r.Streams, len(r.Members), note(r))
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
