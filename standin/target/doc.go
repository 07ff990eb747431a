// Package target holds what the emulators of model engines and plain services
// share: an HTTP server whose connections can be silenced, the injection of
// faults into single requests, the load report and the protocol headers.
package target
