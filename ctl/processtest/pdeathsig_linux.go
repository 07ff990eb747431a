package processtest

import "syscall"

// killOnParentExit makes the kernel kill a child process when the test process
// exits, so that a killed test leaves no processes behind.
func killOnParentExit() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
