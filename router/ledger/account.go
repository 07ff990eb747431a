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

// account is this router's local state for one budget.
type account struct {
	name string

	mu     sync.Mutex
	holder *budget.Holder
	rate   budget.Rate
	// pending is the sum of the tokens that blocked requests are waiting for.
	pending int64
	// fetch is the token fetch in progress, or nil.
	fetch *fetch
	// refusal is the error of the last fetch. Until refusedUntil it also applies
	// to requests of refusedNeed tokens or more.
	refusal      *errkind.Error
	refusedNeed  int64
	refusedUntil time.Time
	// nextPrefetch is the earliest time of the next prefetch.
	nextPrefetch time.Time
	// drawTried is true once a draw was sent, even if its response was lost.
	drawTried bool
	// uncertainLenders are members whose response to a loan request was lost.
	uncertainLenders []*pb.Member
	// isHome is true if this router was the budget's home at the last fetch.
	isHome bool
	// liveReservations is the number of reservations that hold tokens and have
	// not ended. Runs that were taken over hold none.
	liveReservations int
}

// recordFetch records the result of a fetch. A failed prefetch, which no request
// waits for, sets no refusal.
func (a *account) recordFetch(refusal *errkind.Error, now time.Time) {
	a.refusal = nil
	a.nextPrefetch = now.Add(prefetchInterval)
	if refusal == nil {
		return
	}
	if a.pending > a.holder.Free() {
		a.refusal = refusal
		a.refusedNeed = a.pending
		a.refusedUntil = now.Add(refusalTTL)
	}
}

// refusalFor returns the refusal in force for a need, or nil.
func (a *account) refusalFor(need int64, now time.Time) *errkind.Error {
	if a.refusal != nil && need >= a.refusedNeed && now.Before(a.refusedUntil) {
		return a.refusal
	}
	return nil
}

// maxUncertainLenders bounds the members that are queried again at shutdown.
const maxUncertainLenders = 8

func (a *account) addUncertainLender(m *pb.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.uncertainLenders) < maxUncertainLenders && !slices.Contains(a.uncertainLenders, m) {
		a.uncertainLenders = append(a.uncertainLenders, m)
	}
}

// horizon returns the duration for which the free tokens should suffice.
func (a *account) horizon(p budget.Policy) time.Duration {
	if a.isHome {
		return p.GrantHorizon
	}
	return p.LoanHorizon
}

// prefetchInterval is the minimum time between two prefetches.
const prefetchInterval = 5 * time.Second

// fetch is a search for tokens in progress; done is closed when it ends.
type fetch struct {
	done chan struct{}
}

// shardCount keeps the shards small, because adding an account copies the map
// of its shard.
const shardCount = 512

// accounts maps budget names to accounts. Readers take no lock: each shard is
// an immutable map that is replaced as a whole (read-copy-update).
type accounts struct {
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	accounts atomic.Pointer[map[string]*account]
}

func (s *accounts) shard(name string) *shard {
	return &s.shards[xxhash.Sum64String(name)%shardCount]
}

// find returns the account of a budget, and false if there is none.
func (s *accounts) find(name string) (*account, bool) {
	accounts := s.shard(name).accounts.Load()
	if accounts == nil {
		return nil, false
	}
	a, ok := (*accounts)[name]
	return a, ok
}

// getOrCreate returns the account of a budget and creates it if it is missing.
func (s *accounts) getOrCreate(self, name string) *account {
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
	if old := sh.accounts.Load(); old != nil {
		next = maps.Clone(*old)
	}
	next[name] = a
	sh.accounts.Store(&next)
	return a
}

// each calls f for every account.
func (s *accounts) each(f func(a *account)) {
	for i := range s.shards {
		accounts := s.shards[i].accounts.Load()
		if accounts == nil {
			continue
		}
		for _, a := range *accounts {
			f(a)
		}
	}
}
