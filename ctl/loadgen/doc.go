// Package loadgen makes seeded open-loop load against caller doors or, for
// comparison, straight against model engines, and measures it.
//
// Requests arrive by a Poisson process whatever the answers do, and times are
// taken from the planned arrival, so that a slow system does not slow the
// load that measures it. Every streamed answer is checked: consecutive
// offsets, the request's own id, and length and digest of the end event.
package loadgen
