package benchutil

import (
	"syscall"
	"time"
)

// CPUTime returns the processor time that this process has used, or 0 if the
// operating system doesn't report it.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
