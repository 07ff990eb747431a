// Package target is what the stand-ins of model engines and plain services
// share: the HTTP door with connections that can be made silent, the faults
// of single requests, the load report and the headers of the protocol.
package target
