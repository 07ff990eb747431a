// Package budgetsim runs many routers' budget decisions against a platform in
// memory, in one goroutine, from one source of choices.
//
// A World has routers in several data centres, messages that are lost,
// doubled, reordered and late, a platform that refuses, loses answers after
// commit and applies writes late, routers that are killed, paused and stopped
// as planned, and operators that top up, lower, close and release. After each
// step it compares what has really run with what was prepaid.
//
// A Plant breaks one decision on purpose, to show that the checks find it.
package budgetsim
