// Package service emulates a plain service, such as a registry or a vault,
// with lookups that may be repeated and actions that may not. It counts
// executions, so that a test can check what ran.
package service
