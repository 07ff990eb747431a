package sheetcmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/sheet"
	"cuminrock.example/router/configlog"
	"cuminrock.example/router/platformclient"
)

// defaultWaitLimit is how long --wait waits for all routers.
const defaultWaitLimit = 30 * time.Second

// anyBase is the default of --base.
const anyBase = -1

// tokenVariable holds the operator token where --token isn't given.
const tokenVariable = "CUMINROCK_OPERATOR_TOKEN"

// sheetApply applies a sheet.
type sheetApply struct {
	shared
	author    string
	base      int64
	removals  int
	wait      bool
	waitLimit time.Duration
	routers   cli.StringList
	token     string
}

// Name implements subcommands.Command.
func (*sheetApply) Name() string { return "sheet-apply" }

// Synopsis implements subcommands.Command.
func (*sheetApply) Synopsis() string { return "apply a sheet" }

// Usage implements subcommands.Command.
func (*sheetApply) Usage() string {
	return `sheet-apply --platform host:port --author NAME [flags] FILE
Accepts the sheet as the next version of the configuration, then applies its
top-ups. A sheet with any fault changes nothing. A sheet that removes records
needs --removals with their number, as sheet-plan shows it. Another change that
was accepted since the plan is named and nothing is done. The same sheet again
changes nothing. Exits 1 where anything is left to do.
`
}

// SetFlags implements subcommands.Command.
func (c *sheetApply) SetFlags(f *flag.FlagSet) {
	c.outputFlags(f)
	c.platformFlags(f, "`host:port` of the platform; required")
	f.StringVar(&c.author, "author", "", "`name` of the operator, kept in the change log; required")
	f.Int64Var(&c.base, "base", anyBase, "apply only if this `version`, shown by sheet-plan, is still the newest")
	f.IntVar(&c.removals, "removals", 0, "`number` of records that the sheet may remove")
	f.BoolVar(&c.wait, "wait", false, "wait until the routers have it in force, and name each")
	f.DurationVar(&c.waitLimit, "wait-limit", defaultWaitLimit, "longest wait for the routers")
	f.Var(&c.routers, "routers", "operator doors to ask, `host:port,...` (default: the peer doors of the VM list)")
	f.StringVar(&c.token, "token", "", "operator token (default $"+tokenVariable+")")
}

// applyResult is the outcome of sheet-apply.
type applyResult struct {
	Plan *sheet.Report `json:"plan"`
	// Version is the newest version that holds the sheet.
	Version uint64 `json:"version"`
	// AppliedTopUps are the ids of the top-ups that took effect now.
	AppliedTopUps []string `json:"top_ups_applied"`
	// FailedTopUps have not, or not surely; applying the sheet again is safe.
	FailedTopUps []failedTopUp  `json:"top_ups_failed"`
	Routers      []routerResult `json:"routers,omitempty"`
}

type failedTopUp struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// Execute implements subcommands.Command.
func (c *sheetApply) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.address == "" || c.author == "" {
		return c.env.UsageError(c.Name(), "--platform, --author and one FILE are needed")
	}
	s, err := readSheet(f.Arg(0))
	if err != nil {
		return c.fail(c.Name(), err)
	}
	p, err := platformclient.Dial(c.address, c.timeout)
	if err != nil {
		return c.fail(c.Name(), err)
	}
	defer p.Close()
	return c.apply(ctx, p, s)
}

func (c *sheetApply) apply(ctx context.Context, p platformclient.Platform, s *sheet.Sheet) subcommands.ExitStatus {
	plan, err := c.plan(ctx, p, s)
	if err != nil {
		return c.fail(c.Name(), err)
	}
	if err := c.allowed(ctx, p, plan); err != nil {
		return c.fail(c.Name(), err)
	}
	result := &applyResult{Plan: plan.Report(), Version: plan.BaseVersion}
	c.say("%s", result.Plan.Text())
	if plan.Change != nil {
		version, err := configlog.Append(ctx, p, c.author, plan.Change)
		if err != nil {
			return c.fail(c.Name(), err)
		}
		result.Version = version
		c.say("version %d is accepted\n", version)
	}
	accepted := time.Now()
	c.applyTopUps(ctx, p, plan.TopUps, result)
	inForce := true
	if c.wait {
		inForce = c.waitForRouters(ctx, p, accepted, result)
	}
	c.writeSnapshot(ctx, p)
	if c.json {
		_ = c.env.PrintJSON(result)
	}
	if len(result.FailedTopUps) > 0 || !inForce {
		return cli.ExitFailure
	}
	return cli.ExitSuccess
}

// allowed refuses a plan that the operator hasn't seen or whose removals
// weren't agreed to.
func (c *sheetApply) allowed(ctx context.Context, p platformclient.Platform, plan *sheet.Plan) error {
	if c.base != anyBase && uint64(c.base) != plan.BaseVersion {
		return c.overtaken(ctx, p, plan.BaseVersion)
	}
	if removed := plan.Count(sheet.Remove); removed > c.removals {
		c.say("%s", plan.Report().Text())
		return errkind.New(errkind.BadSheet, "the sheet removes %d records and --removals allows %d; nothing was changed", removed, c.removals)
	}
	return nil
}

func (c *sheetApply) overtaken(ctx context.Context, p platformclient.Platform, head uint64) error {
	changes, err := configlog.ChangesSince(ctx, p, uint64(c.base))
	if err != nil {
		return err
	}
	conflict := &configlog.ConflictError{BaseVersion: uint64(c.base), HeadVersion: head, Changes: changes}
	return errkind.Wrap(errkind.Conflict, conflict, "another change was accepted first; plan again")
}

// applyTopUps goes on after a failure: each top-up stands for itself.
func (c *sheetApply) applyTopUps(ctx context.Context, p platformclient.Platform, topUps []sheet.TopUp, result *applyResult) {
	result.AppliedTopUps = []string{}
	result.FailedTopUps = []failedTopUp{}
	for _, t := range topUps {
		err := c.topUps.Apply(ctx, p, t.ID, t.Budget, t.Tokens)
		if err != nil {
			result.FailedTopUps = append(result.FailedTopUps, failedTopUp{t.ID, errkind.KindOf(err).String(), err.Error()})
			c.say("top-up %s failed: %v\n", t.ID, err)
			continue
		}
		result.AppliedTopUps = append(result.AppliedTopUps, t.ID)
		c.say("top-up %s took effect: budget %s, %+d tokens\n", t.ID, t.Budget, t.Tokens)
	}
}

// writeSnapshot is housekeeping: its failure is told and costs nothing but
// longer starts of routers.
func (c *sheetApply) writeSnapshot(ctx context.Context, p platformclient.Platform) {
	due, err := configlog.SnapshotDue(ctx, p)
	if err == nil && due {
		err = c.snapshot(ctx, p)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintf(c.env.Stderr, "no snapshot was written, the next sheet-apply tries again: %v\n", err)
	}
}

func (c *sheetApply) snapshot(ctx context.Context, p platformclient.Platform) error {
	view, err := configlog.Load(ctx, p)
	if err != nil {
		return err
	}
	return configlog.WriteSnapshot(ctx, p, view)
}

// say prints where the output is text.
func (c *sheetApply) say(format string, args ...any) {
	if !c.json {
		c.env.Printf(format, args...)
	}
}
