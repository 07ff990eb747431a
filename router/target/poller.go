package target

import (
	"context"
	"time"

	concpool "github.com/sourcegraph/conc/pool"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// The defaults of PollOptions.
const (
	defaultPollInterval = time.Second
	defaultPollTimeout  = time.Second
	// maxPollsPerSecond bounds what reports cost a router: with more targets
	// the interval grows.
	maxPollsPerSecond = 40
	maxPollsAtOnce    = 32
)

// Reporter takes the targets' reports; a route.Table is one.
type Reporter interface {
	// Report takes a target's requests in flight and whether it is leaving.
	Report(name string, inFlight int, leaving bool)
	// ReportMissing takes that a target gave no report.
	ReportMissing(name string)
}

// PollOptions configure a Poller. Zero fields take the default.
type PollOptions struct {
	// Interval is the time between two reports of one target. Default 1 s; it
	// grows where there are more than 40 targets.
	Interval time.Duration
	// Timeout is the longest wait for one report. Default 1 s.
	Timeout time.Duration
}

// Poller asks targets for their reports.
type Poller struct {
	client   *Client
	reporter Reporter
	targets  func() []*pb.Target
	opts     PollOptions
}

// NewPoller returns a poller of the targets that the function returns.
func NewPoller(client *Client, reporter Reporter, targets func() []*pb.Target, opts PollOptions) *Poller {
	orDuration(&opts.Interval, defaultPollInterval)
	orDuration(&opts.Timeout, defaultPollTimeout)
	return &Poller{client: client, reporter: reporter, targets: targets, opts: opts}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		targets := p.targets()
		start := time.Now()
		p.round(ctx, targets)
		sleep(ctx, p.interval(len(targets))-time.Since(start))
	}
}

// interval returns the time between two rounds over n targets.
func (p *Poller) interval(n int) time.Duration {
	return max(p.opts.Interval, time.Duration(n)*time.Second/maxPollsPerSecond)
}

// round asks every target once.
func (p *Poller) round(ctx context.Context, targets []*pb.Target) {
	workers := concpool.New().WithMaxGoroutines(maxPollsAtOnce)
	for _, target := range targets {
		workers.Go(func() { p.poll(ctx, target) })
	}
	workers.Wait()
}

// poll asks one target. An answer that is no report changes nothing.
func (p *Poller) poll(ctx context.Context, target *pb.Target) {
	load, err := p.client.Load(ctx, target, p.opts.Timeout)
	if err == nil {
		p.reporter.Report(target.Name, load.InFlight+load.Queued, load.Leaving)
		return
	}
	kind := errkind.Of(err)
	gone := kind == errkind.TargetUnreachable || kind == errkind.TargetSilent || kind == errkind.DeadlinePassed
	if gone && ctx.Err() == nil {
		p.reporter.ReportMissing(target.Name)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
