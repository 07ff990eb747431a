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

// anyPort is the default of the doors.
const anyPort = "127.0.0.1:0"

// Commands returns the group `emulate`.
func Commands(env cli.Env) []subcommands.Command {
	return []subcommands.Command{cli.NewGroup(env, "emulate", "run a stand-in of the platform or of a target",
		&command{env: env, name: "platform", synopsis: "run the platform stand-in; --listen takes several doors", flags: &platformFlags{}},
		&command{env: env, name: "engine", synopsis: "run a model engine stand-in", flags: &engineFlags{}},
		&command{env: env, name: "service", synopsis: "run a plain service stand-in", flags: &serviceFlags{}},
	)}
}

// standIn is what all stand-ins have.
type standIn interface {
	Open(lis net.Listener) (serve func() error)
	ControlHandler() http.Handler
	Close()
}

// standInFlags makes a stand-in from its flags.
type standInFlags interface {
	set(f *flag.FlagSet)
	build(seed uint64) standIn
}

// command runs one stand-in until it is told to stop.
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
		"Prints one line of JSON with its addresses when it is ready and runs until\n" +
		"SIGINT or SIGTERM.\n"
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", anyPort, "`host:port` of the door; port 0 picks one; a platform takes several, by commas")
	f.StringVar(&c.control, "control", anyPort, "`host:port` of the control door")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the random faults and answers")
	c.flags.set(f)
}

// ReadyMessage is the line that a stand-in prints when it is ready.
type ReadyMessage struct {
	Kind string `json:"kind"`
	// Address is the first door; Addresses are all.
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
		return c.env.UsageError("emulate "+c.name, "only a platform takes several doors")
	}
	err := c.run(ctx, addresses)
	if err != nil {
		return c.env.Fail("emulate "+c.name, err)
	}
	return cli.ExitSuccess
}

func (c *command) run(ctx context.Context, addresses []string) error {
	controlDoor, err := net.Listen("tcp", c.control)
	if err != nil {
		return trace.Wrap(err)
	}
	doors, err := listenAll(addresses)
	if err != nil {
		controlDoor.Close()
		return trace.Wrap(err)
	}
	s := c.flags.build(c.seed)
	ready := ReadyMessage{Kind: c.name, Control: controlDoor.Addr().String()}
	tasks := pool.New().WithErrors()
	for _, door := range doors {
		ready.Addresses = append(ready.Addresses, door.Addr().String())
		tasks.Go(s.Open(door))
	}
	tasks.Go(func() error { return control.Serve(controlDoor, s.ControlHandler()) })
	ready.Address = ready.Addresses[0]
	err = c.env.PrintJSON(ready)
	if err == nil {
		<-ctx.Done()
	}
	controlDoor.Close()
	s.Close()
	return trace.NewAggregate(err, tasks.Wait())
}

func listenAll(addresses []string) ([]net.Listener, error) {
	var doors []net.Listener
	for _, address := range addresses {
		door, err := net.Listen("tcp", address)
		if err != nil {
			for _, d := range doors {
				d.Close()
			}
			return nil, trace.Wrap(err)
		}
		doors = append(doors, door)
	}
	return doors, nil
}

type platformFlags struct {
	limits platform.Limits
}

func (p *platformFlags) set(f *flag.FlagSet) {
	f.Float64Var(&p.limits.ReadsPerSecond, "reads", 0, "reads and scans a second; those beyond wait (default no limit)")
	f.Float64Var(&p.limits.WritesPerSecond, "writes", 0, "transactions a second; those beyond wait (default no limit)")
	f.Float64Var(&p.limits.RowsPerSecond, "rows", 0, "rows written a second; those beyond wait (default no limit)")
}

func (p *platformFlags) build(seed uint64) standIn {
	return platform.New(platform.Options{Seed: seed, Limits: p.limits})
}

type engineFlags struct {
	opts engine.Options
}

func (e *engineFlags) set(f *flag.FlagSet) {
	f.Float64Var(&e.opts.TokensPerSecond, "rate", 0, "tokens a second of one stream (default 25)")
	f.DurationVar(&e.opts.TimeToFirstToken, "first-token", 0, "time to the first token (default 20ms)")
	f.IntVar(&e.opts.Slots, "slots", 0, "streams that run at once (default 256)")
	f.IntVar(&e.opts.QueueCapacity, "queue", 0, "requests that wait for a slot (default 1024)")
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
	f.DurationVar(&s.serviceTime, "service-time", 0, "how long one call takes")
}

func (s *serviceFlags) build(seed uint64) standIn {
	return service.New(service.Options{Seed: seed, ServiceTime: s.serviceTime})
}
