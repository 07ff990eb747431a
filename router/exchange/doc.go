// Package exchange is an HTTP/1.1 client with a connection pool. It reports exactly
// how far each request got.
//
// net/http's Transport retries a request by itself when a reused connection turns
// out to be closed, and discards what a target sends after a response. Neither is
// acceptable for requests that must not run twice. Here a request is written at most
// once, an error says whether any byte of it was written, and a response that echoes
// another request's id is skipped.
package exchange
