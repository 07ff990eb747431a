package configcmd

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"

	"cuminrock.example/ctl/cli"
)

const good = `{"version":7,"routes":[{"name":"r","hostname":"h","prefix":"/a/","routeType":"safe","timeoutMs":800,
"targetLatencyMs":150,"service":"s","maxAttempts":2}],"services":[{"name":"s"}],"limits":{},
"tenants":[{"name":"w","apiKeys":["secret"],"prepaid":100}]}`

// Guards against a check that passes a faulty file, and against keys in its output.
func TestConfigCheck(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	run := func(args ...string) (string, subcommands.ExitStatus) {
		var out bytes.Buffer
		flags := flag.NewFlagSet("cuminrockctl", flag.ContinueOnError)
		commander := subcommands.NewCommander(flags, "cuminrockctl")
		commander.Register(Commands(cli.Env{Stdout: &out, Stderr: &out})[0], "")
		is.NoErr(flags.Parse(append([]string{"config-check"}, args...)))
		exit := commander.Execute(context.Background())
		is.True(!strings.Contains(out.String(), "secret"))
		return out.String(), exit
	}
	inForce := write("good.json", good)
	out, exit := run(inForce)
	is.Equal(exit, cli.ExitSuccess)
	is.Equal(out, "nothing is wrong\n")
	faulty := write("faulty.json", strings.NewReplacer(`"version":7`, `"version":8`, `"service":"s"`, `"service":"t"`).Replace(good))
	out, exit = run("-in-force", inForce, faulty)
	is.Equal(exit, cli.ExitFailure)
	is.True(strings.Contains(out, `error: route "r": sends to service "t", which isn't listed`))
	is.True(strings.Contains(out, `never matches: service "s": is chosen by no route`))
	is.True(strings.Contains(out, `changes: route "r": Shares from`))
	_, exit = run(write("broken.json", "{"))
	is.Equal(exit, cli.ExitFailure)
	_, exit = run()
	is.Equal(exit, cli.ExitUsageError)
}
