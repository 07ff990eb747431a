// Package sheetcmd holds the commands that check settings files and that check,
// plan and apply the sheet, the CSV file that declares the configuration and the
// top-ups.
//
// A command exits with 0 on success, 1 on failure (faults, a conflict, a platform
// that doesn't respond) and 2 on a usage error.
package sheetcmd

import (
	"context"
	"errors"
	"flag"
	"time"

	"github.com/google/subcommands"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/sheet"
	"cuminrock.example/router/configlog"
	"cuminrock.example/router/platformclient"
)

// defaultCallTimeout bounds one call to the platform. It is long enough to
// transfer a complete configuration of the maximum size.
const defaultCallTimeout = 10 * time.Second

// TopUpFuncs holds the functions that read and apply top-ups of budgets.
type TopUpFuncs struct {
	// RowKey returns the key of a top-up's row in the platform.
	RowKey func(id string) string
	// Apply applies a top-up. It is idempotent: a top-up takes effect once.
	Apply func(ctx context.Context, tables platformclient.TableStore, id, budget string, tokens int64) error
}

// Options configures Commands.
type Options struct {
	// Env defaults to the standard streams of the process.
	Env cli.Env
	// TopUps is required.
	TopUps TopUpFuncs
}

// Commands returns the commands settings-check, sheet-check, sheet-plan and
// sheet-apply.
func Commands(o Options) []subcommands.Command {
	if o.Env.Stdout == nil {
		o.Env = cli.OS()
	}
	return []subcommands.Command{
		&settingsCheck{commonOptions: commonOptions{env: o.Env, topUps: o.TopUps}},
		&sheetCheck{commonOptions: commonOptions{env: o.Env, topUps: o.TopUps}},
		&sheetPlan{commonOptions: commonOptions{env: o.Env, topUps: o.TopUps}},
		&sheetApply{commonOptions: commonOptions{env: o.Env, topUps: o.TopUps}},
	}
}

// commonOptions holds the fields that all commands share.
type commonOptions struct {
	env     cli.Env
	topUps  TopUpFuncs
	json    bool
	address string
	timeout time.Duration
}

func (s *commonOptions) outputFlags(f *flag.FlagSet) {
	f.BoolVar(&s.json, "json", false, "print a line of JSON")
}

func (s *commonOptions) platformFlags(f *flag.FlagSet, usage string) {
	f.StringVar(&s.address, "platform", "", usage)
	f.DurationVar(&s.timeout, "timeout", defaultCallTimeout, "timeout of one call to the platform")
}

// errorReport is an error in the JSON output.
type errorReport struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	// Faults are the faults of a sheet.
	Faults sheet.Faults `json:"faults,omitempty"`
	// Changes are the changes accepted since the base version of the plan.
	Changes []changeReport `json:"changes,omitempty"`
}

// changeReport is one accepted change in the JSON output.
type changeReport struct {
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Records []string  `json:"records"`
}

// fail prints an error as text or JSON and returns ExitFailure.
func (s *commonOptions) fail(command string, err error) subcommands.ExitStatus {
	if !s.json {
		return s.env.Fail(command, err)
	}
	f := errorReport{Kind: errkind.KindOf(err).String(), Message: err.Error()}
	var faults sheet.Faults
	if errors.As(err, &faults) {
		f = errorReport{Kind: errkind.BadSheet.String(), Message: "the sheet has faults; nothing was changed", Faults: faults}
	}
	var conflict *configlog.ConflictError
	if errors.As(err, &conflict) {
		f.Changes = reportChanges(conflict)
	}
	_ = s.env.PrintJSON(struct {
		Error errorReport `json:"error"`
	}{f})
	return cli.ExitFailure
}

func reportChanges(conflict *configlog.ConflictError) []changeReport {
	reports := make([]changeReport, len(conflict.Changes))
	for i, c := range conflict.Changes {
		reports[i] = changeReport{Version: c.Version, Author: c.Author, Time: time.UnixMilli(c.TimeMs).UTC()}
		for _, r := range c.Upserts {
			reports[i].Records = append(reports[i].Records, config.FormatKey(config.RecordKey(r)))
		}
		for _, key := range c.Removes {
			reports[i].Records = append(reports[i].Records, config.FormatKey(key))
		}
	}
	return reports
}
