// Package service is a stand-in of a plain service, such as a registry or a
// vault: lookups that may be repeated and actions that may not. It counts
// executions, so that a test sees there what ran.
package service
