package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/router/wait"
)

const (
	// balancerNotice is how long new connections are still served after the
	// balancer is told to send no more.
	balancerNotice = 3 * time.Second
	// stopMargin is kept free at the end of a planned stop.
	stopMargin = 400 * time.Millisecond
	// returnTime is kept for giving tokens back.
	returnTime = 600 * time.Millisecond
)

// Stop makes a planned stop: not ready, requests served on, answers that end
// their connections, doors closed when nothing is in progress, tokens given
// back. It ends within the time that the settings give, and the error says what
// was left.
func (g *Gateway) Stop() error {
	began := time.Now()
	limit := began.Add(time.Duration(g.settings.Times.StopS*float64(time.Second)) - stopMargin)
	g.closing.Store(true)
	g.log.Info("gateway: stopping.", zap.Int64("in_progress", g.relay.Active()))
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	wait.For(ctx, balancerNotice)
	err := g.closeCallers(limit.Add(-returnTime))
	err = errors.Join(err, g.budgets.Close(ctx))
	g.stopWork()
	g.closeDoors()
	g.work.Wait()
	g.log.Info("gateway: stopped.", zap.Duration("took", time.Since(began)), zap.Error(err))
	return err
}

// closeCallers closes the callers' door and waits for requests in progress.
func (g *Gateway) closeCallers(limit time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	err := g.callers.Shutdown(ctx)
	if err != nil {
		g.log.Warn("gateway: requests are cut; the time to stop is over.", zap.Int64("in_progress", g.relay.Active()))
		_ = g.callers.Close()
	}
	return err
}
