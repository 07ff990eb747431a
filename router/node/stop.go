package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// doorCloseLimit bounds the closing of the operator and peer doors.
const doorCloseLimit = 2 * time.Second

// Drain asks for a planned stop and returns at once. Whoever runs the node
// waits for DrainAsked and calls Stop.
func (n *Node) Drain() {
	if n.draining.CompareAndSwap(false, true) {
		n.recorder.Record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_DRAINING})
		n.membership.SetDraining()
		close(n.drainAsked)
	}
}

// DrainRequested is closed when a planned stop was asked for.
func (n *Node) DrainRequested() <-chan struct{} { return n.drainAsked }

// Stop makes a planned stop: it cuts no request in progress unless ctx ends
// first. The error names what was cut or left unsettled.
func (n *Node) Stop(ctx context.Context) error {
	n.Drain()
	n.log.Info("node: stopping.", zap.Int64("streams", n.server.ActiveStreams()))
	n.waitNotice(ctx)
	err := errors.Join(
		n.closeCallers(ctx),
		n.server.Close(ctx),
		n.actions.Close(ctx),
		n.ledger.Close(ctx),
	)
	if err == nil {
		n.dispatch.Close()
	}
	n.closeRest()
	n.recorder.Record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_STOPPED})
	if err != nil {
		n.log.Warn("node: stopped before all was done.", zap.Int64("streams", n.server.ActiveStreams()), zap.Error(err))
		return err
	}
	n.log.Info("node: stopped.")
	return nil
}

// Kill stops without waiting for anything, as a crash would.
func (n *Node) Kill() {
	_ = n.callerHTTP.Close()
	n.closeRest()
}

// waitNotice serves on until the balancer has noticed. An idle router without
// a configuration has nothing to wait for.
func (n *Node) waitNotice(ctx context.Context) {
	if n.config.Current() == nil {
		return
	}
	select {
	case <-time.After(balancerNotice):
	case <-ctx.Done():
	}
}

// closeCallers closes the caller door and waits for the calls in progress.
func (n *Node) closeCallers(ctx context.Context) error {
	err := n.callerHTTP.Shutdown(ctx)
	if err != nil {
		_ = n.callerHTTP.Close()
	}
	return err
}

func (n *Node) closeRest() {
	n.stopWork()
	n.stopLedger()
	_ = n.operatorHTTP.Close()
	stopGRPC(n.peerGRPC)
	n.work.Wait()
	n.pool.Close()
	_ = n.platform.Close()
}

// stopGRPC lets calls in progress end, for a bounded time.
func stopGRPC(g *grpc.Server) {
	done := make(chan struct{})
	go func() {
		g.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(doorCloseLimit):
		g.Stop()
		<-done
	}
}

// isEnd tells whether an error only says that a planned end has come.
func isEnd(err error) bool {
	return errors.Is(err, context.Canceled) ||
		errors.Is(err, http.ErrServerClosed) ||
		errors.Is(err, grpc.ErrServerStopped) ||
		errors.Is(err, net.ErrClosed)
}
