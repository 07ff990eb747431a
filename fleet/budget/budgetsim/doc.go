// Package budgetsim tests the budget rules of many routers against an in-memory
// platform. It runs in one goroutine, and all choices come from one source.
//
// A World has routers in several data centres; messages that are lost,
// duplicated, reordered and late; a platform that refuses, loses responses
// after a commit and applies writes late; routers that are killed, paused and stopped
// as planned; and operators that top up, lower, close and release. After each
// step it compares the tokens that were really used with those prepaid.
//
// A Bug breaks one rule on purpose, to show that the checks detect it.
package budgetsim
