package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/wait"
)

const (
	// minRelistDelay and maxRelistDelay bound the random delay after a failed call.
	minRelistDelay = 50 * time.Millisecond
	maxRelistDelay = 250 * time.Millisecond
	// configPollDelay and targetPollDelay are the delays between calls for the
	// changes of a table. Targets change with each of their heartbeats, and a
	// longer delay collects more changes in one call.
	configPollDelay = 100 * time.Millisecond
	targetPollDelay = 500 * time.Millisecond
)

// tableView receives the rows of a watched table.
type tableView interface {
	// replace receives all rows, update those that changed.
	replace(rows []platformclient.Entry)
	update(rows []platformclient.Entry)
	// expire is called after each call for changes.
	expire()
}

// startWatching starts to watch the store's tables and to close expired idle
// connections.
func (g *Gateway) startWatching() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancelWork = cancel
	g.wg.Go(func() { g.watchTable(ctx, g.platform.Config.Table, &configView{gateway: g}, configPollDelay) })
	g.wg.Go(func() {
		g.watchTable(ctx, g.platform.Targets.Table, newTargetView(g), targetPollDelay)
	})
	g.wg.Go(func() { g.closeExpiredConnections(ctx) })
}

// watchTable lists a table and receives its changes. It lists the table again after
// any failure, since changes may have been missed.
func (g *Gateway) watchTable(ctx context.Context, table string, v tableView, pollDelay time.Duration) {
	disconnected := false
	for ctx.Err() == nil {
		err := g.watchOnce(ctx, table, v, pollDelay, &disconnected)
		if ctx.Err() != nil {
			return
		}
		if !disconnected {
			disconnected = true
			g.log.Warn("gateway: lost a table of the store; continuing with the last known rows.", zap.String("table", table), zap.Error(err))
		}
		wait.For(ctx, minRelistDelay+rand.N(maxRelistDelay-minRelistDelay))
	}
}

// watchOnce lists and watches a table until a call fails.
func (g *Gateway) watchOnce(ctx context.Context, table string, v tableView, pollDelay time.Duration, disconnected *bool) error {
	rows, cursor, err := g.platform.Watcher.List(ctx, table)
	if err != nil {
		return err
	}
	if *disconnected {
		*disconnected = false
		g.log.Info("gateway: regained a table of the store.", zap.String("table", table), zap.Uint64("row_version", uint64(cursor)))
	}
	v.replace(rows)
	for {
		rows, cursor, err = g.platform.Watcher.WaitForChanges(ctx, table, cursor)
		if err != nil {
			return err
		}
		if len(rows) > 0 {
			v.update(rows)
			wait.For(ctx, pollDelay)
		}
		v.expire()
	}
}

// closeExpiredConnections periodically closes connections to targets that were idle
// for too long.
func (g *Gateway) closeExpiredConnections(ctx context.Context) {
	for wait.For(ctx, idleCheckInterval) {
		g.platform.CloseExpired()
	}
}
