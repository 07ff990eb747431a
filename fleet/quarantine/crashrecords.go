package quarantine

import "cuminrock.example/fleet/placement"

// crashRecords are records of crashes, several of which may be of one process.
// endedMs is the earliest time of each process's crash.
type crashRecords struct {
	list    []Crash
	endedMs map[placement.Process]int64
}

// add adds the crashes that still count.
func (r *crashRecords) add(c Crash, nowMs int64) {
	if c.AtMs <= nowMs-retention.Milliseconds() {
		return
	}
	r.list = append(r.list, c)
	endedMs, found := r.endedMs[c.Process]
	if !found || c.AtMs < endedMs {
		r.endedMs[c.Process] = c.AtMs
	}
}
