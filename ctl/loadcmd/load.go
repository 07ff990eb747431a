// Package loadcmd holds the command load, which generates seeded load on caller
// APIs and compares it with the same load sent directly to the engines.
package loadcmd

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/ctl/loadgen"
	"cuminrock.example/ctl/operator"
)

// Commands returns the command load.
func Commands(env cli.Env) []subcommands.Command {
	return []subcommands.Command{&load{env: env}}
}

type load struct {
	env             cli.Env
	opts            loadgen.Options
	callerAddresses cli.StringList
	engineAddresses cli.StringList
	calls           cli.StringList
	keys            cli.StringList
	routerFlags     operator.Flags
	tokenRange      string
	rounds          int
	json            bool
}

// Default values of the flags.
const (
	defaultRate        = 20
	defaultDuration    = 10 * time.Second
	defaultWarmup      = time.Second
	defaultTokenRange  = "32-96"
	defaultPromptBytes = 400
	defaultTimeout     = 60 * time.Second
)

// runIDLen is the length of the random run id that makes request ids unique.
const runIDLen = 8

// Name implements subcommands.Command.
func (l *load) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (l *load) Synopsis() string { return "generate seeded load and measure the responses" }

// Usage implements subcommands.Command.
func (l *load) Usage() string {
	return `load --doors host:port,... --key KEY [flags]: generate seeded open-loop load.
With --direct host:port,... each round sends the same load first directly to the
engines, then to the routers, and reports the difference. With --routers it also
reports the routers' CPU time; each router must be a process of its own. Exits 1
if a response was broken, crossed or altered or a server was unreachable.
`
}

// SetFlags implements subcommands.Command.
func (l *load) SetFlags(f *flag.FlagSet) {
	f.Var(&l.callerAddresses, "doors", "caller APIs of the routers, `host:port,...`")
	f.Var(&l.engineAddresses, "direct", "engines to send the same load to for comparison, `host:port,...`; model calls only")
	f.Var(&l.keys, "key", "bearer `key` of a workspace; may be repeated")
	f.Var(&l.calls, "call", "entry of the call mix, `weight:kind:service/path`; may be repeated (default 1:model:model-pool/v1/chat/completions)")
	l.routerFlags.SetFlags(f)
	f.Float64Var(&l.opts.RequestsPerSecond, "rate", defaultRate, "mean requests per second")
	f.DurationVar(&l.opts.Duration, "duration", defaultDuration, "time over which requests arrive")
	f.DurationVar(&l.opts.Warmup, "warmup", defaultWarmup, "time at the start whose requests are not in the latency figures")
	f.StringVar(&l.tokenRange, "tokens", defaultTokenRange, "range of response lengths in tokens, `min-max`")
	f.IntVar(&l.opts.PromptBytes, "prompt-bytes", defaultPromptBytes, "length of each prompt in bytes")
	f.DurationVar(&l.opts.Timeout, "request-timeout", defaultTimeout, "timeout of one request")
	f.Uint64Var(&l.opts.Seed, "seed", 1, "seed of the arrival times, response lengths and prompts")
	f.IntVar(&l.rounds, "rounds", 1, "number of rounds")
	f.BoolVar(&l.json, "json", false, "print JSON lines")
}

// headerLine is the first line of the JSON output.
type headerLine struct {
	Run     string           `json:"run"`
	Options *loadgen.Options `json:"options"`
}

// Execute implements subcommands.Command.
func (l *load) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := l.parseFlags(f)
	if err != nil {
		return l.env.UsageError("load", "%v", err)
	}
	runID := rand.Text()[:runIDLen]
	l.printHeader(runID)
	passed := true
	for round := range l.rounds {
		passed = l.round(ctx, fmt.Sprintf("%s-%d", runID, round)) && passed
	}
	if !passed || ctx.Err() != nil {
		return cli.ExitFailure
	}
	return cli.ExitSuccess
}

// parseFlags parses and validates the flags and fills in the options.
func (l *load) parseFlags(f *flag.FlagSet) error {
	if f.NArg() > 0 {
		return trace.BadParameter("unexpected argument %q", f.Arg(0))
	}
	if len(l.callerAddresses)+len(l.engineAddresses) == 0 {
		return trace.BadParameter("--doors or --direct is required")
	}
	err := l.parseTokenRange()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, text := range l.calls {
		call, err := loadgen.ParseCall(text)
		if err != nil {
			return trace.Wrap(err)
		}
		l.opts.Calls = append(l.opts.Calls, call)
	}
	if len(l.calls) == 0 {
		l.opts.Calls = []loadgen.Call{loadgen.DefaultCall}
	}
	l.opts.Keys = l.keys
	return trace.Wrap(l.opts.Validate())
}

func (l *load) parseTokenRange() error {
	minText, maxText, found := strings.Cut(l.tokenRange, "-")
	if !found {
		maxText = minText
	}
	var err error
	l.opts.MinTokens, err = strconv.Atoi(minText)
	if err == nil {
		l.opts.MaxTokens, err = strconv.Atoi(maxText)
	}
	if err != nil {
		return trace.BadParameter("--tokens %q is not min-max", l.tokenRange)
	}
	return nil
}

func (l *load) printHeader(runID string) {
	if l.json {
		_ = l.env.PrintJSON(headerLine{Run: runID, Options: &l.opts})
		return
	}
	l.env.Printf("run %s, seed %d, %.0f requests per second, %d-%d tokens\n", runID, l.opts.Seed, l.opts.RequestsPerSecond, l.opts.MinTokens, l.opts.MaxTokens)
}

// round sends the load to the engines and to the routers, if given, and reports
// whether no response was faulty.
func (l *load) round(ctx context.Context, runID string) bool {
	var direct, routed *loadgen.Report
	passed := true
	if len(l.engineAddresses) > 0 {
		direct = loadgen.Run(ctx, l.directOptions(), loadgen.Destination{Name: "direct", Addresses: l.engineAddresses, Direct: true}, runID+"-direct")
		passed = l.printReport(direct)
	}
	if len(l.callerAddresses) > 0 {
		cpuBefore := l.routerCPUTime(ctx)
		routed = loadgen.Run(ctx, &l.opts, loadgen.Destination{Name: "routed", Addresses: l.callerAddresses}, runID+"-routed")
		routed.RouterCPUCores = (l.routerCPUTime(ctx) - cpuBefore).Seconds() / routed.Seconds
		passed = l.printReport(routed) && passed
	}
	if direct != nil && routed != nil {
		l.printOverhead(loadgen.Compare(direct, routed))
	}
	return passed
}

// routerCPUTime returns the CPU time that all routers have used so far. It is 0
// if no operator APIs are given or one doesn't respond.
func (l *load) routerCPUTime(ctx context.Context) time.Duration {
	routers, err := l.routerFlags.Clients()
	if err != nil {
		return 0
	}
	var total time.Duration
	for _, router := range routers {
		cpuTime, err := router.CPUTime(ctx)
		if err != nil {
			l.env.Fail("load", err)
			return 0
		}
		total += cpuTime
	}
	return total
}

// directOptions returns the options with only the model calls of the mix, or with
// DefaultCall if it has none.
func (l *load) directOptions() *loadgen.Options {
	opts := l.opts
	opts.Calls = nil
	for _, c := range l.opts.Calls {
		if c.Kind == loadgen.CallModel {
			opts.Calls = append(opts.Calls, c)
		}
	}
	if len(opts.Calls) == 0 {
		opts.Calls = []loadgen.Call{loadgen.DefaultCall}
	}
	return &opts
}

func (l *load) printReport(report *loadgen.Report) (passed bool) {
	if l.json {
		_ = l.env.PrintJSON(report)
	} else {
		report.WriteText(l.env.Stdout)
	}
	return report.Passed()
}

// overheadLine is the comparison as a line of JSON.
type overheadLine struct {
	Added loadgen.Overhead `json:"added"`
}

func (l *load) printOverhead(overhead loadgen.Overhead) {
	if l.json {
		_ = l.env.PrintJSON(overheadLine{Added: overhead})
		return
	}
	overhead.WriteText(l.env.Stdout)
}
