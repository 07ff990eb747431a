package node

import (
	"context"
	"expvar"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/member"
	"cuminrock.example/router/operatordoor"
)

const (
	// routesInterval is how often a new configuration or a leaving target is
	// looked for, well inside the 3 s that both are allowed.
	routesInterval = 100 * time.Millisecond
	// loadInterval is how often targets are asked for their load.
	loadInterval = time.Second
	// pollWorkers is how many targets are asked at the same time.
	pollWorkers = 16
)

// Health implements operatordoor.Node.
func (n *Node) Health() operatordoor.Health {
	if n.draining.Load() {
		return operatordoor.Health{Reason: "draining"}
	}
	ready, reason := n.config.Ready()
	if ready && n.routed.Load() == 0 {
		return operatordoor.Health{Reason: "the routing table does not have the configuration's targets yet"}
	}
	return operatordoor.Health{Ready: ready, Reason: reason}
}

// Status implements operatordoor.Node.
func (n *Node) Status() operatordoor.Status {
	h := n.Health()
	s := operatordoor.Status{
		Name:        n.self.Name,
		Incarnation: n.self.Incarnation,
		DataCentre:  n.self.DataCentre,
		Ready:       h.Ready,
		Reason:      h.Reason,
		Draining:    n.draining.Load(),
		Streams:     n.server.Streams(),
	}
	s.ConfigVersion = n.routed.Load()
	for _, m := range n.membership.Members() {
		s.Members = append(s.Members, operatordoor.Member{
			Name:          m.Name,
			DataCentre:    m.DataCentre,
			Draining:      m.Draining,
			ConfigVersion: m.ConfigVersion,
		})
	}
	return s
}

// keepRoutes gives the routing table the targets of the configuration in
// force and those known to be leaving.
func (n *Node) keepRoutes(ctx context.Context) {
	ticker := time.NewTicker(routesInterval)
	defer ticker.Stop()
	var seen *config.View
	var seenLeaving []string
	for {
		view := n.config.Current()
		leaving := n.membership.Leaving()
		names := leaving.Names()
		if view != nil && (view != seen || !slices.Equal(names, seenLeaving)) {
			seen, seenLeaving = view, names
			n.updateRoutes(view, leaving)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) updateRoutes(view *config.View, set member.LeavingSet) {
	targets := view.AllTargets()
	var leaving []string
	for _, t := range targets {
		if set.Has(t) {
			leaving = append(leaving, t.Name)
		}
	}
	n.routes.Update(targets, leaving...)
	n.routed.Store(view.Version())
}

// pollTargets asks the targets for their load, each once an interval.
func (n *Node) pollTargets(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		view := n.config.Current()
		if view != nil {
			n.pollOnce(ctx, view.AllTargets())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollOnce asks all targets, a few at a time.
func (n *Node) pollOnce(ctx context.Context, targets []*pb.Target) {
	ctx, cancel := context.WithTimeout(ctx, loadInterval)
	defer cancel()
	workers := pool.New().WithMaxGoroutines(pollWorkers)
	for _, t := range targets {
		workers.Go(func() { n.pollTarget(ctx, t) })
	}
	workers.Wait()
}

func (n *Node) pollTarget(ctx context.Context, t *pb.Target) {
	load, err := n.targets.Load(ctx, t)
	if err != nil {
		return
	}
	n.routes.Report(t.Name, load.InFlight, load.Leaving)
	if load.Leaving {
		n.membership.MarkLeaving(t.Name)
	}
}

// publish puts the router's counters into its metrics.
func (n *Node) publish() {
	n.vars.Set("streams", expvar.Func(func() any { return n.server.Streams() }))
	n.vars.Set("calls_received", expvar.Func(func() any { return n.callers.Received() }))
	n.vars.Set("ledger", expvar.Func(func() any { return n.ledger.Stats() }))
	n.vars.Set("cpu_seconds", expvar.Func(func() any { return processSeconds() }))
	refused := new(expvar.Map).Init()
	for k := errkind.Kind(0); k < errkind.Count; k++ {
		refused.Set(k.String(), expvar.Func(func() any { return n.callers.Refused(k) }))
	}
	n.vars.Set("refused", refused)
}
