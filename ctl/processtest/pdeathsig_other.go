//go:build !linux

package processtest

import "syscall"

// killOnParentExit does nothing, as only Linux has parent-death signals; the
// cleanup of the tests kills the child processes.
func killOnParentExit() *syscall.SysProcAttr { return nil }
