// Package standin is the root of the module that emulates the external
// systems, such as the platform and the targets, for tests and demos.
package standin
