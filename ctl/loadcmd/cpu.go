package loadcmd

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
	// Places of user and system time among the fields that follow the
	// command's name in /proc/<pid>/stat.
	userField   = 11
	systemField = 12
)

// processorTime returns the time that processes have used; those that can't
// be read count as 0.
func processorTime(pids []string) time.Duration {
	var total time.Duration
	for _, pid := range pids {
		total += processTime(pid)
	}
	return total
}

func processTime(pid string) time.Duration {
	stat, err := os.ReadFile(filepath.Join("/proc", pid, "stat"))
	if err != nil {
		return 0
	}
	// The command's name is in parentheses and may hold spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * clockTick
}
