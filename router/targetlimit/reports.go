package targetlimit

import (
	"sync"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/targetlimit"
)

const (
	// reportRetention is how long a report of a target's load is passed on to the issuer of
	// its permits, and maxReports the number of reports above which all are forgotten.
	reportRetention = 300 * time.Millisecond
	maxReports      = 10_000
)

// reports holds the loads that targets last reported to this gateway.
type reports struct {
	mu     sync.Mutex
	latest map[placement.Process]report
}

type report struct {
	load placement.Load
	at   time.Time
}

func newReports() *reports { return &reports{latest: make(map[placement.Process]report)} }

func (r *reports) add(p placement.Process, load placement.Load, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.latest) >= maxReports {
		clear(r.latest)
	}
	r.latest[p] = report{load: load, at: now}
}

// get returns the last report of a process; one without a load if that is old.
func (r *reports) get(p placement.Process, now time.Time) targetlimit.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.latest[p]
	if !known || now.Sub(last.at) > reportRetention {
		return targetlimit.Report{}
	}
	return targetlimit.Report{Load: &last.load, Age: now.Sub(last.at)}
}

func encodeReport(r targetlimit.Report) (*pb.TargetLoad, int64) {
	if r.Load == nil {
		return nil, 0
	}
	return &pb.TargetLoad{Running: int64(r.Load.Running), Waiting: int64(r.Load.Waiting), Slots: int64(r.Load.Slots)}, r.Age.Milliseconds()
}

func decodeReport(load *pb.TargetLoad, ageMs int64) targetlimit.Report {
	if load == nil {
		return targetlimit.Report{}
	}
	return targetlimit.Report{
		Load: &placement.Load{Running: int(load.Running), Waiting: int(load.Waiting), Slots: int(load.Slots)},
		Age:  time.Duration(ageMs) * time.Millisecond,
	}
}
