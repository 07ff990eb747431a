// Package budgetsim runs many routers' budget decisions against a platform in
// memory, in one goroutine, from one seed.
package budgetsim
