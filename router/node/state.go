package node

import (
	"context"
	"expvar"
	"slices"
	"time"

	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/memberlist"
	"cuminrock.example/router/operatorapi"
)

const (
	// routesCheckInterval is how often watchRoutes checks for a new
	// configuration or a leaving target. Both must take effect within 3 s.
	routesCheckInterval = 100 * time.Millisecond
)

// Health implements operatorapi.Node.
func (n *Node) Health() operatorapi.Health {
	if n.draining.Load() {
		return operatorapi.Health{Reason: "draining"}
	}
	ready, reason := n.config.Ready()
	if ready && n.current() == nil {
		ready, reason = false, "routes are being built"
	}
	return operatorapi.Health{Ready: ready, Reason: reason}
}

// Status implements operatorapi.Node.
func (n *Node) Status() operatorapi.Status {
	h := n.Health()
	s := operatorapi.Status{
		Name:        n.self.Name,
		Incarnation: n.self.Incarnation,
		DataCentre:  n.self.DataCentre,
		Ready:       h.Ready,
		Reason:      h.Reason,
		Draining:    n.draining.Load(),
		Streams:     n.server.ActiveStreams(),
	}
	view := n.current()
	if view != nil {
		s.ConfigVersion = view.Version()
	}
	for _, m := range n.membership.Members() {
		s.Members = append(s.Members, operatorapi.Member{
			Name:          m.Name,
			DataCentre:    m.DataCentre,
			Draining:      m.Draining,
			ConfigVersion: m.ConfigVersion,
		})
	}
	return s
}

// current returns the configuration in force: the newest accepted one whose
// targets are in the routing table. It is nil before the first.
func (n *Node) current() *config.View { return n.inForce.Load() }

// onConfig wakes watchRoutes. It doesn't block.
func (n *Node) onConfig(uint64) {
	select {
	case n.configChanged <- struct{}{}:
	default:
	}
}

// watchRoutes updates the routing table to the targets of each new
// configuration, and only then puts that configuration in force. It also
// updates the table when the set of leaving targets changes, so that those
// aren't used any more.
func (n *Node) watchRoutes(ctx context.Context) {
	ticker := time.NewTicker(routesCheckInterval)
	defer ticker.Stop()
	var seenLeaving []string
	for {
		view := n.config.Current()
		leaving := n.membership.LeavingTargets()
		names := leaving.Identifiers()
		if view != nil && (view != n.current() || !slices.Equal(names, seenLeaving)) {
			seenLeaving = names
			n.updateRoutes(view, leaving)
		}
		select {
		case <-ctx.Done():
			return
		case <-n.configChanged:
		case <-ticker.C:
		}
	}
}

func (n *Node) updateRoutes(view *config.View, set memberlist.LeavingSet) {
	targets := view.AllTargets()
	var leaving []string
	for _, t := range targets {
		if set.Contains(t) {
			leaving = append(leaving, t.Name)
		}
	}
	n.routes.Update(targets, leaving...)
	n.inForce.Store(view)
	n.membership.SetConfigVersion(view.Version())
}

// publishMetrics registers the router's counters in its expvar map.
func (n *Node) publishMetrics() {
	n.vars.Set("streams", expvar.Func(func() any { return n.server.ActiveStreams() }))
	n.vars.Set("calls_received", expvar.Func(func() any { return n.callers.Received() }))
	n.vars.Set("ledger", expvar.Func(func() any { return n.ledger.Stats() }))
	n.vars.Set("cpu_seconds", expvar.Func(func() any { return processCPUSeconds() }))
	dispatched := new(expvar.Map).Init()
	dispatched.Set("requests", &n.dispatch.Stats().Requests)
	dispatched.Set("retries", &n.dispatch.Stats().Retries)
	dispatched.Set("hedges", &n.dispatch.Stats().Hedges)
	n.vars.Set("dispatch", dispatched)
	calls := new(expvar.Map).Init()
	calls.Set("calls", &n.targets.Stats().Calls)
	calls.Set("mismatches", &n.targets.Stats().Mismatches)
	calls.Set("silent", &n.targets.Stats().SilentConnections)
	calls.Set("pools_replaced", &n.targets.Stats().PoolsReplaced)
	n.vars.Set("targets", calls)
	refused := new(expvar.Map).Init()
	for k := errkind.Kind(0); k < errkind.NumKinds; k++ {
		refused.Set(k.String(), expvar.Func(func() any { return n.callers.Refused(k) }))
	}
	n.vars.Set("refused", refused)
}
