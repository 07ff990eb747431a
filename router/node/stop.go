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

// grpcCloseTimeout bounds the graceful stop of the peer gRPC server.
const grpcCloseTimeout = 2 * time.Second

// Drain requests a graceful stop and returns at once. The owner of the node
// waits for DrainRequested and calls Stop.
func (n *Node) Drain() {
	if n.draining.CompareAndSwap(false, true) {
		n.recorder.Record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_DRAINING})
		n.membership.SetDraining()
		close(n.drainRequested)
	}
}

// DrainRequested returns a channel that is closed when a graceful stop is
// requested.
func (n *Node) DrainRequested() <-chan struct{} { return n.drainRequested }

// Stop stops the router gracefully. It cuts off no request in progress unless
// ctx ends first. The error names what was cut off or left unsettled.
func (n *Node) Stop(ctx context.Context) error {
	n.Drain()
	n.log.Info("node: stopping.", zap.Int64("streams", n.server.ActiveStreams()))
	n.waitBalancerNotice(ctx)
	err := errors.Join(
		n.closeCallerServer(ctx),
		n.server.Close(ctx),
		n.actions.Close(ctx),
		n.ledger.Close(ctx),
	)
	if err == nil {
		n.dispatch.Close()
	}
	n.closeRemaining()
	n.recorder.Record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_STOPPED})
	if err != nil {
		n.log.Warn("node: stopped before all requests and bills were completed.", zap.Int64("streams", n.server.ActiveStreams()), zap.Error(err))
		return err
	}
	n.log.Info("node: stopped.", zap.Int64("received", n.callers.Received()))
	return nil
}

// Kill stops without waiting for requests or bills, as a crash would.
func (n *Node) Kill() {
	_ = n.callerHTTP.Close()
	n.closeRemaining()
}

// waitBalancerNotice keeps serving until the balancer has noticed that this
// router isn't ready. A router without a configuration has served no requests,
// so it doesn't wait.
func (n *Node) waitBalancerNotice(ctx context.Context) {
	if n.config.Current() == nil {
		return
	}
	select {
	case <-time.After(balancerNotice):
	case <-ctx.Done():
	}
}

// closeCallerServer stops accepting callers' requests and waits for those in
// progress.
func (n *Node) closeCallerServer(ctx context.Context) error {
	_ = n.callerLis.Close()
	err := n.intakes.callers.Drain(ctx)
	if err == nil {
		err = n.callerHTTP.Shutdown(ctx)
	}
	if err != nil {
		_ = n.callerHTTP.Close()
	}
	return err
}

func (n *Node) closeRemaining() {
	n.stopBackground()
	n.stopLedger()
	_ = n.operatorHTTP.Close()
	n.intakes.close()
	stopGRPC(n.peerGRPC)
	n.background.Wait()
	n.pool.Close()
	_ = n.platform.Close()
}

// stopGRPC waits up to grpcCloseTimeout for calls in progress, then cuts them
// off.
func stopGRPC(g *grpc.Server) {
	done := make(chan struct{})
	go func() {
		g.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(grpcCloseTimeout):
		g.Stop()
		<-done
	}
}

// isShutdownError reports whether an error is only the result of a shutdown.
func isShutdownError(err error) bool {
	return errors.Is(err, context.Canceled) ||
		errors.Is(err, http.ErrServerClosed) ||
		errors.Is(err, grpc.ErrServerStopped) ||
		errors.Is(err, net.ErrClosed)
}
