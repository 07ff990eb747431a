package sheetcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/platformclient"
	standin "cuminrock.example/standin/platform"
)

const sample = "../../deploy/cluj/sheet.csv"

// topUps are the ledger's functions, as cuminrockctl uses them.
var topUps = TopUpFuncs{
	RowKey: budget.TopUpKey,
	Apply: func(ctx context.Context, tables platformclient.TableStore, id, budgetName string, tokens int64) error {
		_, err := ledger.TopUp(ctx, tables, id, budgetName, tokens)
		return err
	},
}

func startPlatform(t *testing.T) (*standin.Server, string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := standin.New(standin.Options{Seed: 1})
	serve := s.Open(lis)
	go serve()
	t.Cleanup(s.Close)
	return s, lis.Addr().String()
}

// run executes a command and returns its combined output and exit code.
func run(args ...string) (output string, exit subcommands.ExitStatus) {
	var out bytes.Buffer
	flags := flag.NewFlagSet("cuminrockctl", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "cuminrockctl")
	commander.Output, commander.Error = &out, &out
	for _, c := range Commands(Options{Env: cli.Env{Stdout: &out, Stderr: &out}, TopUps: topUps}) {
		commander.Register(c, "")
	}
	if flags.Parse(args) != nil {
		return "", cli.ExitUsageError
	}
	exit = commander.Execute(context.Background())
	return out.String(), exit
}

// editSample writes a copy of the sample with texts replaced and returns its path.
func editSample(t *testing.T, oldnew ...string) string {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(sample)
	is.NoErr(err)
	content := strings.NewReplacer(oldnew...).Replace(string(data))
	is.True(len(oldnew) == 0 || content != string(data))
	path := filepath.Join(t.TempDir(), "sheet.csv")
	is.NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestSheetIsAppliedOnce(t *testing.T) {
	is := is.New(t)
	_, address := startPlatform(t)
	out, exit := run("sheet-plan", "-platform", address, sample)
	is.Equal(exit, cli.ExitSuccess)
	is.True(strings.HasPrefix(out, "version 0 -> 1: 47 added, 0 changed, 0 removed; 17 top-ups to apply"))
	out, exit = run("sheet-apply", "-platform", address, "-author", "ana", sample)
	is.Equal(exit, cli.ExitSuccess)
	is.True(strings.Contains(out, "version 1 is accepted"))
	is.True(strings.Contains(out, "top-up 2026-12-04-schools-daily took effect: budget schools-daily, +800000 tokens"))

	out, exit = run("sheet-apply", "-platform", address, "-author", "ana", sample)
	is.Equal(exit, cli.ExitSuccess)
	is.Equal(out, "version 1 -> 1: 0 added, 0 changed, 0 removed; 0 top-ups to apply, 17 applied before\n")
}

func TestOutdatedPlanIsAConflict(t *testing.T) {
	is := is.New(t)
	_, address := startPlatform(t)
	_, exit := run("sheet-apply", "-platform", address, "-author", "ana", sample)
	is.Equal(exit, cli.ExitSuccess)
	mine := editSample(t, ",model-pool,old,,,,,,700", ",model-pool,old,,,,,,600", ",model-pool,new,,,,,,300", ",model-pool,new,,,,,,400")
	out, exit := run("sheet-apply", "-json", "-platform", address, "-author", "bela", "-base", "0", mine)
	is.Equal(exit, cli.ExitFailure)
	var output struct{ Error errorReport }
	is.NoErr(json.Unmarshal([]byte(out), &output))
	is.Equal(output.Error.Kind, "conflict")
	is.Equal(output.Error.Changes[0].Author, "ana")
	is.Equal(len(output.Error.Changes[0].Records), 47)
	out, _ = run("sheet-plan", "-platform", address, mine)
	is.True(strings.Contains(out, "~ service model-pool: shift * new 300 + old 700 -> new 400 + old 600"))
}

func TestRemovalsMustBeAllowed(t *testing.T) {
	is := is.New(t)
	_, address := startPlatform(t)
	_, exit := run("sheet-apply", "-platform", address, "-author", "ana", sample)
	is.Equal(exit, cli.ExitSuccess)
	shorter := editSample(t, "budget,schools-reserve,schools,,,,,,,,,,,,,\n", "", "top-up,2026-12-04-schools-reserve,,,,schools-reserve,,,,,,200000,,,,\n", "")
	out, exit := run("sheet-apply", "-platform", address, "-author", "ana", shorter)
	is.Equal(exit, cli.ExitFailure)
	is.True(strings.Contains(out, "- budget schools-reserve"))
	is.True(strings.Contains(out, "nothing was changed"))
	_, exit = run("sheet-apply", "-platform", address, "-author", "ana", "-removals", "1", shorter)
	is.Equal(exit, cli.ExitSuccess)
	_, exit = run("sheet-apply", "-platform", address, "-author", "ana", "-removals", "1", shorter)
	is.Equal(exit, cli.ExitSuccess)
}

func TestBadSheetChangesNothing(t *testing.T) {
	is := is.New(t)
	_, address := startPlatform(t)
	bad := editSample(t, "workspace,schools,", "workspace,sch ools,", "10.20.1.101:9000", "10.20.1.101")
	for _, args := range [][]string{
		{"sheet-check", bad},
		{"sheet-check", "-platform", address, bad},
		{"sheet-plan", "-platform", address, bad},
		{"sheet-apply", "-platform", address, "-author", "ana", bad},
	} {
		out, exit := run(args...)
		is.Equal(exit, cli.ExitFailure)
		is.True(strings.Contains(out, "line 12, column address:"))
		is.True(strings.Contains(out, "line 31, column name:"))
	}
	out, _ := run("sheet-plan", "-platform", address, sample)
	is.True(strings.HasPrefix(out, "version 0 ->"))
}

func TestPlatformOutageIsReported(t *testing.T) {
	is := is.New(t)
	s, address := startPlatform(t)
	is.NoErr(s.SetFaults(standin.Faults{Outage: standin.OutageRefuse}))
	out, exit := run("sheet-apply", "-json", "-platform", address, "-author", "ana", sample)
	is.Equal(exit, cli.ExitFailure)
	is.True(strings.Contains(out, `"kind":"platform_down"`))
}

// The responses to the commit of the change and to the commits of two top-ups are
// lost, so that their outcomes must be read back from the platform.
func TestLostResponsesAreReadBack(t *testing.T) {
	is := is.New(t)
	s, address := startPlatform(t)
	is.NoErr(s.SetFaults(standin.Faults{DropResponseNext: 3}))
	out, exit := run("sheet-apply", "-timeout", "500ms", "-platform", address, "-author", "ana", sample)
	is.Equal(exit, cli.ExitSuccess)
	is.Equal(strings.Count(out, "took effect"), 17)
	out, _ = run("sheet-apply", "-platform", address, "-author", "ana", sample)
	is.True(strings.HasPrefix(out, "version 1 -> 1:"))
}

func TestWaitReportsEachRouter(t *testing.T) {
	is := is.New(t)
	_, address := startPlatform(t)
	var requests atomic.Int64
	upToDate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"name":"r1","config_version":%d}`, min(requests.Add(1)-1, 1))
	}))
	defer upToDate.Close()
	stale := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"name":"r2","config_version":0}`)
	}))
	defer stale.Close()
	routers := strings.TrimPrefix(upToDate.URL, "http://") + "," + strings.TrimPrefix(stale.URL, "http://")
	out, exit := run("sheet-apply", "-platform", address, "-author", "ana", "-wait", "-wait-limit", "1s", "-routers", routers, sample)
	is.Equal(exit, cli.ExitFailure)
	is.True(strings.Contains(out, "router r1 has version 1 in force after"))
	is.True(strings.Contains(out, "router r2 doesn't have version 1 in force: it shows 0"))
	_, exit = run("sheet-apply", "-platform", address, "-author", "ana", "-wait", "-wait-limit", "1s", "-routers", strings.Split(routers, ",")[0], sample)
	is.Equal(exit, cli.ExitSuccess)
}

func TestSettingsCheckReportsFaultsOfAllFiles(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../deploy/kingston/*.json")
	is.NoErr(err)
	out, exit := run(append([]string{"settings-check"}, files...)...)
	is.Equal(exit, cli.ExitSuccess)
	is.Equal(strings.Count(out, "is good"), 6)
	out, exit = run("settings-check", files[0], files[0])
	is.Equal(exit, cli.ExitFailure)
	is.True(strings.Contains(out, "name: router-kgn-a-1 is used in"))
	_, exit = run("settings-check", filepath.Join(t.TempDir(), "none.json"))
	is.Equal(exit, cli.ExitFailure)
}

func TestInvalidArgumentsAreUsageErrors(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{
		{"settings-check"}, {"sheet-check"}, {"sheet-plan", sample},
		{"sheet-apply", "-platform", "127.0.0.1:1", sample}, {"sheet-apply", "-author", "ana", sample},
		{"sheet-apply", "-no-such-flag", sample},
	} {
		_, exit := run(args...)
		is.Equal(exit, cli.ExitUsageError)
	}
}

func TestSettingsCheckOfGateways(t *testing.T) {
	is := is.New(t)
	good := filepath.Join(t.TempDir(), "good.json")
	is.NoErr(os.WriteFile(good, []byte(`{"name":"g","data_centre":"z","doors":{"caller":"10.0.0.1:80","readiness":"10.0.0.1:81","metrics":"10.0.0.1:82"},
		"store_address":"10.0.0.9:1","times":{"stop_s":8},"memory_mib":134}`), 0o600))
	out, exit := run("settings-check", "--gateway", good)
	is.Equal(exit, cli.ExitSuccess)
	is.True(strings.Contains(out, "router g is good"))
	bad := filepath.Join(t.TempDir(), "bad.json")
	is.NoErr(os.WriteFile(bad, []byte(`{"name":"g"}`), 0o600))
	out, exit = run("settings-check", "--gateway", bad)
	is.Equal(exit, cli.ExitFailure)
	is.True(strings.Contains(out, "store_address:"))
}
