// Package engine emulates a model engine: it streams generated tokens at a
// fixed rate to many callers at once, keeps streams so that they can be
// resumed, and counts what it ran.
//
// The text depends only on the seed and the request body, so that a resumed
// response is byte-identical and another engine with the same seed generates
// the same text.
package engine
