package target

import (
	"maps"
	"strconv"
	"sync"
)

// RunCounter counts how often each id ran. It is safe for concurrent use.
type RunCounter struct {
	mu   sync.Mutex
	byID map[string]int
}

// Add counts one run of an id and returns the id's new count.
func (r *RunCounter) Add(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = make(map[string]int)
	}
	r.byID[id]++
	return r.byID[id]
}

// Snapshot returns a copy of the run counts by id.
func (r *RunCounter) Snapshot() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.byID)
}

// Count returns the number of runs of one id.
func (r *RunCounter) Count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// Repeated returns the number of ids that ran more than once.
func (r *RunCounter) Repeated() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	repeated := 0
	for _, n := range r.byID {
		if n > 1 {
			repeated++
		}
	}
	return repeated
}

// wrongID returns a request id that no request has.
func wrongID(seq uint64) string {
	return "crossed-" + strconv.FormatUint(seq, 10)
}
