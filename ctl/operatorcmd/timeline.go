package operatorcmd

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/ctl/cli"
	"cuminrock.example/ctl/events"
	"cuminrock.example/ctl/operator"
	"cuminrock.example/fleet/timeline"
)

// timelineCommand merges the events of all routers.
type timelineCommand struct {
	env     cli.Env
	fleet   operator.Flags
	request string
	budget  string
	since   string
	until   string
	limit   uint
	json    bool
}

// Name implements subcommands.Command.
func (t *timelineCommand) Name() string { return "timeline" }

// Synopsis implements subcommands.Command.
func (t *timelineCommand) Synopsis() string { return "tell the events of all routers in one order" }

// Usage implements subcommands.Command.
func (t *timelineCommand) Usage() string {
	return `timeline --routers host:port,... [flags]: tell the events of all routers.
Times are RFC 3339 or a duration that lies back, such as 5m. Exits 1 when a
router does not answer (the others' events are told) or no event matches.
`
}

// SetFlags implements subcommands.Command.
func (t *timelineCommand) SetFlags(f *flag.FlagSet) {
	t.fleet.SetFlags(f)
	f.StringVar(&t.request, "request", "", "only events of this request `id`")
	f.StringVar(&t.budget, "budget", "", "only events of this budget")
	f.StringVar(&t.since, "since", "", "only events from this `time` on")
	f.StringVar(&t.until, "until", "", "only events up to this `time`")
	f.UintVar(&t.limit, "limit", 0, "only the newest of all events (default all)")
	f.BoolVar(&t.json, "json", false, "print a JSON line an event")
}

// Execute implements subcommands.Command.
func (t *timelineCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	clients, err := t.fleet.Clients()
	var filter *pb.EventFilter
	if err == nil {
		filter, err = t.filter(time.Now())
	}
	if err != nil || f.NArg() > 0 {
		return t.env.UsageError("timeline", "%v", firstFault(err, f))
	}
	answers := askAll(clients, func(c *operator.Client) ([]*pb.Event, error) { return c.Timeline(ctx, filter) })
	merged := t.merge(answers, filter)
	err = t.print(merged)
	if err != nil {
		return t.env.Fail("timeline", err)
	}
	failed := tellFailures(t.env, "timeline", answers)
	if failed || len(merged) == 0 {
		return cli.ExitFailure
	}
	return cli.ExitSuccess
}

func (t *timelineCommand) filter(now time.Time) (*pb.EventFilter, error) {
	since, err := parseTime(now, t.since)
	if err != nil {
		return nil, trace.Wrap(err, "--since")
	}
	until, err := parseTime(now, t.until)
	if err != nil {
		return nil, trace.Wrap(err, "--until")
	}
	return &pb.EventFilter{RequestId: t.request, Budget: t.budget, Since: since, Until: until, Limit: uint32(t.limit)}, nil
}

// parseTime reads RFC 3339 or a duration before now; empty is no time.
func parseTime(now time.Time, text string) (*pb.HybridTime, error) {
	if text == "" {
		return nil, nil
	}
	back, err := time.ParseDuration(text)
	if err == nil {
		return &pb.HybridTime{WallNs: now.Add(-back).UnixNano()}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return nil, trace.BadParameter("%q is neither RFC 3339 nor a duration", text)
	}
	return &pb.HybridTime{WallNs: at.UnixNano()}, nil
}

// merge returns the events that pass the whole filter, in one order. The
// routers round the filter's times to milliseconds.
func (t *timelineCommand) merge(answers []asked[[]*pb.Event], filter *pb.EventFilter) []*pb.Event {
	var lists [][]*pb.Event
	for _, a := range answers {
		lists = append(lists, a.answer)
	}
	var kept []*pb.Event
	for _, e := range timeline.Merge(lists...) {
		if timeline.Matches(filter, e) {
			kept = append(kept, e)
		}
	}
	if t.limit > 0 && len(kept) > int(t.limit) {
		kept = kept[len(kept)-int(t.limit):]
	}
	return kept
}

func (t *timelineCommand) print(merged []*pb.Event) error {
	if t.json {
		return trace.Wrap(events.WriteJSON(t.env.Stdout, merged))
	}
	events.WriteText(t.env.Stdout, merged)
	return nil
}
