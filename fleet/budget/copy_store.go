package budget

import pb "cuminrock.example/api/gen/cuminrockpb"

// CopyStore keeps copies of other routers' bill entries at their budget's home,
// oldest first. It remembers the ids of the entries settled most recently, so
// that it can tell their origins.
type CopyStore struct {
	entries    map[string]*pb.BillEntry
	order      []string
	capacity   int
	settledIDs map[string]struct{}
	// recentIDs is a ring buffer of the ids in settledIDs.
	recentIDs  []string
	nextRecent int
}

// NewCopyStore returns an empty store for at most capacity entries that
// remembers up to maxSettledIDs ids of settled ones.
func NewCopyStore(capacity, maxSettledIDs int) *CopyStore {
	return &CopyStore{
		entries:    make(map[string]*pb.BillEntry),
		capacity:   capacity,
		settledIDs: make(map[string]struct{}),
		recentIDs:  make([]string, maxSettledIDs),
	}
}

// Len returns the number of entries stored.
func (c *CopyStore) Len() int { return len(c.entries) }

// Add stores an entry if there is room and reports whether the platform already
// has it. An entry that finds no room stays with its origin only.
func (c *CopyStore) Add(e *pb.BillEntry) (settled bool) {
	if _, ok := c.settledIDs[e.Id]; ok {
		return true
	}
	if len(c.entries) < c.capacity {
		c.ForceAdd(e)
	}
	return false
}

// ForceAdd stores an entry even beyond the capacity, because this router
// depends on it.
func (c *CopyStore) ForceAdd(e *pb.BillEntry) {
	if _, ok := c.entries[e.Id]; ok {
		return
	}
	c.entries[e.Id] = e
	c.order = append(c.order, e.Id)
}

// Oldest returns up to n entries.
func (c *CopyStore) Oldest(n int) []*pb.BillEntry {
	var oldest []*pb.BillEntry
	remaining := c.order[:0:0]
	for i, id := range c.order {
		if len(oldest) >= n {
			remaining = append(remaining, c.order[i:]...)
			break
		}
		if e, ok := c.entries[id]; ok {
			oldest = append(oldest, e)
			remaining = append(remaining, id)
		}
	}
	c.order = remaining
	return oldest
}

// Each calls f for all entries, in no particular order.
func (c *CopyStore) Each(f func(e *pb.BillEntry)) {
	for _, e := range c.entries {
		f(e)
	}
}

// FindByRequest returns an entry of a request.
func (c *CopyStore) FindByRequest(requestID string) (*pb.BillEntry, bool) {
	for _, e := range c.entries {
		if e.RequestId == requestID {
			return e, true
		}
	}
	return nil, false
}

// MarkSettled removes an entry that the platform has and remembers its id.
func (c *CopyStore) MarkSettled(id string) {
	if _, ok := c.entries[id]; !ok {
		return
	}
	delete(c.entries, id)
	delete(c.settledIDs, c.recentIDs[c.nextRecent])
	c.recentIDs[c.nextRecent] = id
	c.settledIDs[id] = struct{}{}
	c.nextRecent = (c.nextRecent + 1) % len(c.recentIDs)
}
