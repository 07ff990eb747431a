// Package loadgen generates seeded open-loop load on caller APIs or, for
// comparison, directly on model engines, and measures the responses.
//
// Requests arrive by a Poisson process that doesn't depend on the responses, and
// latencies count from the planned arrival, so that a slow system can't slow down
// the load that measures it (coordinated omission). Every streamed response is
// checked: consecutive offsets, the request's id, and the length and digest in
// the end event.
package loadgen
