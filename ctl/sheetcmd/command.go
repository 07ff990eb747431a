// Package sheetcmd holds the commands that check settings and check, plan and
// apply the morning sheet.
//
// A command exits 0 when it is done, 1 when its outcome is negative (faults, a
// conflict, a platform that doesn't answer) and 2 when it was called wrongly.
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

// defaultCallTimeout is the longest wait for one answer of the platform. A
// whole configuration of the largest size passes in it.
const defaultCallTimeout = 10 * time.Second

// TopUpFuncs is how the ledger of the budgets takes top-ups.
type TopUpFuncs struct {
	// RowKey returns the platform row of a top-up by its id.
	RowKey func(id string) string
	// Apply makes a top-up take effect once, however often it is called.
	Apply func(ctx context.Context, tables platformclient.TableStore, id, budget string, tokens int64) error
}

// Options configures Commands.
type Options struct {
	// Env is that of the process by default.
	Env cli.Env
	// TopUps is required.
	TopUps TopUpFuncs
}

// Commands returns settings-check, sheet-check, sheet-plan and sheet-apply.
func Commands(o Options) []subcommands.Command {
	if o.Env.Stdout == nil {
		o.Env = cli.OS()
	}
	return []subcommands.Command{
		&settingsCheck{shared: shared{env: o.Env, topUps: o.TopUps}},
		&sheetCheck{shared: shared{env: o.Env, topUps: o.TopUps}},
		&sheetPlan{shared: shared{env: o.Env, topUps: o.TopUps}},
		&sheetApply{shared: shared{env: o.Env, topUps: o.TopUps}},
	}
}

// shared is what all the commands have.
type shared struct {
	env     cli.Env
	topUps  TopUpFuncs
	json    bool
	address string
	timeout time.Duration
}

func (s *shared) outputFlags(f *flag.FlagSet) {
	f.BoolVar(&s.json, "json", false, "print a line of JSON")
}

func (s *shared) platformFlags(f *flag.FlagSet, usage string) {
	f.StringVar(&s.address, "platform", "", usage)
	f.DurationVar(&s.timeout, "timeout", defaultCallTimeout, "longest wait for one answer of the platform")
}

// failure is an error in JSON.
type failure struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	// Faults are those of a sheet.
	Faults sheet.Faults `json:"faults,omitempty"`
	// Changes are those that overtook a plan.
	Changes []changeReport `json:"changes,omitempty"`
}

// changeReport is one accepted change in JSON.
type changeReport struct {
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Records []string  `json:"records"`
}

// fail tells an error and returns the exit code for it.
func (s *shared) fail(command string, err error) subcommands.ExitStatus {
	if !s.json {
		return s.env.Fail(command, err)
	}
	f := failure{Kind: errkind.KindOf(err).String(), Message: err.Error()}
	var faults sheet.Faults
	if errors.As(err, &faults) {
		f = failure{Kind: errkind.BadSheet.String(), Message: "the sheet has faults; nothing was changed", Faults: faults}
	}
	var conflict *configlog.ConflictError
	if errors.As(err, &conflict) {
		f.Changes = reportChanges(conflict)
	}
	_ = s.env.PrintJSON(struct {
		Error failure `json:"error"`
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
