package processtest

import "syscall"

// dieWithParent makes a child end when the test process does, so that a test
// that is killed leaves nothing behind.
func dieWithParent() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
