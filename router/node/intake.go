package node

import (
	"expvar"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	fleetintake "cuminrock.example/fleet/intake"
	"cuminrock.example/router/intake"
)

const (
	// operatorConnections is the number of operators' connections, and operatorBytes bounds
	// the heads that they bring.
	operatorConnections, operatorBytes = 64, 256 << 10
	// peerConnections is the number of connections of other routers.
	peerConnections = 2048
)

// intakes are the bounds on what each listener's clients make the process hold.
type intakes struct {
	callers, operators, peers *intake.Set
}

func newIntakes(n *Node) intakes {
	limits := n.settings.CallerLimits
	i := intakes{
		callers:   n.newIntake("callers", fleetintake.LimitsFor(int64(limits.MemoryMib)<<20, int(limits.FileDescriptors)), false),
		operators: n.newIntake("operators", fleetintake.Limits{Contents: operatorBytes, Connections: operatorConnections, Refused: 1}, false),
		peers:     n.newIntake("peers", fleetintake.Limits{Connections: peerConnections, Refused: 1}, true),
	}
	n.vars.Set("intake", expvar.Func(func() any { return i.callers.Usage() }))
	return i
}

func (n *Node) newIntake(name string, limits fleetintake.Limits, opaque bool) *intake.Set {
	return intake.NewSet(intake.Options{
		Name: name, Limits: limits, Opaque: opaque, Answers: func() int64 { return 0 },
		Registry: prometheus.NewRegistry(), Log: n.log, Now: time.Now,
	})
}

// close closes the connections whose callers have been refused.
func (i intakes) close() {
	for _, set := range []*intake.Set{i.callers, i.operators, i.peers} {
		set.Close()
	}
}
