package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/router/platform"
	"cuminrock.example/router/wait"
)

const (
	// relistMin and relistMax bound the random wait after a failed call.
	relistMin = 50 * time.Millisecond
	relistMax = 250 * time.Millisecond
	// configPace and targetPace are the waits before further changes of a
	// table are asked for. Targets change with each of their heartbeats, and
	// what comes in one answer costs one call.
	configPace = 100 * time.Millisecond
	targetPace = 500 * time.Millisecond
)

// view takes what a watched table holds.
type view interface {
	// replace takes all rows, change some that changed.
	replace(rows []platform.Entry)
	change(rows []platform.Entry)
	// idle is called from time to time.
	idle()
}

// follow begins to follow the store.
func (g *Gateway) follow() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stopWork = cancel
	g.work.Go(func() { g.followTable(ctx, g.platform.Config.Table, &catalogView{gateway: g}, configPace) })
	g.work.Go(func() {
		g.followTable(ctx, g.platform.Targets.Table, newTargetView(g), targetPace)
	})
	g.work.Go(func() { g.sweep(ctx) })
}

// followTable lists a table and takes its changes, and lists it again after any
// failure: what happened meanwhile may have been missed.
func (g *Gateway) followTable(ctx context.Context, table string, v view, pace time.Duration) {
	lost := false
	for ctx.Err() == nil {
		err := g.followOnce(ctx, table, v, pace, &lost)
		if ctx.Err() != nil {
			return
		}
		if !lost {
			lost = true
			g.log.Warn("gateway: lost a table of the store; going on with what is known.", zap.String("table", table), zap.Error(err))
		}
		wait.For(ctx, relistMin+rand.N(relistMax-relistMin))
	}
}

// followOnce follows a table until a call fails.
func (g *Gateway) followOnce(ctx context.Context, table string, v view, pace time.Duration, lost *bool) error {
	rows, cursor, err := g.platform.Watcher.List(ctx, table)
	if err != nil {
		return err
	}
	if *lost {
		*lost = false
		g.log.Info("gateway: regained a table of the store.", zap.String("table", table), zap.Uint64("row_version", uint64(cursor)))
	}
	v.replace(rows)
	for {
		rows, cursor, err = g.platform.Watcher.Changes(ctx, table, cursor)
		if err != nil {
			return err
		}
		if len(rows) > 0 {
			v.change(rows)
			wait.For(ctx, pace)
		}
		v.idle()
	}
}

// sweep closes idle connections to targets past their time.
func (g *Gateway) sweep(ctx context.Context) {
	for wait.For(ctx, sweepInterval) {
		g.platform.CloseExpired()
	}
}
