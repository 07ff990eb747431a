// Package sheetcmd holds the commands that check settings and check, plan and
// apply the morning sheet.
//
// A command exits 0 when it is done, 1 when its outcome is negative (faults, a
// conflict, a platform that doesn't answer) and 2 when it was called wrongly.
package sheetcmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/sheet"
	"cuminrock.example/router/platform"
	"cuminrock.example/router/settings"
)

// Exit codes.
const (
	done     = subcommands.ExitSuccess
	negative = subcommands.ExitFailure
	misused  = subcommands.ExitUsageError
)

// defaultCallTimeout is the longest wait for one answer of the platform. A
// whole configuration of the largest size passes in it.
const defaultCallTimeout = 10 * time.Second

// TopUps is how the ledger of the budgets takes top-ups.
type TopUps struct {
	// Key returns the platform row of a top-up by its id.
	Key func(id string) string
	// Apply makes a top-up take effect once, however often it is called.
	Apply func(ctx context.Context, tables platform.Tables, id, budget string, tokens int64) error
}

// Options configures Commands.
type Options struct {
	// Stdout and Stderr are those of the process by default.
	Stdout, Stderr io.Writer
	// TopUps is required.
	TopUps TopUps
}

// Commands returns settings-check, sheet-check, sheet-plan and sheet-apply.
func Commands(o Options) []subcommands.Command {
	if o.Stdout == nil {
		o.Stdout = os.Stdout
	}
	if o.Stderr == nil {
		o.Stderr = os.Stderr
	}
	return []subcommands.Command{
		&settingsCheck{shared: shared{Options: o}},
		&sheetCheck{shared: shared{Options: o}},
		&sheetPlan{shared: shared{Options: o}},
		&sheetApply{shared: shared{Options: o}},
	}
}

// shared is what all the commands have.
type shared struct {
	Options
	json    bool
	address string
	timeout time.Duration
}

func (s *shared) outputFlags(f *flag.FlagSet) {
	f.BoolVar(&s.json, "json", false, "print one JSON object")
}

func (s *shared) platformFlags(f *flag.FlagSet, usage string) {
	f.StringVar(&s.address, "platform", "", usage)
	f.DurationVar(&s.timeout, "timeout", defaultCallTimeout, "longest wait for one answer of the platform")
}

func (s *shared) misuse(format string, args ...any) subcommands.ExitStatus {
	fmt.Fprintf(s.Stderr, "cuminrockctl: %s\n", fmt.Sprintf(format, args...))
	return misused
}

// failure is an error as JSON.
type failure struct {
	Kind    string       `json:"kind"`
	Message string       `json:"message"`
	Faults  sheet.Faults `json:"faults,omitempty"`
	// SettingsFaults are those of settings files, with their paths.
	SettingsFaults settings.Faults `json:"settings_faults,omitempty"`
}

// fail tells an error and returns the exit code for it.
func (s *shared) fail(err error) subcommands.ExitStatus {
	f := failure{Kind: errkind.Of(err).String(), Message: err.Error()}
	switch faults := err.(type) {
	case sheet.Faults:
		f = failure{Kind: errkind.BadSheet.String(), Message: "nothing was applied", Faults: faults}
	case settings.Faults:
		f = failure{Kind: errkind.BadSettings.String(), Message: "the settings have faults", SettingsFaults: faults}
	}
	if s.json {
		s.print(struct {
			Error failure `json:"error"`
		}{f})
		return negative
	}
	fmt.Fprintln(s.Stderr, err)
	return negative
}

// print writes one JSON object.
func (s *shared) print(message any) {
	encoder := json.NewEncoder(s.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(message); err != nil {
		fmt.Fprintln(s.Stderr, err)
	}
}

func (s *shared) printf(format string, args ...any) { fmt.Fprintf(s.Stdout, format, args...) }
