// Package target is the HTTP client for targets: model engines and plain
// services, as docs/TARGET-PROTOCOL.md describes them.
//
// Every error is an *errkind.Error whose kind says whether the call ran. A kind
// with the run state not_run is returned only if no byte of the request was
// written to a connection and none can be written later, or if the target
// itself responded that it didn't start the call.
//
// A response is returned only if it echoes the request ID of its call. Any other
// response is dropped and counted, and its connection is closed.
package target
