package node

import (
	"syscall"
	"time"
)

// processSeconds returns the processor time of this process so far, in
// seconds; 0 where the system doesn't tell.
func processSeconds() float64 {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		return 0
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return used.Seconds()
}
