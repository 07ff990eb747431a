// Package processtest runs the real binaries, cuminrock-router and
// cuminrockctl's stand-ins, as processes on loopback, and breaks them: kill,
// freeze, cut, outage and planned stop.
//
// A Fleet is one platform stand-in with a door for each data centre, targets,
// and routers whose peer doors stand behind relays that can be cut. Tests act
// as callers and operators would, and judge by what the stand-ins counted and
// by the rows in the platform, never by what a router says of itself.
//
// Helpers wait by polling with a generous cap; no test asserts on the clock.
package processtest
