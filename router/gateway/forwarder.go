package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/forwarding"
	"cuminrock.example/fleet/home"
	"cuminrock.example/router/forward"
	"cuminrock.example/router/peerconn"
	"cuminrock.example/router/reachability"
)

// forwarder sends requests to targets through other gateways while this one is cut off,
// and does the same for others.
type forwarder struct {
	gateways *forwarding.Table
	conns    *peerconn.Pool
	client   *forward.Client
	server   *forward.Server
}

// newReachability returns the monitor that is told of all connections to targets.
func newReachability(g *Gateway) *reachability.Monitor {
	conns := g.platform.Conns
	m := reachability.New(reachability.Options{
		Connect: conns.TryConnect, Targets: g.targets.Targets, OnChange: g.onReachabilityChange,
		Metrics: reachability.NewMetrics(g.registry), Log: g.log, Now: time.Now,
	})
	counts := newConnectionCounts(g.registry)
	conns.OnConnect = func(address string, began time.Time, err error) {
		counts.record(err)
		m.RecordConnect(address, began, err)
	}
	return m
}

// onReachabilityChange forgets what a cut, which has begun or ended, may have done to
// the state of targets and of connections.
func (g *Gateway) onReachabilityChange(cutOff bool) {
	g.targets.ForgetFailures(time.Now())
	if cutOff {
		g.platform.Conns.CloseAllIdle()
	} else {
		g.forward.conns.Retain(nil) // requests in progress go on
	}
}

func newForwarder(g *Gateway) *forwarder {
	conns := forward.NewConns()
	gateways := forwarding.NewInRegions(home.Gateway{Name: g.settings.Name, DataCentre: g.settings.DataCentre}, g.settings.DataCentreRegions)
	metrics := forward.NewMetrics(g.registry)
	return &forwarder{
		gateways: gateways, conns: conns,
		client: forward.NewClient(forward.Options{
			Direct: g.platform.Upstream, Reachability: g.reachability, ConnectionRefused: g.connectionRefused, Evacuated: g.targets.Evacuated, Gateways: gateways, Peers: forward.NewGRPCPeers(conns),
			Metrics: metrics, Log: g.log, Now: time.Now,
		}),
		server: forward.NewServer(forward.ServerOptions{
			Targets: g.targets, Upstream: g.platform.Upstream, Reachability: g.reachability, ConnectionRefused: g.connectionRefused,
			Overloaded: g.refusesForwarded, Egress: g.egress, Metrics: metrics, Log: g.log, Now: time.Now,
		}),
	}
}

// refusesForwarded reports whether this gateway passes no requests on: while it has too
// much work, and after its start until it has read the operator's rows, since it doesn't
// know yet which data centres are evacuated.
func (g *Gateway) refusesForwarded(urgent bool) bool {
	return g.catalog.Load() == nil || g.overloaded(urgent)
}

// update takes the registered gateways.
func (f *forwarder) update(registered []home.Gateway, addresses map[string]struct{}) {
	f.gateways.Update(registered)
	f.conns.Retain(addresses)
}

// register offers the service on the listener for other gateways.
func (f *forwarder) register(p *peers) { pb.RegisterForwardServiceServer(p.grpc, f.server) }

// connectionRefused reports whether a new connection to a target's address is refused.
func (g *Gateway) connectionRefused(ctx context.Context, address string) bool {
	return errors.Is(g.platform.Conns.TryConnect(ctx, address), syscall.ECONNREFUSED)
}
