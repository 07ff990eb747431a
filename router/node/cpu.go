package node

import (
	"syscall"
	"time"
)

// processCPUSeconds returns the CPU time that this process has used so far, in
// seconds, or 0 if the system doesn't report it.
func processCPUSeconds() float64 {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		return 0
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return used.Seconds()
}
