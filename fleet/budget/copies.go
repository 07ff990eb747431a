package budget

import pb "cuminrock.example/api/gen/cuminrockpb"

// CopyStore keeps other routers' bill entries at their budget's home, oldest
// first, and remembers the ids of the newest settled ones, so that it can
// tell their origins.
type CopyStore struct {
	kept    map[string]*pb.BillEntry
	order   []string
	most    int
	settled map[string]struct{}
	ring    []string
	next    int
}

// NewCopyStore returns an empty store for at most entries that remembers as many
// settled ids as ids says.
func NewCopyStore(most, ids int) *CopyStore {
	return &CopyStore{
		kept:    make(map[string]*pb.BillEntry),
		most:    most,
		settled: make(map[string]struct{}),
		ring:    make([]string, ids),
	}
}

// Len returns the number of entries kept.
func (c *CopyStore) Len() int { return len(c.kept) }

// Add keeps an entry where there is room. It reports whether the platform
// already holds it. A copy that finds no room stays with its origin alone.
func (c *CopyStore) Add(e *pb.BillEntry) (settled bool) {
	if _, ok := c.settled[e.Id]; ok {
		return true
	}
	if len(c.kept) < c.most {
		c.ForceAdd(e)
	}
	return false
}

// ForceAdd keeps an entry even where there is no room, since something here
// depends on it.
func (c *CopyStore) ForceAdd(e *pb.BillEntry) {
	if _, ok := c.kept[e.Id]; ok {
		return
	}
	c.kept[e.Id] = e
	c.order = append(c.order, e.Id)
}

// Oldest returns up to n entries.
func (c *CopyStore) Oldest(n int) []*pb.BillEntry {
	var oldest []*pb.BillEntry
	live := c.order[:0:0]
	for i, id := range c.order {
		if len(oldest) >= n {
			live = append(live, c.order[i:]...)
			break
		}
		if e, ok := c.kept[id]; ok {
			oldest = append(oldest, e)
			live = append(live, id)
		}
	}
	c.order = live
	return oldest
}

// Each calls f for all entries kept, in no order.
func (c *CopyStore) Each(f func(e *pb.BillEntry)) {
	for _, e := range c.kept {
		f(e)
	}
}

// FindByRequest returns an entry kept for a request.
func (c *CopyStore) FindByRequest(requestID string) (*pb.BillEntry, bool) {
	for _, e := range c.kept {
		if e.RequestId == requestID {
			return e, true
		}
	}
	return nil, false
}

// MarkSettled drops an entry that the platform holds and remembers its id.
func (c *CopyStore) MarkSettled(id string) {
	if _, ok := c.kept[id]; !ok {
		return
	}
	delete(c.kept, id)
	delete(c.settled, c.ring[c.next])
	c.ring[c.next] = id
	c.settled[id] = struct{}{}
	c.next = (c.next + 1) % len(c.ring)
}
