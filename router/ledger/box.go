package ledger

import (
	"sync"
	"sync/atomic"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// box keeps the bills that the platform doesn't hold yet: this router's own
// and copies of others'.
type box struct {
	mu     sync.Mutex
	own    *budget.Outbox
	copies *budget.CopyStore
	// full is true while no further request may start.
	full atomic.Bool
}

// sendsBeforeOwn is how often an entry goes to its home before this router
// settles it itself.
const sendsBeforeOwn = 6

// add keeps an own entry. It returns it as sent where asked for.
func (b *box) add(e budget.OutboxEntry, sent bool) *pb.BillEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.own.Add(e)
	b.full.Store(b.own.Full())
	if !sent {
		return nil
	}
	kept, _ := b.own.Get(n)
	return b.own.Proto(n, kept)
}

// done drops entries that the platform holds.
func (b *box) done(ids []string) {
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

func (b *box) len() (own, copies int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own.Len(), b.copies.Len()
}

// settleable returns up to most entries for this router to settle: copies,
// own ones of budgets that it is home of, and own ones whose home is slow.
func (b *box) settleable(most int, all bool, isHome func(budget string) bool) []*pb.BillEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := b.copies.Oldest(most)
	b.own.Each(0, func(n uint64, e *budget.OutboxEntry) bool {
		if all || e.Sends >= sendsBeforeOwn || isHome(e.Budget) {
			entries = append(entries, b.own.Proto(n, e))
		}
		return len(entries) < 2*most
	})
	return entries
}

// shipment is what goes to one home.
type shipment struct {
	home    *pb.Member
	entries []*pb.BillEntry
}

// sendable returns up to most entries by home, for entries of other homes.
func (b *box) sendable(most int, home func(budget string) (*pb.Member, bool)) map[string]*shipment {
	b.mu.Lock()
	defer b.mu.Unlock()
	byHome := make(map[string]*shipment)
	count := 0
	b.own.Each(0, func(n uint64, e *budget.OutboxEntry) bool {
		member, self := home(e.Budget)
		if self || member == nil || e.Sends >= sendsBeforeOwn {
			return true
		}
		e.Sends++
		if byHome[member.Incarnation] == nil {
			byHome[member.Incarnation] = &shipment{home: member}
		}
		s := byHome[member.Incarnation]
		s.entries = append(s.entries, b.own.Proto(n, e))
		count++
		return count < most
	})
	return byHome
}

// outstanding returns the tokens of a grant in bills here, by budget. Copies
// count too: their origin may be gone. Where it isn't, they count twice, which
// errs to the safe side.
func (b *box) outstanding(grant string) map[string]int64 {
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

// find returns an entry of a request that waits here.
func (b *box) find(requestID string) (*pb.BillEntry, bool) {
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
