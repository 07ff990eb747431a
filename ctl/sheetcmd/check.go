package sheetcmd

import (
	"context"
	"errors"
	"flag"

	"github.com/google/subcommands"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/fleet/sheet"
	"cuminrock.example/router/settings"
)

// settingsCheck is the command settings-check.
type settingsCheck struct {
	commonOptions
	gateway bool
}

// Name implements subcommands.Command.
func (*settingsCheck) Name() string { return "settings-check" }

// Synopsis implements subcommands.Command.
func (*settingsCheck) Synopsis() string { return "check settings files of routers or gateways" }

// Usage implements subcommands.Command.
func (*settingsCheck) Usage() string {
	return `settings-check [--json] [--gateway] FILE...
Checks settings files, and that no two routers have the same name or the same
peer address. With --gateway the files are those of gateways on a hosting
platform. Reports each fault with the path of its field. Exits 1 on faults.
`
}

// SetFlags implements subcommands.Command.
func (c *settingsCheck) SetFlags(f *flag.FlagSet) {
	c.outputFlags(f)
	f.BoolVar(&c.gateway, "gateway", false, "check settings files of gateways")
}

// fileResult is the JSON output for one settings file.
type fileResult struct {
	File   string          `json:"file"`
	Router string          `json:"router,omitempty"`
	Faults settings.Faults `json:"faults"`
}

// Execute implements subcommands.Command.
func (c *settingsCheck) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.env.UsageError(c.Name(), "at least one FILE is required")
	}
	check := checkFiles
	if c.gateway {
		check = checkGatewayFiles
	}
	results := check(f.Args())
	status := cli.ExitSuccess
	for _, r := range results {
		if len(r.Faults) > 0 {
			status = cli.ExitFailure
		}
		c.printResult(r)
	}
	if c.json {
		_ = c.env.PrintJSON(results)
	}
	return status
}

func (c *settingsCheck) printResult(r fileResult) {
	if c.json {
		return
	}
	if len(r.Faults) == 0 {
		c.env.Printf("%s: router %s is good\n", r.File, r.Router)
	}
	for _, fault := range r.Faults {
		c.env.Printf("%s: %s\n", r.File, fault)
	}
}

// checkGatewayFiles checks each settings file of a gateway.
func checkGatewayFiles(files []string) []fileResult {
	results := make([]fileResult, len(files))
	for i, file := range files {
		results[i] = fileResult{File: file, Faults: settings.Faults{}}
		s, err := settings.LoadGateway(file)
		var faults settings.Faults
		if errors.As(err, &faults) {
			results[i].Faults = faults
			continue
		}
		results[i].Router = s.Name
	}
	return results
}

// checkFiles checks each settings file of a router, and that names and peer
// addresses are unique among the files.
func checkFiles(files []string) []fileResult {
	results := make([]fileResult, len(files))
	names := make(map[string]string)
	peerAddresses := make(map[string]string)
	for i, file := range files {
		r := fileResult{File: file, Faults: settings.Faults{}}
		s, err := settings.Load(file)
		var faults settings.Faults
		if errors.As(err, &faults) {
			r.Faults = faults
		}
		if err == nil {
			r.Router = s.Name
			r.Faults = append(r.Faults, duplicateFault(names, s.Name, "name", file)...)
			r.Faults = append(r.Faults, duplicateFault(peerAddresses, s.Doors.Peer, "doors.peer", file)...)
		}
		results[i] = r
	}
	return results
}

// duplicateFault returns a fault if an earlier file has the same value in the
// field at path. Otherwise it records the value.
func duplicateFault(seen map[string]string, value, path, file string) settings.Faults {
	first, found := seen[value]
	if found {
		return settings.Faults{{Path: path, Reason: value + " is used in " + first + " too"}}
	}
	seen[value] = file
	return nil
}

// sheetCheck is the command sheet-check.
type sheetCheck struct {
	commonOptions
}

// Name implements subcommands.Command.
func (*sheetCheck) Name() string { return "sheet-check" }

// Synopsis implements subcommands.Command.
func (*sheetCheck) Synopsis() string { return "check a sheet without applying it" }

// Usage implements subcommands.Command.
func (*sheetCheck) Usage() string {
	return `sheet-check [--platform host:port] [--json] FILE
Reports every fault with line, column and reason. A sheet that leaves out kinds
of records is checked against the latest configuration, which needs
--platform; without it only its lines are checked. Exits 1 on faults.
`
}

// SetFlags implements subcommands.Command.
func (c *sheetCheck) SetFlags(f *flag.FlagSet) {
	c.outputFlags(f)
	c.platformFlags(f, "`host:port` of the platform; optional")
}

// checkResult is the output for a sheet without faults.
type checkResult struct {
	Services   int `json:"services"`
	Targets    int `json:"targets"`
	Workspaces int `json:"workspaces"`
	Budgets    int `json:"budgets"`
	Shifts     int `json:"shifts"`
	TopUps     int `json:"top_ups"`
	// References is true if the names that the records refer to were looked up,
	// in the sheet or in the latest configuration.
	References bool `json:"references_checked"`
}

// Execute implements subcommands.Command.
func (c *sheetCheck) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.env.UsageError(c.Name(), "one FILE is required")
	}
	s, err := readSheet(f.Arg(0))
	if err != nil {
		return c.fail(c.Name(), err)
	}
	references := true
	switch {
	case c.address != "":
		_, err = c.dialAndPlan(ctx, s)
	case s.DeclaresAllKinds():
		err = sheet.Check(s)
	default:
		references = false
	}
	if err != nil {
		return c.fail(c.Name(), err)
	}
	c.printResult(s, references)
	return cli.ExitSuccess
}

func (c *sheetCheck) printResult(s *sheet.Sheet, references bool) {
	r := checkResult{
		Services:   len(s.Services),
		Targets:    len(s.Targets),
		Workspaces: len(s.Workspaces),
		Budgets:    len(s.Budgets),
		Shifts:     len(s.Shifts),
		TopUps:     len(s.TopUps),
		References: references,
	}
	if c.json {
		_ = c.env.PrintJSON(r)
		return
	}
	c.env.Printf("good: %d services, %d targets, %d workspaces, %d budgets, %d shift lines, %d top-ups\n",
		r.Services, r.Targets, r.Workspaces, r.Budgets, r.Shifts, r.TopUps)
	if !references {
		c.env.Printf("references were not checked, as the sheet leaves out kinds of records; use --platform to check them\n")
	}
}
