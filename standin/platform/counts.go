package platform

import "sync/atomic"

// Counts holds the counters of the platform since its start, over all
// listeners.
type Counts struct {
	// Committed counts the transactions that took effect, Conflicts those
	// whose conditions failed.
	Committed uint64 `json:"committed"`
	Conflicts uint64 `json:"conflicts"`
	// RowsWritten and BytesWritten cover the transactions that took effect.
	RowsWritten  uint64 `json:"rows_written"`
	BytesWritten uint64 `json:"bytes_written"`
	// Reads and Scans count calls; RowsRead counts the rows they returned.
	Reads    uint64 `json:"reads"`
	Scans    uint64 `json:"scans"`
	RowsRead uint64 `json:"rows_read"`
	// ObjectsPut, ObjectsGot and VMLists count the calls of the object store
	// and the VM list.
	ObjectsPut uint64 `json:"objects_put"`
	ObjectsGot uint64 `json:"objects_got"`
	VMLists    uint64 `json:"vm_lists"`
	// Failed counts the calls that failed before they were processed, because
	// of an outage or the caller's deadline.
	Failed uint64 `json:"failed"`
	// ResponsesDropped and LateCommits count the commits that these faults
	// affected.
	ResponsesDropped uint64 `json:"answers_lost"`
	LateCommits      uint64 `json:"late_commits"`
}

// counters holds the live counters behind Counts.
type counters struct {
	committed, conflicts, rowsWritten, bytesWritten atomic.Uint64
	reads, scans, rowsRead                          atomic.Uint64
	objectsPut, objectsGot, vmLists                 atomic.Uint64
	failed, responsesDropped, lateCommits           atomic.Uint64
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
		ResponsesDropped: c.responsesDropped.Load(),
		LateCommits:      c.lateCommits.Load(),
	}
}
