// Package target is the HTTP client of the targets: model engines and plain
// services, as docs/TARGET-PROTOCOL.md describes them.
//
// Every failure is an *errkind.Error whose kind tells the truth on whether the
// call ran: a kind of run state not_run is returned only when no byte of the
// request was written to a connection, and none can be later, or when the
// target itself answered that it didn't start.
//
// An answer is given to the caller of a method only if it echoes that call's
// request id. Another answer is dropped, counted, and its connection closed.
package target
