// Package loadcmd holds the command `load`, which makes seeded load against
// caller doors and compares it with the same load straight at the engines.
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

// Commands returns the command `load`.
func Commands(env cli.Env) []subcommands.Command {
	return []subcommands.Command{&load{env: env}}
}

type load struct {
	env     cli.Env
	opts    loadgen.Options
	doors   cli.StringList
	direct  cli.StringList
	calls   cli.StringList
	keys    cli.StringList
	fleet   operator.Flags
	lengths string
	rounds  int
	json    bool
}

// Defaults of the flags.
const (
	defaultRate     = 20
	defaultDuration = 10 * time.Second
	defaultWarmup   = time.Second
	defaultLengths  = "32-96"
	defaultPrompt   = 400
	defaultTimeout  = 60 * time.Second
)

// runNameLen is the length of the random name that makes request ids new.
const runNameLen = 8

// Name implements subcommands.Command.
func (l *load) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (l *load) Synopsis() string { return "make seeded load and measure it" }

// Usage implements subcommands.Command.
func (l *load) Usage() string {
	return `load --doors host:port,... --key KEY [flags]: make seeded open-loop load.
With --direct host:port,... each round runs the same load first straight at
the engines, then at the doors, and the difference is told. With --routers the
routers' processor time is told too; no two of them may be one process. Exits 1
when an answer was broken, crossed or altered or a door was unreachable.
`
}

// SetFlags implements subcommands.Command.
func (l *load) SetFlags(f *flag.FlagSet) {
	f.Var(&l.doors, "doors", "caller doors of the routers, `host:port,...`")
	f.Var(&l.direct, "direct", "engines to compare with, `host:port,...`; model calls only")
	f.Var(&l.keys, "key", "bearer `key` of a workspace; may be repeated")
	f.Var(&l.calls, "call", "part of the mix, `weight:kind:service/path`; may be repeated (default 1:model:model-pool/v1/chat/completions)")
	l.fleet.SetFlags(f)
	f.Float64Var(&l.opts.RequestsPerSecond, "rate", defaultRate, "requests a second")
	f.DurationVar(&l.opts.Duration, "duration", defaultDuration, "time over which requests arrive")
	f.DurationVar(&l.opts.Warmup, "warmup", defaultWarmup, "time at the start that is not timed")
	f.StringVar(&l.lengths, "tokens", defaultLengths, "least and largest length of an answer in tokens, `min-max`")
	f.IntVar(&l.opts.PromptBytes, "prompt-bytes", defaultPrompt, "length of a prompt")
	f.DurationVar(&l.opts.Timeout, "request-timeout", defaultTimeout, "longest time of one request")
	f.Uint64Var(&l.opts.Seed, "seed", 1, "seed of arrivals, lengths and prompts")
	f.IntVar(&l.rounds, "rounds", 1, "how often the load is made")
	f.BoolVar(&l.json, "json", false, "print JSON lines")
}

// header is the first line of the output.
type header struct {
	Run     string           `json:"run"`
	Options *loadgen.Options `json:"options"`
}

// Execute implements subcommands.Command.
func (l *load) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := l.prepare(f)
	if err != nil {
		return l.env.UsageError("load", "%v", err)
	}
	run := rand.Text()[:runNameLen]
	l.printHeader(run)
	clean := true
	for round := range l.rounds {
		clean = l.round(ctx, fmt.Sprintf("%s-%d", run, round)) && clean
	}
	if !clean || ctx.Err() != nil {
		return cli.ExitFailure
	}
	return cli.ExitSuccess
}

// prepare completes and checks the flags.
func (l *load) prepare(f *flag.FlagSet) error {
	if f.NArg() > 0 {
		return trace.BadParameter("unexpected argument %q", f.Arg(0))
	}
	if len(l.doors)+len(l.direct) == 0 {
		return trace.BadParameter("--doors or --direct is required")
	}
	err := l.parseLengths()
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

func (l *load) parseLengths() error {
	least, most, found := strings.Cut(l.lengths, "-")
	if !found {
		most = least
	}
	var err error
	l.opts.MinTokens, err = strconv.Atoi(least)
	if err == nil {
		l.opts.MaxTokens, err = strconv.Atoi(most)
	}
	if err != nil {
		return trace.BadParameter("--tokens %q is not min-max", l.lengths)
	}
	return nil
}

func (l *load) printHeader(run string) {
	if l.json {
		_ = l.env.PrintJSON(header{Run: run, Options: &l.opts})
		return
	}
	l.env.Printf("run %s, seed %d, %.0f requests a second, %d-%d tokens\n", run, l.opts.Seed, l.opts.RequestsPerSecond, l.opts.MinTokens, l.opts.MaxTokens)
}

// round makes the load at the engines and at the doors, where each is given,
// and tells whether all answers were clean.
func (l *load) round(ctx context.Context, run string) bool {
	var direct, routed *loadgen.Report
	clean := true
	if len(l.direct) > 0 {
		direct = loadgen.Run(ctx, l.directOptions(), loadgen.Destination{Name: "direct", Addresses: l.direct, Direct: true}, run+"-direct")
		clean = l.print(direct)
	}
	if len(l.doors) > 0 {
		before := l.processorTime(ctx)
		routed = loadgen.Run(ctx, &l.opts, loadgen.Destination{Name: "routed", Addresses: l.doors}, run+"-routed")
		routed.RouterCPUCores = (l.processorTime(ctx) - before).Seconds() / routed.Seconds
		clean = l.print(routed) && clean
	}
	if direct != nil && routed != nil {
		l.printAdded(loadgen.Compare(direct, routed))
	}
	return clean
}

// processorTime returns what the routers have used so far; 0 where no
// operator doors are given or one doesn't tell.
func (l *load) processorTime(ctx context.Context) time.Duration {
	routers, err := l.fleet.Clients()
	if err != nil {
		return 0
	}
	var total time.Duration
	for _, router := range routers {
		used, err := router.CPUTime(ctx)
		if err != nil {
			l.env.Fail("load", err)
			return 0
		}
		total += used
	}
	return total
}

// directOptions keeps the model calls of the mix.
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

func (l *load) print(p *loadgen.Report) (clean bool) {
	if l.json {
		_ = l.env.PrintJSON(p)
	} else {
		p.WriteText(l.env.Stdout)
	}
	return p.Passed()
}

// addedLine is the comparison as a line of JSON.
type addedLine struct {
	Added loadgen.Overhead `json:"added"`
}

func (l *load) printAdded(a loadgen.Overhead) {
	if l.json {
		_ = l.env.PrintJSON(addedLine{Added: a})
		return
	}
	a.WriteText(l.env.Stdout)
}
