package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/router/wait"
)

// Stop shuts the gateway down: it reports that it isn't ready, still serves requests
// but closes their connections after the response, stops the servers once no request
// is in progress, and returns its tokens. Late requests that could outlast it are refused. It
// finishes within the time limit of the settings; the error says what couldn't be completed.
func (g *Gateway) Stop() error {
	startedAt := time.Now()
	plan := newStopPlan(startedAt, time.Duration(g.settings.Times.StopS*float64(time.Second)))
	g.stopPlan.Store(&plan)
	g.shuttingDown.Store(true)
	g.log.Info("gateway: stopping.", zap.Int64("in_progress", g.relay.Active()))
	ctx, cancel := context.WithDeadline(context.Background(), plan.limit)
	defer cancel()
	g.admission.Stop()
	g.forward.server.RefuseNew()
	if g.peers != nil {
		g.peers.server.RefuseNew()
		g.peers.registrar.deregister(ctx)
	}
	wait.For(ctx, time.Until(plan.closing))
	err := g.shutDownCallerServer(plan.requests)
	err = errors.Join(err, g.drainForwarded(plan.requests))
	err = errors.Join(err, g.drainPeers(plan.tokens))
	err = errors.Join(err, g.budgets.Close(ctx))
	g.cancelWork()
	if g.peers != nil {
		g.peers.close()
	}
	g.forward.conns.Close()
	g.closeServers()
	g.wg.Wait()
	g.log.Info("gateway: stopped.", zap.Duration("took", time.Since(startedAt)), zap.Error(err))
	return err
}

// drainPeers settles the reservations of tokens between this gateway and others,
// until the time limit. Tokens of reservations that are still open then stay
// taken until this machine's next run.
func (g *Gateway) drainPeers(limit time.Time) error {
	if g.peers == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	err := g.peers.drain(ctx)
	if err != nil {
		g.log.Warn("gateway: reservations between gateways are still open; the time limit for stopping has passed.", zap.Error(err))
	}
	return err
}

// drainForwarded waits for the requests of other gateways in progress, until the time
// limit.
func (g *Gateway) drainForwarded(limit time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	err := g.forward.server.Drain(ctx)
	if err != nil {
		g.log.Warn("gateway: aborting requests of other gateways; the time limit for stopping has passed.")
	}
	return err
}

// shutDownCallerServer stops accepting callers' connections and waits for requests in
// progress, and for what is buffered for callers that read slowly, until the time limit. Requests
// in progress then are aborted: the callers of those whose answers haven't begun get an answer.
func (g *Gateway) shutDownCallerServer(limit time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	_ = g.callerListener.Close()
	err := g.intake.callers.Drain(ctx)
	if err == nil {
		err = g.callerServer.Shutdown(ctx)
	}
	if err != nil {
		g.log.Warn("gateway: aborting requests in progress; the time limit for stopping has passed.", zap.Int64("in_progress", g.relay.Active()))
		g.abortRequests()
		_ = g.callerServer.Close()
	}
	return errors.Join(err, g.drainCallerBuffers(ctx))
}

// abortRequests ends the requests in progress, and waits a moment until they have.
func (g *Gateway) abortRequests() {
	g.cancelRequests()
	ctx, cancel := context.WithTimeout(context.Background(), abortTime)
	defer cancel()
	_ = g.intake.callers.Drain(ctx)
}

// drainCallerBuffers waits until callers have taken what is buffered for them, or drops it
// when ctx ends.
func (g *Gateway) drainCallerBuffers(ctx context.Context) error {
	err := g.callerBuffers.Drain(ctx)
	if err != nil {
		g.log.Warn("gateway: dropping what callers haven't taken; the time limit for stopping has passed.", zap.Int("callers", g.callerBuffers.Abort()))
	}
	return err
}
