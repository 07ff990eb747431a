package gateway

import (
	"net"

	"github.com/gravitational/trace"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/intake"
)

// listeners holds the gateway's listeners.
type listeners struct {
	caller, readiness, metrics net.Listener
	// peer is nil without an address in the settings.
	peer net.Listener
}

// listen opens the listeners. That the addresses are free also proves that no earlier
// run on this machine is still running.
func listen(settings *pb.GatewayDoors) (*listeners, error) {
	l := &listeners{}
	listenPlain := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	for _, endpoint := range []struct {
		lis     *net.Listener
		address string
		open    func(address string) (net.Listener, error)
	}{
		{&l.caller, settings.Caller, intake.Listen},
		{&l.readiness, settings.Readiness, intake.Listen},
		{&l.metrics, settings.Metrics, intake.Listen},
		{&l.peer, settings.Peer, listenPlain},
	} {
		if endpoint.address == "" {
			continue
		}
		lis, err := endpoint.open(endpoint.address)
		if err != nil {
			l.close()
			return nil, trace.Wrap(err, "opening a listener")
		}
		*endpoint.lis = lis
	}
	return l, nil
}

// Addresses are host:port of a gateway's listeners, with the ports that were chosen where
// the settings have 0. Peer is empty without one.
type Addresses struct {
	Caller, Readiness, Metrics, Peer string
}

// Addresses returns where the gateway listens.
func (g *Gateway) Addresses() Addresses { return g.addresses }

func (l *listeners) addresses() Addresses {
	a := Addresses{Caller: l.caller.Addr().String(), Readiness: l.readiness.Addr().String(), Metrics: l.metrics.Addr().String()}
	if l.peer != nil {
		a.Peer = l.peer.Addr().String()
	}
	return a
}

func (l *listeners) close() {
	for _, lis := range []net.Listener{l.caller, l.readiness, l.metrics, l.peer} {
		if lis != nil {
			_ = lis.Close()
		}
	}
}
