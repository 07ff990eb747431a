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

// timelineCommand prints the merged events of all routers.
type timelineCommand struct {
	env         cli.Env
	routerFlags operator.Flags
	request     string
	budget      string
	since       string
	until       string
	limit       uint
	json        bool
}

// Name implements subcommands.Command.
func (t *timelineCommand) Name() string { return "timeline" }

// Synopsis implements subcommands.Command.
func (t *timelineCommand) Synopsis() string { return "show the merged events of all routers" }

// Usage implements subcommands.Command.
func (t *timelineCommand) Usage() string {
	return `timeline --routers host:port,... [flags]: show the events of all routers.
Times are RFC 3339 or a duration before now, such as 5m. Exits 1 if a router does
not respond (the other routers' events are shown) or no event matches.
`
}

// SetFlags implements subcommands.Command.
func (t *timelineCommand) SetFlags(f *flag.FlagSet) {
	t.routerFlags.SetFlags(f)
	f.StringVar(&t.request, "request", "", "only events of this request `id`")
	f.StringVar(&t.budget, "budget", "", "only events of this budget")
	f.StringVar(&t.since, "since", "", "only events at or after this `time`")
	f.StringVar(&t.until, "until", "", "only events up to this `time`")
	f.UintVar(&t.limit, "limit", 0, "show only this many of the newest events (default all)")
	f.BoolVar(&t.json, "json", false, "print one line of JSON per event")
}

// Execute implements subcommands.Command.
func (t *timelineCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	clients, err := t.routerFlags.Clients()
	var filter *pb.EventFilter
	if err == nil {
		filter, err = t.filter(time.Now())
	}
	if err != nil || f.NArg() > 0 {
		return t.env.UsageError("timeline", "%v", argumentError(err, f))
	}
	responses := queryAll(clients, func(c *operator.Client) ([]*pb.Event, error) { return c.Timeline(ctx, filter) })
	merged := t.merge(responses, filter)
	err = t.print(merged)
	if err != nil {
		return t.env.Fail("timeline", err)
	}
	failed := printErrors(t.env, "timeline", responses)
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

// parseTime parses an RFC 3339 time or a duration before now. It returns nil for
// an empty text.
func parseTime(now time.Time, text string) (*pb.HybridTime, error) {
	if text == "" {
		return nil, nil
	}
	age, err := time.ParseDuration(text)
	if err == nil {
		return &pb.HybridTime{WallNs: now.Add(-age).UnixNano()}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return nil, trace.BadParameter("%q is neither RFC 3339 nor a duration", text)
	}
	return &pb.HybridTime{WallNs: at.UnixNano()}, nil
}

// merge returns the events that match the filter, merged in order of time. It
// applies the filter again, as the routers get its times rounded to milliseconds.
func (t *timelineCommand) merge(responses []routerResponse[[]*pb.Event], filter *pb.EventFilter) []*pb.Event {
	var lists [][]*pb.Event
	for _, resp := range responses {
		lists = append(lists, resp.value)
	}
	var matching []*pb.Event
	for _, e := range timeline.Merge(lists...) {
		if timeline.Matches(filter, e) {
			matching = append(matching, e)
		}
	}
	if t.limit > 0 && len(matching) > int(t.limit) {
		matching = matching[len(matching)-int(t.limit):]
	}
	return matching
}

func (t *timelineCommand) print(merged []*pb.Event) error {
	if t.json {
		return trace.Wrap(events.WriteJSON(t.env.Stdout, merged))
	}
	events.WriteText(t.env.Stdout, merged)
	return nil
}
