package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/target"
)

const (
	// pollInterval is how often the targets of the own data centre are asked
	// for their load.
	pollInterval = time.Second
	// farEvery is how many intervals pass between two questions to a target of
	// another data centre, which gets work only when the near ones take none.
	// With it a target's own word that it leaves is known within 3 s.
	farEvery = 2
	// pollTimeout bounds the wait for one report.
	pollTimeout = time.Second
	// pollWorkers is how many targets are asked at the same time.
	pollWorkers = 32
)

// pollTargets asks the targets for their load until ctx ends.
func (n *Node) pollTargets(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		view := n.current()
		if view != nil {
			n.pollOnce(ctx, turn, view.AllTargets())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollOnce asks the targets whose turn it is, some at a time.
func (n *Node) pollOnce(ctx context.Context, turn int, targets []*pb.Target) {
	workers := pool.New().WithMaxGoroutines(pollWorkers)
	for i, t := range targets {
		if t.DataCentre == n.self.DataCentre || (turn+i)%farEvery == 0 {
			workers.Go(func() { n.pollTarget(ctx, t) })
		}
	}
	workers.Wait()
}

// pollTarget takes one target's own report, or that it gave none. An answer that
// is no report changes nothing: the target is there.
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
