package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/router/crashwatch"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/wait"
)

const (
	// minRelistDelay and maxRelistDelay bound the delay after a failed call,
	// which doubles with each further failure. A random part of up to a half is
	// taken off, so that gateways don't call together.
	minRelistDelay = 100 * time.Millisecond
	maxRelistDelay = time.Second
	// maxRelistDoublings keeps the doubled delay from overflowing.
	maxRelistDoublings = 8
)

// watchPolicy says how a table is watched.
type watchPolicy struct {
	// maxWait is how long a call for changes may wait for one. It also bounds the
	// time until a dead connection is noticed.
	maxWait time.Duration
	// pollDelay is the delay between a call that returned changes and the next.
	// A longer one collects more changes in one call.
	pollDelay time.Duration
}

// The watch policies of the tables. Targets change with each of their heartbeats,
// gateways hardly ever.
var (
	configWatch   = watchPolicy{maxWait: 1500 * time.Millisecond, pollDelay: 100 * time.Millisecond}
	targetsWatch  = watchPolicy{maxWait: 1500 * time.Millisecond, pollDelay: 500 * time.Millisecond}
	reportsWatch  = watchPolicy{maxWait: 2 * time.Second, pollDelay: 250 * time.Millisecond}
	gatewaysWatch = watchPolicy{maxWait: 10 * time.Second, pollDelay: time.Second}
)

// tableView receives the rows of a watched table.
type tableView interface {
	// replace receives all rows, update those that changed.
	replace(rows []platformclient.Entry)
	update(rows []platformclient.Entry)
	// expire is called after each call for changes.
	expire()
}

// startWatching starts to watch the store's tables, to serve other gateways and to
// close expired idle connections.
func (g *Gateway) startWatching(lis *listeners) {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancelWork = cancel
	g.wg.Go(func() { g.watchTable(ctx, g.platform.Config.Table, newOperatorView(g), configWatch) })
	g.wg.Go(func() {
		g.watchTable(ctx, g.platform.Targets.Table, newTargetView(g), targetsWatch)
	})
	g.wg.Go(func() { g.crashes.Run(ctx) })
	g.wg.Go(func() { g.origins.Run(ctx) })
	g.wg.Go(func() { g.limits.Run(ctx) })
	g.wg.Go(func() { g.reachability.Run(ctx) })
	g.wg.Go(func() { g.forward.client.Run(ctx) })
	g.wg.Go(func() {
		g.watchTable(ctx, crashwatch.Table, &reportView{crashes: g.crashes}, reportsWatch)
	})
	if g.peers != nil {
		g.peers.start(ctx, g, lis.peer)
	}
	g.wg.Go(func() { g.closeExpiredConnections(ctx) })
	g.wg.Go(func() { g.lag.Run(ctx) })
}

// watchTable lists a table and receives its changes. It lists the table again after
// any failure, since changes may have been missed.
func (g *Gateway) watchTable(ctx context.Context, table string, v tableView, policy watchPolicy) {
	failures := 0
	for ctx.Err() == nil {
		err := g.watchOnce(ctx, table, v, policy, &failures)
		if ctx.Err() != nil {
			return
		}
		if failures == 0 {
			g.log.Warn("gateway: lost a table of the store; continuing with the last known rows.", zap.String("table", table), zap.Error(err))
		}
		wait.For(ctx, relistDelay(failures))
		failures++
	}
}

// relistDelay returns the delay after a failed call that followed a number of
// failures.
func relistDelay(failures int) time.Duration {
	delay := min(minRelistDelay<<min(failures, maxRelistDoublings), maxRelistDelay)
	return delay/2 + rand.N(delay/2)
}

// watchOnce lists and watches a table until a call fails. It resets failures once
// the table was listed.
func (g *Gateway) watchOnce(ctx context.Context, table string, v tableView, policy watchPolicy, failures *int) error {
	rows, cursor, err := g.platform.Watcher.List(ctx, table)
	if err != nil {
		return err
	}
	if *failures > 0 {
		*failures = 0
		g.log.Info("gateway: regained a table of the store.", zap.String("table", table), zap.Uint64("row_version", uint64(cursor)))
	}
	v.replace(rows)
	for {
		rows, cursor, err = g.platform.Watcher.WaitForChanges(ctx, table, cursor, policy.maxWait)
		if err != nil {
			return err
		}
		if len(rows) > 0 {
			v.update(rows)
			wait.For(ctx, policy.pollDelay)
		}
		v.expire()
	}
}

// closeExpiredConnections periodically closes connections to targets that were idle
// for too long.
func (g *Gateway) closeExpiredConnections(ctx context.Context) {
	for wait.For(ctx, idleCheckInterval) {
		g.platform.Conns.CloseExpired()
	}
}
