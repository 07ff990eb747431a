package ledger

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
)

// account is what this router knows of one budget.
type account struct {
	name string

	mu     sync.Mutex
	holder *budget.Holder
	rate   budget.Rate
	// waiting is the sum of tokens that requests wait for.
	waiting int64
	// fetch is the search for tokens in progress, if any.
	fetch *fetch
	// refusal is what the last search found. Until refusedUntil it stands for
	// requests of refusedNeed tokens or more.
	refusal      *errkind.Error
	refusedNeed  int64
	refusedUntil time.Time
	// fetchAhead is when tokens may be fetched ahead of need again.
	fetchAhead time.Time
	// drew is true once a draw was tried; its answer may have been lost.
	drew bool
	// unsure are members whose answer to a request for a loan was lost.
	unsure []*pb.Member
	// home is true where this router was the budget's home at the last search.
	home bool
	// outstanding counts live reservations.
	outstanding int
}

// noteSearch keeps what a search found. One that nobody waited for refuses
// nobody.
func (a *account) noteSearch(refusal *errkind.Error, now time.Time) {
	a.refusal = nil
	a.fetchAhead = now.Add(fetchAheadHold)
	if refusal == nil {
		return
	}
	if a.waiting > a.holder.Free() {
		a.refusal = refusal
		a.refusedNeed = a.waiting
		a.refusedUntil = now.Add(refusalHold)
	}
}

// refuses returns the refusal that stands for a need, if any.
func (a *account) refuses(need int64, now time.Time) *errkind.Error {
	if a.refusal != nil && need >= a.refusedNeed && now.Before(a.refusedUntil) {
		return a.refusal
	}
	return nil
}

// mostUnsure bounds the members that are asked again at a planned stop.
const mostUnsure = 8

func (a *account) noteUnsure(m *pb.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.unsure) < mostUnsure && !slices.Contains(a.unsure, m) {
		a.unsure = append(a.unsure, m)
	}
}

// horizon returns how long the account's free tokens should last.
func (a *account) horizon(p budget.Policy) time.Duration {
	if a.home {
		return p.GrantHorizon
	}
	return p.LoanHorizon
}

// fetchAheadHold is the least time between two searches ahead of need.
const fetchAheadHold = 5 * time.Second

// fetch is one search for tokens; done is closed at its end.
type fetch struct {
	done chan struct{}
}

// shardCount spreads the accounts, so that a new one copies a small map.
const shardCount = 512

// accounts maps budgets to accounts. Readers take no lock: a shard is an
// immutable map that is replaced whole (read-copy-update).
type accounts struct {
	shards [shardCount]shard
}

type shard struct {
	mu  sync.Mutex
	all atomic.Pointer[map[string]*account]
}

func (s *accounts) shard(name string) *shard {
	return &s.shards[xxhash.Sum64String(name)%shardCount]
}

// find returns the account of a budget, if it is known.
func (s *accounts) find(name string) (*account, bool) {
	all := s.shard(name).all.Load()
	if all == nil {
		return nil, false
	}
	a, ok := (*all)[name]
	return a, ok
}

// get returns the account of a budget and creates it where needed.
func (s *accounts) get(self, name string) *account {
	if a, ok := s.find(name); ok {
		return a
	}
	sh := s.shard(name)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if a, ok := s.find(name); ok {
		return a
	}
	a := &account{name: name, holder: budget.NewHolder(self, name)}
	next := map[string]*account{}
	if old := sh.all.Load(); old != nil {
		next = maps.Clone(*old)
	}
	next[name] = a
	sh.all.Store(&next)
	return a
}

// each calls f for every account.
func (s *accounts) each(f func(a *account)) {
	for i := range s.shards {
		all := s.shards[i].all.Load()
		if all == nil {
			continue
		}
		for _, a := range *all {
			f(a)
		}
	}
}
