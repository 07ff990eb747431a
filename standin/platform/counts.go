package platform

import "sync/atomic"

// Counts is what the platform did since its start, over all doors.
type Counts struct {
	// Transactions that took effect, and those whose conditions failed.
	Committed uint64 `json:"committed"`
	Conflicts uint64 `json:"conflicts"`
	// RowsWritten and BytesWritten are of the transactions that took effect.
	RowsWritten  uint64 `json:"rows_written"`
	BytesWritten uint64 `json:"bytes_written"`
	// Reads and Scans are calls; RowsRead is what they returned.
	Reads    uint64 `json:"reads"`
	Scans    uint64 `json:"scans"`
	RowsRead uint64 `json:"rows_read"`
	// Calls of the object store and the VM list.
	ObjectsPut uint64 `json:"objects_put"`
	ObjectsGot uint64 `json:"objects_got"`
	VMLists    uint64 `json:"vm_lists"`
	// Failed is calls that an outage or the caller's deadline ended.
	Failed uint64 `json:"failed"`
	// ResponsesDropped and LateCommits are commits that these faults hit.
	ResponsesDropped uint64 `json:"answers_lost"`
	LateCommits      uint64 `json:"late_commits"`
}

// counters is Counts while it is counted.
type counters struct {
	committed, conflicts, rowsWritten, bytesWritten atomic.Uint64
	reads, scans, rowsRead                          atomic.Uint64
	objectsPut, objectsGot, vmLists                 atomic.Uint64
	failed, answersLost, lateCommits                atomic.Uint64
}

func (c *counters) snapshot() Counts {
	return Counts{
		Committed:        c.committed.Load(),
		Conflicts:        c.conflicts.Load(),
		RowsWritten:      c.rowsWritten.Load(),
		BytesWritten:     c.bytesWritten.Load(),
		Reads:            c.reads.Load(),
		Scans:            c.scans.Load(),
		RowsRead:         c.rowsRead.Load(),
		ObjectsPut:       c.objectsPut.Load(),
		ObjectsGot:       c.objectsGot.Load(),
		VMLists:          c.vmLists.Load(),
		Failed:           c.failed.Load(),
		ResponsesDropped: c.answersLost.Load(),
		LateCommits:      c.lateCommits.Load(),
	}
}
