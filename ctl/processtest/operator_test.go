package processtest

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"cuminrock.example/standin/platform"
)

// sheetApply runs cuminrockctl sheet-apply against the platform door of a data
// centre and returns its exit code and output.
func (f *Fleet) sheetApply(centre, author string, sheet Sheet, flags ...string) (int, string) {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), author+".csv")
	if err := os.WriteFile(path, sheet.CSV(), 0o600); err != nil {
		f.t.Fatal(err)
	}
	args := append([]string{"sheet-apply", "--platform", f.Platform.doors[centre], "--author", author, "--json"}, flags...)
	cmd := exec.Command(f.opts.Binaries.Ctl, append(args, path)...)
	out, _ := cmd.Output()
	return cmd.ProcessState.ExitCode(), string(out)
}

// applyResult is the part of sheet-apply's output that tests read.
type applyResult struct {
	Version uint64 `json:"version"`
	Routers []struct {
		InForce bool `json:"in_force"`
	} `json:"routers"`
}

func readResult(t *testing.T, out string) applyResult {
	t.Helper()
	var result applyResult
	if err := json.Unmarshal([]byte(out), &result); err != nil {
		t.Fatalf("%v in %q", err, out)
	}
	return result
}

// Two operators apply different sheets, planned on the same version, at the
// same time. One wins and is in force at every router; the other is told what
// changed.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 301})
	sheets := []Sheet{f.Sheet, f.Sheet}
	sheets[1].Targets = f.Sheet.Targets[1:] // another change: one engine is removed
	sheets[0].Targets = append(f.Sheet.Targets[:1:1], f.Sheet.Targets[2:]...)
	var codes [2]int
	var outs [2]string
	var race conc.WaitGroup
	for i, author := range []string{"ana", "bela"} {
		race.Go(func() {
			codes[i], outs[i] = f.sheetApply(f.opts.Centres[0], author, sheets[i], "--base", "1", "--removals", "1", "--wait")
		})
	}
	race.Wait()
	is.Equal(codes[0]+codes[1], 1) // one wins
	loser := 0
	if codes[1] == 1 {
		loser = 1
	}
	is.True(strings.Contains(outs[loser], "conflict"))
	is.True(strings.Contains(outs[loser], []string{"bela", "ana"}[loser])) // told who changed what
	result := readResult(t, outs[1-loser])
	is.Equal(result.Version, uint64(2))
	is.Equal(len(result.Routers), len(f.Routers)) // --wait names each router
	for _, r := range result.Routers {
		is.True(r.InForce)
	}
}

// The answer to a sheet's commit is lost. The operator is told that it is
// accepted, and it is there once.
func TestSheetAnswerLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 302})
	centre := f.opts.Centres[0]
	sheet := f.Sheet
	sheet.TopUps = append(sheet.TopUps, TopUp{ID: "lost", Tokens: 1000})
	sheet.Targets = sheet.Targets[1:]
	f.Platform.SetFaults(centre, platform.Faults{DropResponseNext: 2})
	code, out := f.sheetApply(centre, "ana", sheet, "--removals", "1")
	is.Equal(code, 0)
	is.Equal(readResult(t, out).Version, uint64(2))
	is.Equal(f.Budget().Prepaid, int64(1_001_000))
	code, _ = f.sheetApply(centre, "ana", sheet)
	is.Equal(code, 0) // the same sheet again changes nothing
	is.Equal(f.Budget().Prepaid, int64(1_001_000))
}

// On a side that is cut off from the platform a sheet and its top-up are
// refused as not applied.
func TestSheetInOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 303})
	centre := f.opts.Centres[1]
	f.Platform.SetFaults(centre, platform.Faults{Outage: platform.OutageUnavailable})
	sheet := f.Sheet
	sheet.TopUps = append(sheet.TopUps, TopUp{ID: "refused", Tokens: 1000})
	code, out := f.sheetApply(centre, "ana", sheet)
	is.Equal(code, 1)
	is.True(strings.Contains(out, "platform_down"))
	is.Equal(f.Budget().Prepaid, int64(1_000_000))
}
