package ledger

import (
	"context"
	"sync"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

const (
	// standbyDelay is how long a standby copy is kept before this router
	// settles it. A live origin settles its entry within seconds of the
	// platform committing transactions and then has the copy dropped. Settling
	// an entry twice changes nothing.
	standbyDelay = 5 * time.Second
	// maxStandbyCopies bounds the standby copies kept.
	maxStandbyCopies = 100_000
)

// standbyStore keeps copies of other routers' entries in case their origin dies
// before it settles them. Unlike the copies at a home, they are not settled
// until standbyDelay has passed.
type standbyStore struct {
	mu      sync.Mutex
	entries map[string]*pb.BillEntry
	// order lists the entries, oldest first; dropped ones are skipped.
	order []standbyEntry
}

type standbyEntry struct {
	id  string
	due time.Time
}

// add stores a copy, and reports false if there is no room.
func (s *standbyStore) add(e *pb.BillEntry, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) >= maxStandbyCopies {
		return false
	}
	if s.entries == nil {
		s.entries = make(map[string]*pb.BillEntry)
	}
	if _, ok := s.entries[e.Id]; !ok {
		s.entries[e.Id] = e
		s.order = append(s.order, standbyEntry{e.Id, now.Add(standbyDelay)})
	}
	return true
}

// drop removes copies whose entries are settled.
func (s *standbyStore) drop(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		delete(s.entries, id)
	}
}

// takeDue removes and returns the copies whose delay has passed.
func (s *standbyStore) takeDue(now time.Time) []*pb.BillEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []*pb.BillEntry
	for len(s.order) > 0 && !s.order[0].due.After(now) {
		if e, ok := s.entries[s.order[0].id]; ok {
			due = append(due, e)
			delete(s.entries, e.Id)
		}
		s.order = s.order[1:]
	}
	return due
}

// addOutstanding adds the tokens of a grant in the copies to sums, by budget.
func (s *standbyStore) addOutstanding(grant string, sums map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		addOutstanding(e, grant, sums)
	}
}

func addOutstanding(e *pb.BillEntry, grant string, sums map[string]int64) {
	for _, p := range e.Parts {
		if p.Grant == grant {
			sums[e.Budget] += p.Tokens
		}
	}
}

// copyTracker records which routers hold standby copies of this router's
// own entries, and which of these copies can be dropped.
type copyTracker struct {
	mu      sync.Mutex
	holders map[string]*pb.Member
	notices map[string]*dropNotice
}

// dropNotice lists the entries whose copies one holder can drop.
type dropNotice struct {
	member *pb.Member
	ids    []string
}

// add records that a member holds a copy of an entry.
func (c *copyTracker) add(id string, m *pb.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holders == nil {
		c.holders = make(map[string]*pb.Member)
		c.notices = make(map[string]*dropNotice)
	}
	c.holders[id] = m
}

// markSettled queues drop notices for the copies of settled entries.
func (c *copyTracker) markSettled(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		m, ok := c.holders[id]
		if !ok {
			continue
		}
		delete(c.holders, id)
		d := c.notices[m.Incarnation]
		if d == nil {
			d = &dropNotice{member: m}
			c.notices[m.Incarnation] = d
		}
		d.ids = append(d.ids, id)
	}
}

// takeNotices removes and returns the queued drop notices.
func (c *copyTracker) takeNotices() map[string]*dropNotice {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.notices) == 0 {
		return nil
	}
	taken := c.notices
	c.notices = make(map[string]*dropNotice)
	return taken
}

// SettleReplicated settles like Settle, and returns once another router holds a
// copy of the bill or ctx ends. With a copy, the bill is settled even if this
// router dies: by the home, or by a standby router after a delay. A copy that
// could not be made is counted; the bill is valid in any case.
func (r *Reservation) SettleReplicated(ctx context.Context, tokens int64) error {
	entry, err := r.settle(tokens)
	if entry != nil && r.l.replicate(ctx, entry) != nil {
		r.l.counters.copyErrors.Add(1)
	}
	return err
}

// replicate sends an entry to its home. If this router is the home, or there
// is none, it sends the entry as a standby copy to the nearest other router, if
// any.
func (l *Ledger) replicate(ctx context.Context, e *pb.BillEntry) error {
	req := &pb.SettleRequest{Sender: l.self.Incarnation, Entries: []*pb.BillEntry{e}}
	member, self := l.peers.Home(e.Budget)
	if self || member == nil {
		others := l.peers.Others()
		if len(others) == 0 {
			return nil
		}
		member = others[0]
		req.Standby = true
		l.copyTracker.add(e.Id, member)
	}
	_, err := l.peers.Settle(ctx, member, req)
	return err
}

// sendDropNotices reports settled entries to the holders of standby copies. A
// lost message costs the holder one read after standbyDelay.
func (l *Ledger) sendDropNotices(ctx context.Context) {
	for _, d := range l.copyTracker.takeNotices() {
		req := &pb.SettleRequest{Sender: l.self.Incarnation, SettledEntryIds: d.ids}
		_, err := l.peers.Settle(ctx, d.member, req)
		if err != nil {
			l.counters.pushErrors.Add(1)
		}
	}
}

// adoptDueCopies moves the standby copies whose delay has passed to the bill
// store, so that this router settles them.
func (l *Ledger) adoptDueCopies(now time.Time) {
	due := l.standby.takeDue(now)
	l.bills.mu.Lock()
	defer l.bills.mu.Unlock()
	for _, e := range due {
		l.bills.copies.ForceAdd(e)
	}
}
