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

// runSheetApply runs cuminrockctl sheet-apply against the platform endpoint of a
// data centre and returns its exit code and standard output.
func (f *Fleet) runSheetApply(centre, author string, sheet Sheet, flags ...string) (int, string) {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), author+".csv")
	if err := os.WriteFile(path, sheet.CSV(), 0o600); err != nil {
		f.t.Fatal(err)
	}
	args := append([]string{"sheet-apply", "--platform", f.Platform.endpoints[centre], "--author", author, "--json"}, flags...)
	cmd := exec.Command(f.opts.Binaries.Ctl, append(args, path)...)
	out, _ := cmd.Output()
	return cmd.ProcessState.ExitCode(), string(out)
}

// applyResult holds the fields of the sheet-apply output that the tests use.
type applyResult struct {
	Version uint64 `json:"version"`
	Routers []struct {
		InForce bool `json:"in_force"`
	} `json:"routers"`
}

func parseResult(t *testing.T, out string) applyResult {
	t.Helper()
	var result applyResult
	if err := json.Unmarshal([]byte(out), &result); err != nil {
		t.Fatalf("decode sheet-apply output: %v in %q", err, out)
	}
	return result
}

// Two operators concurrently apply different sheets based on the same version.
// One must succeed and be in force at every router. The other must fail with a
// conflict that reports what changed and who changed it.
func TestConcurrentSheetApply(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 301})
	sheets := []Sheet{f.Sheet, f.Sheet}
	sheets[1].Targets = f.Sheet.Targets[1:] // the two sheets remove different engines
	sheets[0].Targets = append(f.Sheet.Targets[:1:1], f.Sheet.Targets[2:]...)
	var codes [2]int
	var outputs [2]string
	var operators conc.WaitGroup
	for i, author := range []string{"ana", "bela"} {
		operators.Go(func() {
			codes[i], outputs[i] = f.runSheetApply(f.opts.Centres[0], author, sheets[i], "--base", "1", "--removals", "1", "--wait")
		})
	}
	operators.Wait()
	is.Equal(codes[0]+codes[1], 1) // exactly one succeeds
	loser := 0
	if codes[1] == 1 {
		loser = 1
	}
	is.True(strings.Contains(outputs[loser], "conflict"))
	is.True(strings.Contains(outputs[loser], []string{"bela", "ana"}[loser])) // reports who changed what
	result := parseResult(t, outputs[1-loser])
	is.Equal(result.Version, uint64(2))
	is.Equal(len(result.Routers), len(f.Routers)) // --wait reports every router
	for _, r := range result.Routers {
		is.True(r.InForce)
	}
}

// The response to the commit of a sheet is lost. The command must still report
// success, and the change and its top-up must be applied once.
func TestSheetCommitResponseLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 302})
	centre := f.opts.Centres[0]
	sheet := f.Sheet
	sheet.TopUps = append(sheet.TopUps, TopUp{ID: "lost", Tokens: 1000})
	sheet.Targets = sheet.Targets[1:]
	f.Platform.SetFaults(centre, platform.Faults{DropResponseNext: 2})
	code, out := f.runSheetApply(centre, "ana", sheet, "--removals", "1")
	is.Equal(code, 0)
	is.Equal(parseResult(t, out).Version, uint64(2))
	is.Equal(f.Budget().Prepaid, int64(1_001_000))
	code, _ = f.runSheetApply(centre, "ana", sheet)
	is.Equal(code, 0) // applying the same sheet again changes nothing
	is.Equal(f.Budget().Prepaid, int64(1_001_000))
}

// A sheet with a top-up is applied from a data centre where the platform is
// unavailable. The command must fail with platform_down, and the top-up must not
// be applied.
func TestSheetInOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := Start(t, Options{Binaries: binaries, Seed: 303})
	centre := f.opts.Centres[1]
	f.Platform.SetFaults(centre, platform.Faults{Outage: platform.OutageUnavailable})
	sheet := f.Sheet
	sheet.TopUps = append(sheet.TopUps, TopUp{ID: "refused", Tokens: 1000})
	code, out := f.runSheetApply(centre, "ana", sheet)
	is.Equal(code, 1)
	is.True(strings.Contains(out, "platform_down"))
	is.Equal(f.Budget().Prepaid, int64(1_000_000))
}
