package emulatecmd

import (
	"context"
	"flag"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc/pool"

	"cuminrock.example/ctl/cli"
	"cuminrock.example/standin/control"
	"cuminrock.example/standin/engine"
	"cuminrock.example/standin/platform"
	"cuminrock.example/standin/service"
)

// defaultListenAddress picks a free port on the loopback interface.
const defaultListenAddress = "127.0.0.1:0"

// Commands returns the command group emulate.
func Commands(env cli.Env) []subcommands.Command {
	return []subcommands.Command{cli.NewGroup(env, "emulate", "run a stand-in of the platform or of a target",
		&command{env: env, name: "platform", synopsis: "run the platform stand-in; --listen accepts several addresses", flags: &platformFlags{}},
		&command{env: env, name: "engine", synopsis: "run a model engine stand-in", flags: &engineFlags{}},
		&command{env: env, name: "service", synopsis: "run a plain service stand-in", flags: &serviceFlags{}},
	)}
}

// standIn is the common interface of all stand-ins.
type standIn interface {
	Open(lis net.Listener) (serve func() error)
	ControlHandler() http.Handler
	Close()
}

// standInFlags defines the flags of a stand-in and builds it from them.
type standInFlags interface {
	set(f *flag.FlagSet)
	build(seed uint64) standIn
}

// command runs one stand-in until its context is cancelled.
type command struct {
	env      cli.Env
	name     string
	synopsis string
	flags    standInFlags
	listen   string
	control  string
	seed     uint64
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return c.name + " [flags]: " + c.synopsis + ".\n" +
		"Prints a line of JSON with its addresses when it is ready and runs until\n" +
		"SIGINT or SIGTERM.\n"
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", defaultListenAddress, "`host:port` to listen on; port 0 picks a free port; the platform accepts several, separated by commas")
	f.StringVar(&c.control, "control", defaultListenAddress, "`host:port` of the control API")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the random faults and responses")
	c.flags.set(f)
}

// ReadyMessage is the line that a stand-in prints when it is ready.
type ReadyMessage struct {
	Kind string `json:"kind"`
	// Address is the first listen address, Addresses are all of them and
	// Control is the address of the control API.
	Address   string   `json:"address"`
	Addresses []string `json:"addresses"`
	Control   string   `json:"control"`
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return c.env.UsageError("emulate "+c.name, "unexpected argument %q", f.Arg(0))
	}
	addresses := strings.Split(c.listen, ",")
	if len(addresses) > 1 && c.name != "platform" {
		return c.env.UsageError("emulate "+c.name, "only the platform accepts several listen addresses")
	}
	err := c.run(ctx, addresses)
	if err != nil {
		return c.env.Fail("emulate "+c.name, err)
	}
	return cli.ExitSuccess
}

func (c *command) run(ctx context.Context, addresses []string) error {
	controlListener, err := net.Listen("tcp", c.control)
	if err != nil {
		return trace.Wrap(err)
	}
	listeners, err := listenAll(addresses)
	if err != nil {
		controlListener.Close()
		return trace.Wrap(err)
	}
	s := c.flags.build(c.seed)
	ready := ReadyMessage{Kind: c.name, Control: controlListener.Addr().String()}
	tasks := pool.New().WithErrors()
	for _, listener := range listeners {
		ready.Addresses = append(ready.Addresses, listener.Addr().String())
		tasks.Go(s.Open(listener))
	}
	tasks.Go(func() error { return control.Serve(controlListener, s.ControlHandler()) })
	ready.Address = ready.Addresses[0]
	err = c.env.PrintJSON(ready)
	if err == nil {
		<-ctx.Done()
	}
	controlListener.Close()
	s.Close()
	return trace.NewAggregate(err, tasks.Wait())
}

func listenAll(addresses []string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, l := range listeners {
				l.Close()
			}
			return nil, trace.Wrap(err)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

type platformFlags struct {
	limits platform.Limits
}

func (p *platformFlags) set(f *flag.FlagSet) {
	f.Float64Var(&p.limits.ReadsPerSecond, "reads", 0, "limit of reads and scans per second; calls above it wait (default no limit)")
	f.Float64Var(&p.limits.WritesPerSecond, "writes", 0, "limit of transactions per second; calls above it wait (default no limit)")
	f.Float64Var(&p.limits.RowsPerSecond, "rows", 0, "limit of rows written per second; calls above it wait (default no limit)")
}

func (p *platformFlags) build(seed uint64) standIn {
	return platform.New(platform.Options{Seed: seed, Limits: p.limits})
}

type engineFlags struct {
	opts engine.Options
}

func (e *engineFlags) set(f *flag.FlagSet) {
	f.Float64Var(&e.opts.TokensPerSecond, "rate", 0, "tokens per second of one stream (default 25)")
	f.DurationVar(&e.opts.TimeToFirstToken, "first-token", 0, "time to the first token (default 20ms)")
	f.IntVar(&e.opts.Slots, "slots", 0, "concurrent streams (default 256)")
	f.IntVar(&e.opts.QueueCapacity, "queue", 0, "length of the queue of requests that wait for a slot (default 1024)")
	f.DurationVar(&e.opts.PrefillPerToken, "prefill", 0, "time added to the first token for each prompt token that isn't cached")
	f.IntVar(&e.opts.PrefixCacheTokens, "cache", 0, "size of the prefix cache in tokens")
	f.DurationVar(&e.opts.StreamRetention, "keep", 0, "how long a finished stream can be resumed (default 1m)")
}

func (e *engineFlags) build(seed uint64) standIn {
	e.opts.Seed = seed
	return engine.New(e.opts)
}

type serviceFlags struct {
	serviceTime time.Duration
}

func (s *serviceFlags) set(f *flag.FlagSet) {
	f.DurationVar(&s.serviceTime, "service-time", 0, "duration of one call")
}

func (s *serviceFlags) build(seed uint64) standIn {
	return service.New(service.Options{Seed: seed, ServiceTime: s.serviceTime})
}
