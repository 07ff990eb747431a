// Package processtest runs the real binaries, cuminrock-router and the
// stand-ins of cuminrockctl, as processes on loopback and injects faults:
// kills, pauses, network partitions, platform outages and graceful stops.
//
// A Fleet consists of one platform stand-in with an endpoint for each data
// centre, targets, and routers whose peer listeners are behind TCP proxies
// that can simulate a partition. Tests act as callers and operators. They
// check the counters of the stand-ins and the rows in the platform rather than
// rely on what a router reports about itself.
//
// Helpers wait by polling with a generous timeout; no test asserts on the
// clock.
package processtest
