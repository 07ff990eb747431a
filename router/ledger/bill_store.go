package ledger

import (
	"sync"
	"sync/atomic"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// billStore keeps the bills that are not settled at the platform yet: this
// router's own entries and copies of other routers' entries.
type billStore struct {
	mu     sync.Mutex
	own    *budget.Outbox
	copies *budget.CopyStore
	// full is true while there is no room for the bills of further requests.
	full atomic.Bool
}

// maxHomeSends is how often an entry is sent to its home before this router
// settles it itself.
const maxHomeSends = 6

// add stores one of this router's own entries. If encode is true, it returns
// the entry in its wire form.
func (b *billStore) add(e budget.OutboxEntry, encode bool) *pb.BillEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.own.Add(e)
	b.full.Store(b.own.Full())
	if !encode {
		return nil
	}
	stored, _ := b.own.Get(n)
	return b.own.Proto(n, stored)
}

// remove drops entries that are settled at the platform.
func (b *billStore) remove(ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		if n, ok := b.own.ParseEntryID(id); ok {
			b.own.Remove(n)
			continue
		}
		b.copies.MarkSettled(id)
	}
	b.full.Store(b.own.Full())
}

func (b *billStore) len() (own, copies int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own.Len(), b.copies.Len()
}

// settleable returns entries for this router to settle: up to limit copies,
// and own entries of budgets whose home is this router or has not settled them
// after maxHomeSends sends. If all is true, it includes own entries of every
// home. It returns at most 2*limit entries.
func (b *billStore) settleable(limit int, all bool, isHome func(budget string) bool) []*pb.BillEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := b.copies.Oldest(limit)
	b.own.Each(0, func(n uint64, e *budget.OutboxEntry) bool {
		if all || e.Sends >= maxHomeSends || isHome(e.Budget) {
			entries = append(entries, b.own.Proto(n, e))
		}
		return len(entries) < 2*limit
	})
	return entries
}

// homeBatch is a batch of entries to send to one home.
type homeBatch struct {
	home    *pb.Member
	entries []*pb.BillEntry
}

// sendable returns up to limit own entries whose home is another router,
// grouped by home, and counts a send for each of them.
func (b *billStore) sendable(limit int, home func(budget string) (*pb.Member, bool)) map[string]*homeBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	byHome := make(map[string]*homeBatch)
	count := 0
	b.own.Each(0, func(n uint64, e *budget.OutboxEntry) bool {
		member, self := home(e.Budget)
		if self || member == nil || e.Sends >= maxHomeSends {
			return true
		}
		e.Sends++
		if byHome[member.Incarnation] == nil {
			byHome[member.Incarnation] = &homeBatch{home: member}
		}
		s := byHome[member.Incarnation]
		s.entries = append(s.entries, b.own.Proto(n, e))
		count++
		return count < limit
	})
	return byHome
}

// outstanding returns the tokens of a grant in the stored bills, by budget.
// Copies are included because their origin may be gone. If it is not, they are
// counted twice, which is safe: the result is only ever too high.
func (b *billStore) outstanding(grant string) map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	sums := make(map[string]int64)
	b.own.Each(0, func(_ uint64, e *budget.OutboxEntry) bool {
		for i := range e.Parts.Len() {
			if part := e.Parts.At(i); part.Grant == grant {
				sums[e.Budget] += part.Tokens
			}
		}
		return true
	})
	b.copies.Each(func(e *pb.BillEntry) { addOutstanding(e, grant, sums) })
	return sums
}

// find returns an unsettled entry of a request.
func (b *billStore) find(requestID string) (*pb.BillEntry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found *pb.BillEntry
	b.own.Each(0, func(n uint64, e *budget.OutboxEntry) bool {
		if e.RequestID == requestID {
			found = b.own.Proto(n, e)
		}
		return found == nil
	})
	if found != nil {
		return found, true
	}
	return b.copies.FindByRequest(requestID)
}
