package ledger

import (
	"context"
	"sync"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

const (
	// standbyDelay is how long a copy is left to its origin. An origin that
	// lives settles within seconds of the platform's taking transactions and
	// says so; a copy that is settled twice changes nothing.
	standbyDelay = 5 * time.Second
	// mostStandby bounds the copies kept.
	mostStandby = 100_000
)

// standby keeps copies of other routers' entries in case their origin dies
// before the platform holds them. Unlike a home's copies they are not settled
// until their delay has passed.
type standby struct {
	mu   sync.Mutex
	kept map[string]*pb.BillEntry
	// order holds the entries by age; those dropped are skipped.
	order []standbyEntry
}

type standbyEntry struct {
	id  string
	due time.Time
}

// keep takes a copy, and reports false where there is no room.
func (s *standby) keep(e *pb.BillEntry, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.kept) >= mostStandby {
		return false
	}
	if s.kept == nil {
		s.kept = make(map[string]*pb.BillEntry)
	}
	if _, ok := s.kept[e.Id]; !ok {
		s.kept[e.Id] = e
		s.order = append(s.order, standbyEntry{e.Id, now.Add(standbyDelay)})
	}
	return true
}

// drop forgets copies that the platform holds.
func (s *standby) drop(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		delete(s.kept, id)
	}
}

// due removes and returns the copies whose delay has passed.
func (s *standby) due(now time.Time) []*pb.BillEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []*pb.BillEntry
	for len(s.order) > 0 && !s.order[0].due.After(now) {
		if e, ok := s.kept[s.order[0].id]; ok {
			due = append(due, e)
			delete(s.kept, e.Id)
		}
		s.order = s.order[1:]
	}
	return due
}

// outstanding adds up the tokens of a grant in the copies, by budget.
func (s *standby) outstanding(grant string, sums map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.kept {
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

// copied remembers which routers hold standby copies of this router's entries,
// and which of these may be dropped there.
type copied struct {
	mu     sync.Mutex
	holder map[string]*pb.Member
	drops  map[string]*drops
}

// drops is what one holder has not been told yet.
type drops struct {
	member *pb.Member
	ids    []string
}

// note records that a member holds a copy of an entry.
func (c *copied) note(id string, m *pb.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder == nil {
		c.holder = make(map[string]*pb.Member)
		c.drops = make(map[string]*drops)
	}
	c.holder[id] = m
}

// done marks copies as no longer needed.
func (c *copied) done(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		m, ok := c.holder[id]
		if !ok {
			continue
		}
		delete(c.holder, id)
		d := c.drops[m.Incarnation]
		if d == nil {
			d = &drops{member: m}
			c.drops[m.Incarnation] = d
		}
		d.ids = append(d.ids, id)
	}
}

// take removes and returns what the holders are to be told.
func (c *copied) take() map[string]*drops {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.drops) == 0 {
		return nil
	}
	taken := c.drops
	c.drops = make(map[string]*drops)
	return taken
}

// SettleReplicated settles as Settle does, and returns once another router holds
// a copy of the bill, or ctx ends. With a copy the bill outlives this router:
// the home settles it, and a standby router does so after a delay. A copy that
// can't be made is counted; the bill stands either way.
func (r *Reservation) SettleReplicated(ctx context.Context, tokens int64) error {
	entry, err := r.settle(tokens)
	if entry != nil && r.l.copyAway(ctx, entry) != nil {
		r.l.counters.copyErrors.Add(1)
	}
	return err
}

// copyAway brings an entry to its home, or where this router is home to the
// nearest other router.
func (l *Ledger) copyAway(ctx context.Context, e *pb.BillEntry) error {
	req := &pb.SettleRequest{Sender: l.self.Incarnation, Entries: []*pb.BillEntry{e}}
	member, self := l.peers.Home(e.Budget)
	if self || member == nil {
		others := l.peers.Others()
		if len(others) == 0 {
			return nil
		}
		member = others[0]
		req.Standby = true
		l.copied.note(e.Id, member)
	}
	_, err := l.peers.Settle(ctx, member, req)
	return err
}

// tellDrops tells the holders of copies what the platform holds. A message
// that is lost costs the holder one read when its delay has passed.
func (l *Ledger) tellDrops(ctx context.Context) {
	for _, d := range l.copied.take() {
		req := &pb.SettleRequest{Sender: l.self.Incarnation, SettledEntryIds: d.ids}
		_, err := l.peers.Settle(ctx, d.member, req)
		if err != nil {
			l.counters.pushErrors.Add(1)
		}
	}
}

// adopt makes the copies whose origin has not settled them in time this
// router's to settle.
func (l *Ledger) adopt(now time.Time) {
	due := l.standby.due(now)
	l.box.mu.Lock()
	defer l.box.mu.Unlock()
	for _, e := range due {
		l.box.copies.ForceAdd(e)
	}
}
