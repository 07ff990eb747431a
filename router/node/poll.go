package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/target"
)

const (
	// pollInterval is how often the targets of the own data centre are polled
	// for their load.
	pollInterval = time.Second
	// remotePollEvery is the number of intervals between two polls of a target
	// in another data centre, which gets requests only if no target in this one
	// accepts them. With this value, a target's own report that it is leaving
	// is known within 3 s.
	remotePollEvery = 2
	// pollTimeout bounds the wait for one load report.
	pollTimeout = time.Second
	// pollWorkers is the number of targets polled at the same time.
	pollWorkers = 32
)

// pollTargets polls the targets for their load until ctx ends.
func (n *Node) pollTargets(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		view := n.current()
		if view != nil {
			n.pollDue(ctx, turn, view.AllTargets())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollDue polls the targets whose turn it is, up to pollWorkers at a time.
func (n *Node) pollDue(ctx context.Context, turn int, targets []*pb.Target) {
	workers := pool.New().WithMaxGoroutines(pollWorkers)
	for i, t := range targets {
		if t.DataCentre == n.self.DataCentre || (turn+i)%remotePollEvery == 0 {
			workers.Go(func() { n.pollTarget(ctx, t) })
		}
	}
	workers.Wait()
}

// pollTarget records one target's load report, or that the target is
// unresponsive. A response that is no valid report changes nothing, since it
// shows that the target is running.
func (n *Node) pollTarget(ctx context.Context, t *pb.Target) {
	load, err := n.targets.Load(ctx, t, pollTimeout)
	if target.IsUnresponsive(err) {
		n.routes.ReportMissing(t.Name)
	}
	if err != nil {
		return
	}
	n.routes.Report(t.Name, load.InFlight+load.Queued, load.Leaving)
	if load.Leaving {
		n.membership.MarkLeaving(t.Name)
	}
}
