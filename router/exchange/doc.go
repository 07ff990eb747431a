// Package exchange carries single HTTP/1.1 requests to targets over pooled
// connections, and tells exactly how far each got.
//
// net/http's Transport sends a request again by itself when a reused
// connection turns out to be closed, and drops what a target sends beyond an
// answer. Neither fits requests that must not run twice: here a request is
// written at most once, a failure says whether any byte of it was written, and
// an answer that echoes another request's id is skipped.
package exchange
