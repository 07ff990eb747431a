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

// settingsCheck checks settings files.
type settingsCheck struct {
	shared
	gateway bool
}

// Name implements subcommands.Command.
func (*settingsCheck) Name() string { return "settings-check" }

// Synopsis implements subcommands.Command.
func (*settingsCheck) Synopsis() string { return "check settings files of routers" }

// Usage implements subcommands.Command.
func (*settingsCheck) Usage() string {
	return `settings-check [--json] [--gateway] FILE...
Checks settings files as a whole, and that no two routers have the same name or
peer door. With --gateway the files are those of gateways on a hosting platform. Names each fault with the path of its field. Exits 1 on faults.
`
}

// SetFlags implements subcommands.Command.
func (c *settingsCheck) SetFlags(f *flag.FlagSet) {
	c.outputFlags(f)
	f.BoolVar(&c.gateway, "gateway", false, "check settings of gateways")
}

// fileResult is the outcome for one settings file.
type fileResult struct {
	File   string          `json:"file"`
	Router string          `json:"router,omitempty"`
	Faults settings.Faults `json:"faults"`
}

// Execute implements subcommands.Command.
func (c *settingsCheck) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.env.UsageError(c.Name(), "a FILE is needed")
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
		c.tell(r)
	}
	if c.json {
		_ = c.env.PrintJSON(results)
	}
	return status
}

func (c *settingsCheck) tell(r fileResult) {
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

// checkGatewayFiles checks each file of a gateway.
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

// checkFiles checks each file, and all against each other.
func checkFiles(files []string) []fileResult {
	results := make([]fileResult, len(files))
	names := make(map[string]string)
	doors := make(map[string]string)
	for i, file := range files {
		r := fileResult{File: file, Faults: settings.Faults{}}
		s, err := settings.Load(file)
		var faults settings.Faults
		if errors.As(err, &faults) {
			r.Faults = faults
		}
		if err == nil {
			r.Router = s.Name
			r.Faults = append(r.Faults, taken(names, s.Name, "name", file)...)
			r.Faults = append(r.Faults, taken(doors, s.Doors.Peer, "doors.peer", file)...)
		}
		results[i] = r
	}
	return results
}

func taken(seen map[string]string, value, path, file string) settings.Faults {
	first, found := seen[value]
	if found {
		return settings.Faults{{Path: path, Reason: value + " stands in " + first + " too"}}
	}
	seen[value] = file
	return nil
}

// sheetCheck checks a sheet.
type sheetCheck struct {
	shared
}

// Name implements subcommands.Command.
func (*sheetCheck) Name() string { return "sheet-check" }

// Synopsis implements subcommands.Command.
func (*sheetCheck) Synopsis() string { return "check a sheet without applying it" }

// Usage implements subcommands.Command.
func (*sheetCheck) Usage() string {
	return `sheet-check [--platform host:port] [--json] FILE
Names every bad line with line, column and reason. A sheet that leaves out
kinds of records is checked against the configuration in force, which needs
--platform; without it only its lines are checked. Exits 1 on faults.
`
}

// SetFlags implements subcommands.Command.
func (c *sheetCheck) SetFlags(f *flag.FlagSet) {
	c.outputFlags(f)
	c.platformFlags(f, "`host:port` of the platform; optional")
}

// checkResult is the outcome for a good sheet.
type checkResult struct {
	Services   int `json:"services"`
	Targets    int `json:"targets"`
	Workspaces int `json:"workspaces"`
	Budgets    int `json:"budgets"`
	Shifts     int `json:"shifts"`
	TopUps     int `json:"top_ups"`
	// References tells whether names were looked up, in the sheet or in the
	// configuration in force.
	References bool `json:"references_checked"`
}

// Execute implements subcommands.Command.
func (c *sheetCheck) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.env.UsageError(c.Name(), "one FILE is needed")
	}
	s, err := readSheet(f.Arg(0))
	if err != nil {
		return c.fail(c.Name(), err)
	}
	references := true
	switch {
	case c.address != "":
		_, err = c.planOn(ctx, s)
	case s.DeclaresAllKinds():
		err = sheet.Check(s)
	default:
		references = false
	}
	if err != nil {
		return c.fail(c.Name(), err)
	}
	c.tell(s, references)
	return cli.ExitSuccess
}

func (c *sheetCheck) tell(s *sheet.Sheet, references bool) {
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
		c.env.Printf("names were not looked up: the sheet leaves out kinds of records; give --platform\n")
	}
}
