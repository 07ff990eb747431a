package sheetcmd

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/ctl/cli"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/sheet"
	"cuminrock.example/router/configlog"
	"cuminrock.example/router/platformclient"
)

// topUpsPerRead is the maximum number of top-up rows in one read.
const topUpsPerRead = 100

// sheetPlan is the command sheet-plan.
type sheetPlan struct {
	commonOptions
}

// Name implements subcommands.Command.
func (*sheetPlan) Name() string { return "sheet-plan" }

// Synopsis implements subcommands.Command.
func (*sheetPlan) Synopsis() string { return "show what a sheet would change" }

// Usage implements subcommands.Command.
func (*sheetPlan) Usage() string {
	return `sheet-plan --platform host:port [--json] FILE
Shows the difference between the latest configuration and a sheet: + added,
~ changed, - removed, ^ top-up. Changes nothing. Exits 1 on faults.
`
}

// SetFlags implements subcommands.Command.
func (c *sheetPlan) SetFlags(f *flag.FlagSet) {
	c.outputFlags(f)
	c.platformFlags(f, "`host:port` of the platform; required")
}

// Execute implements subcommands.Command.
func (c *sheetPlan) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.address == "" {
		return c.env.UsageError(c.Name(), "--platform and one FILE are required")
	}
	s, err := readSheet(f.Arg(0))
	if err != nil {
		return c.fail(c.Name(), err)
	}
	plan, err := c.dialAndPlan(ctx, s)
	if err != nil {
		return c.fail(c.Name(), err)
	}
	if c.json {
		_ = c.env.PrintJSON(plan.Report())
	} else {
		c.env.Printf("%s", plan.Report().Text())
	}
	return cli.ExitSuccess
}

func readSheet(path string) (*sheet.Sheet, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadSheet, err, "the sheet can't be read")
	}
	s, err := sheet.Parse(data)
	if err == nil || !s.DeclaresAllKinds() {
		return s, err
	}
	return s, sheet.AddReferenceFaults(s, err)
}

// dialAndPlan connects to the platform and plans a sheet on its configuration.
func (s *commonOptions) dialAndPlan(ctx context.Context, wanted *sheet.Sheet) (*sheet.Plan, error) {
	p, err := platformclient.Dial(s.address, s.timeout)
	if err != nil {
		return nil, err
	}
	defer p.Close()
	return s.plan(ctx, p, wanted)
}

func (s *commonOptions) plan(ctx context.Context, p platformclient.Platform, wanted *sheet.Sheet) (*sheet.Plan, error) {
	view, err := configlog.Load(ctx, p)
	if err != nil {
		return nil, err
	}
	applied, err := s.appliedTopUps(ctx, p, wanted.TopUps)
	if err != nil {
		return nil, err
	}
	return sheet.NewPlan(view, wanted, applied)
}

// appliedTopUps returns the top-ups of the sheet that are already applied.
func (s *commonOptions) appliedTopUps(ctx context.Context, tables platformclient.TableStore, wanted []sheet.TopUp) (sheet.TopUpIndex, error) {
	applied := make(sheet.TopUpIndex)
	for len(wanted) > 0 {
		batch := wanted[:min(len(wanted), topUpsPerRead)]
		wanted = wanted[len(batch):]
		keys := make([]string, len(batch))
		for i, t := range batch {
			keys[i] = s.topUps.RowKey(t.ID)
		}
		rows, err := tables.Read(ctx, keys...)
		if err != nil {
			return nil, errkind.Wrap(errkind.PlatformDown, err, "the top-up rows can't be read")
		}
		for _, row := range rows {
			t := &pb.TopUpRow{}
			if err := proto.Unmarshal(row.Value, t); err != nil {
				return nil, errkind.Wrap(errkind.Internal, err, row.Key+" can't be decoded")
			}
			applied[t.Id] = t
		}
	}
	return applied, nil
}
