package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/home"
	fleetlimit "cuminrock.example/fleet/targetlimit"
	"cuminrock.example/router/homebudget"
	"cuminrock.example/router/peerconn"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/targetlimit"
)

// gatewaysTable is the table in which each gateway registers under its name.
const gatewaysTable = "gateways"

// peers is what a gateway shares with the others of the deployment: the register
// of gateways, and the reservations of tokens at each other.
type peers struct {
	homes     *home.Table
	conns     *peerconn.Pool
	budgets   *homebudget.Budgets
	server    *homebudget.Server
	grpc      *grpc.Server
	registrar *registrar
}

// newPeers returns the peers' side of a gateway that listens at the address.
func newPeers(g *Gateway, incarnation, address string) *peers {
	self := home.Gateway{Name: g.settings.Name, DataCentre: g.settings.DataCentre, PeerAddress: address}
	p := &peers{homes: home.New(self), conns: homebudget.NewConns()}
	metrics := homebudget.NewMetrics(g.registry)
	p.budgets = homebudget.New(homebudget.Options{
		Local: g.budgets, Homes: p.homes, Peers: homebudget.NewGRPCPeers(p.conns), Incarnation: incarnation,
		Metrics: metrics, Log: g.log, Now: time.Now,
	})
	p.server = homebudget.NewServer(homebudget.ServerOptions{
		Local: g.budgets, Catalog: g.catalog.Load, Metrics: metrics, Log: g.log, Now: time.Now,
	})
	p.grpc = p.server.GRPCServer()
	g.forward.register(p)
	p.registrar = newRegistrar(g.platform.Tables, self, g.log)
	return p
}

// newLimiter returns the limiter of requests to targets. The permits of a gateway
// that has no listener for others are its own.
func newLimiter(g *Gateway) *targetlimit.Limiter {
	opts := targetlimit.Options{
		Alone: g.peers == nil, Cold: g.coldRule,
		Homes: home.New(home.Gateway{Name: g.settings.Name, DataCentre: g.settings.DataCentre}), Clock: g.platform.Clock,
		Metrics: targetlimit.NewMetrics(g.registry), Log: g.log, Now: time.Now,
	}
	if g.peers == nil {
		return targetlimit.New(opts)
	}
	opts.Homes, opts.Peers = g.peers.homes, targetlimit.NewGRPCPeers(g.peers.conns)
	limiter := targetlimit.New(opts)
	pb.RegisterTargetLimitServiceServer(g.peers.grpc, targetlimit.NewServer(limiter))
	return limiter
}

// markCold takes note that the targets of a data centre may be cold, as they are at the
// end of an evacuation.
func (g *Gateway) markCold(dataCentre string) {
	c := g.catalog.Load()
	if c == nil {
		return
	}
	period := c.LongestColdPeriod()
	if period > 0 {
		g.limits.MarkCold(dataCentre, period)
	}
}

// coldRule returns what the configuration says of the cold targets of a service.
func (g *Gateway) coldRule(service string) fleetlimit.ColdRule {
	c := g.catalog.Load()
	if c == nil {
		return fleetlimit.ColdRule{}
	}
	s := c.Service(service)
	if s == nil || s.ColdStart == nil {
		return fleetlimit.ColdRule{}
	}
	return fleetlimit.ColdRule{Bound: s.ColdStart.PerSecond*g.settings.ColdOvershoot + g.settings.ColdStartSlack, Period: s.ColdStart.Period}
}

// start serves other gateways and follows their register until ctx ends.
func (p *peers) start(ctx context.Context, g *Gateway, lis net.Listener) {
	g.wg.Go(func() {
		err := p.grpc.Serve(g.intake.peers.Listener(lis))
		if err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			g.log.Error("gateway: a server stopped unexpectedly.", zap.Stringer("address", lis.Addr()), zap.Error(err))
		}
	})
	g.wg.Go(func() { p.budgets.Run(ctx) })
	g.wg.Go(func() { p.registrar.run(ctx) })
	view := &gatewayView{peers: p, forward: g.forward, limits: g.limits, log: g.log, known: make(map[string]home.Gateway)}
	g.wg.Go(func() { g.watchTable(ctx, gatewaysTable, view, gatewaysWatch) })
}

// drain settles the reservations at other gateways, and waits until those of
// others here are settled.
func (p *peers) drain(ctx context.Context) error {
	return errors.Join(p.budgets.Close(ctx), p.server.Drain(ctx))
}

// close closes the server and all connections.
func (p *peers) close() {
	p.grpc.Stop()
	p.conns.Close()
}

// gatewayView tracks the gateways that are registered in the store.
type gatewayView struct {
	peers   *peers
	forward *forwarder
	limits  *targetlimit.Limiter
	log     *zap.Logger
	known   map[string]home.Gateway
}

func (v *gatewayView) replace(rows []platformclient.Entry) {
	clear(v.known)
	v.update(rows)
}

func (v *gatewayView) update(rows []platformclient.Entry) {
	for _, row := range rows {
		v.applyRow(row)
	}
	registered := make([]home.Gateway, 0, len(v.known))
	addresses := make(map[string]struct{}, len(v.known))
	for _, gateway := range v.known {
		registered = append(registered, gateway)
		addresses[gateway.PeerAddress] = struct{}{}
	}
	v.peers.homes.Update(registered)
	v.limits.SetGateways(registered)
	v.peers.conns.Retain(addresses)
	v.forward.update(registered, addresses)
	if v.known[v.peers.homes.Self().Name] != v.peers.homes.Self() {
		v.peers.registrar.wake()
	}
}

// expire implements tableView.
func (v *gatewayView) expire() {}

func (v *gatewayView) applyRow(row platformclient.Entry) {
	delete(v.known, row.Key)
	if row.Deleted {
		return
	}
	var entry pb.GatewayEntry
	err := proto.Unmarshal(row.Value, &entry)
	if err != nil || entry.PeerAddress == "" {
		v.log.Warn("gateways: ignoring an invalid entry.", zap.String("entry", row.Key), zap.Error(err))
		return
	}
	v.known[row.Key] = home.Gateway{Name: row.Key, DataCentre: entry.DataCentre, PeerAddress: entry.PeerAddress}
}
