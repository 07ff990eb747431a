//go:build !linux

package processtest

import "syscall"

// dieWithParent has no counterpart here; the tests' cleanup ends children.
func dieWithParent() *syscall.SysProcAttr { return nil }
