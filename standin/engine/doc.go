// Package engine is a stand-in of a model engine: it streams generated
// tokens at a set rate to many callers at once, keeps streams so that they
// can be resumed, and counts what it ran.
//
// The text follows from the seed and the request body alone, so that a
// resumed answer is byte-identical and another engine of the same seed gives
// the same one.
package engine
