package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	fleetintake "cuminrock.example/fleet/intake"
	"cuminrock.example/router/callerconn"
	"cuminrock.example/router/intake"
)

const (
	// checkerBytes bounds the heads that are brought to a listener that answers load
	// balancers or operators.
	checkerBytes = 256 << 10
	// socketsPerChecker and socketsPerPeer are the number of sockets that there must be for
	// each connection to one of these listeners, or of another gateway.
	socketsPerChecker, socketsPerPeer = 40, 8
	// unlimitedSockets is their number without a limit in the settings.
	unlimitedSockets = 1 << 16
	// minCheckers and maxCheckers bound the connections to one of these listeners, and
	// minPeers those of other gateways from below.
	minCheckers, maxCheckers, minPeers = 4, 64, 16
	// checkerHeaderBytes bounds one of these heads.
	checkerHeaderBytes = 8 << 10
	// checkerTimeout bounds the time for a request to these listeners, and for its answer.
	checkerTimeout = 10 * time.Second
)

// intakes are the bounds on what each listener's clients make the process hold.
type intakes struct {
	callers, readiness, metrics, peers *intake.Set
}

func newIntakes(g *Gateway, callers fleetintake.Limits) intakes {
	sockets := unlimitedSockets
	if g.settings.FileDescriptors > 0 {
		sockets = fleetintake.Sockets(int(g.settings.FileDescriptors))
	}
	checkers := fleetintake.Limits{Contents: checkerBytes, Connections: min(max(sockets/socketsPerChecker, minCheckers), maxCheckers), Refused: 1}
	peers := fleetintake.Limits{Connections: max(sockets/socketsPerPeer, minPeers), Refused: 1}
	return intakes{
		callers: g.newIntake("callers", callers, func() int64 {
			held, _ := g.callerBuffers.Held()
			return held
		}),
		readiness: g.newIntake("readiness", checkers, noAnswers),
		metrics:   g.newIntake("metrics", checkers, noAnswers),
		peers: intake.NewSet(intake.Options{
			Name: "peers", Limits: peers, Opaque: true, Answers: noAnswers, Registry: g.registry, Log: g.log, Now: time.Now,
		}),
	}
}

// noAnswers is what is held of the answers of a listener that writes none ahead.
func noAnswers() int64 { return 0 }

func (g *Gateway) newIntake(name string, limits fleetintake.Limits, answers func() int64) *intake.Set {
	return intake.NewSet(intake.Options{Name: name, Limits: limits, Answers: answers, Registry: g.registry, Log: g.log, Now: time.Now})
}

// close closes the connections whose callers have been refused.
func (i intakes) close() {
	for _, set := range []*intake.Set{i.callers, i.readiness, i.metrics, i.peers} {
		set.Close()
	}
}

// onStateChange is the ConnState hook of the callers' server.
func (g *Gateway) onStateChange(c net.Conn, state http.ConnState) {
	g.callers.onStateChange(c, state)
	intake.ConnState(c, state)
}

// callerConnContext is the ConnContext hook of the callers' server.
func callerConnContext(ctx context.Context, c net.Conn) context.Context {
	ctx = intake.ConnContext(ctx, c)
	if conn, ok := c.(*intake.Conn); ok {
		c = conn.Conn
	}
	return callerconn.ConnContext(ctx, c)
}
