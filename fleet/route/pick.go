package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/mix"
)

// permille is the sum of a service's shares.
const permille = 1000

// pairTries bounds the random draws of one choice before a scan.
const pairTries = 4

// Request is what Pick decides on.
type Request struct {
	Service   string
	RequestID string
	// Shares are the workspace's shares of the service; may be empty.
	Shares []*pb.ProviderShare
	// DefaultProvider takes what the shares leave.
	DefaultProvider string
	// PrefixHash is a hash of the prompt's prefix; 0 means no affinity.
	PrefixHash uint64
	// Exclude names targets that this request tried already.
	Exclude []string
	// Now is the time of the request.
	Now time.Time
}

// Lease is a place at a target. Its holder calls Done exactly once.
type Lease struct {
	entry *entry
	table *Table
	// sent is when the place was taken, in Unix nanoseconds.
	sent int64
}

// Target returns the picked target.
func (l Lease) Target() *pb.Target { return l.entry.target }

// Result is how a request ended at its target.
type Result uint8

// The results.
const (
	// OK is a request that was answered.
	OK Result = iota
	// Neutral is a request that says nothing of its target, such as one that
	// its caller gave up.
	Neutral
	// Refused is a target that didn't start the request.
	Refused
	// Failed is a target that answered with a failure or broke off.
	Failed
	// Silent is a target that fell silent on a new connection.
	Silent
	// Unreachable is a target that no connection could be made to.
	Unreachable
)

// Outcome ends a lease.
type Outcome struct {
	Result Result
	// FirstByte is the time from dispatch to the first byte, for OK.
	FirstByte time.Duration
	// Now is when the request ended.
	Now time.Time
}

// ResultOf returns the result of a call that ended with err.
func ResultOf(err error) Result {
	if err == nil {
		return OK
	}
	switch errkind.Of(err) {
	case errkind.TargetRefused:
		return Refused
	case errkind.TargetUnreachable:
		return Unreachable
	case errkind.TargetSilent:
		return Silent
	case errkind.TargetFailed, errkind.AnswerMismatch:
		return Failed
	default:
		return Neutral
	}
}

// RecordFirstByte learns from the first byte of an answer that goes on, such as a
// stream's, without waiting for its end: a limit that grew only with ends
// would refuse long streams that the target has room for. Done with Neutral
// follows when the answer ends well.
func (l Lease) RecordFirstByte(firstByte time.Duration, now time.Time) {
	l.entry.state.succeeded(Outcome{FirstByte: firstByte, Now: now}, l.sent, &l.table.opts)
}

// Done gives the place back and learns from the outcome.
func (l Lease) Done(o Outcome) {
	s := l.entry.state
	s.own.Add(-1)
	now := o.Now.UnixNano()
	switch o.Result {
	case OK:
		s.succeeded(o, l.sent, &l.table.opts)
	case Refused:
		s.congested(now, l.sent, mostKept)
	case Failed:
		s.strike(now, strikesFailed, &l.table.opts)
	case Silent:
		s.fellSilent(now, l.sent, &l.table.opts)
	case Unreachable:
		s.strike(now, strikesUnreachable, &l.table.opts)
	}
}

// Pick returns a place at a target. The error's kind is NoTarget when no target
// takes new work, and Overloaded when all that do are at their limit.
func (t *Table) Pick(r *Request) (Lease, error) {
	s := t.snap.Load()
	chosen := provider(r)
	e, busy := t.pickFrom(s, chosen, r)
	if e != nil {
		return Lease{entry: e, table: t, sent: r.Now.UnixNano()}, nil
	}
	if busy {
		return Lease{}, errkind.New(errkind.Overloaded, "every target of %s is at its limit", r.Service).After(t.opts.RetryAfter)
	}
	e = t.pickOther(s, chosen, r)
	if e != nil {
		return Lease{entry: e, table: t, sent: r.Now.UnixNano()}, nil
	}
	return Lease{}, errkind.New(errkind.NoTarget, "no target of %s takes new work", r.Service).After(t.opts.RetryAfter)
}

// pickOther takes another provider of the workspace's shares when the chosen
// one has no target that takes new work.
func (t *Table) pickOther(s *snapshot, chosen string, r *Request) *entry {
	for _, share := range r.Shares {
		if share.Permille == 0 || share.Provider == chosen {
			continue
		}
		e, _ := t.pickFrom(s, share.Provider, r)
		if e != nil {
			return e
		}
	}
	return nil
}

// provider returns the request's provider by the workspace's shares.
func provider(r *Request) string {
	point := uint32(xxhash.Sum64String(r.RequestID) % permille)
	for _, share := range r.Shares {
		if point < share.Permille {
			return share.Provider
		}
		point -= share.Permille
	}
	return r.DefaultProvider
}

// pickFrom takes a place at one of a provider's targets. Busy says that some
// would take work but are at their limit.
func (t *Table) pickFrom(s *snapshot, provider string, r *Request) (e *entry, busy bool) {
	g := s.groups[groupKey{service: r.Service, provider: provider}]
	if g == nil {
		return nil, false
	}
	e, nearBusy := t.pickIn(&g.near, r)
	if e != nil {
		return e, false
	}
	e, farBusy := t.pickIn(&g.far, r)
	return e, nearBusy || farBusy
}

// pickIn takes a place at one of a pool's targets.
func (t *Table) pickIn(p *pool, r *Request) (e *entry, busy bool) {
	if len(p.entries) == 0 {
		return nil, false
	}
	now := r.Now.UnixNano()
	e = t.choose(p, r, now)
	if e != nil && e.state.acquire() {
		return e, false
	}
	return t.scan(p, r, now)
}

// choose takes the less loaded of two random targets, or the one of the prefix.
// It returns nil when it found no target fast.
func (t *Table) choose(p *pool, r *Request, now int64) *entry {
	a := t.draw(p, r, now)
	if a == nil {
		return nil
	}
	b := t.draw(p, r, now)
	if b == nil {
		b = a
	}
	sticky := p.affine(r, now, a.state.load()+b.state.load())
	if sticky != nil {
		return sticky
	}
	if b.state.load() < a.state.load() {
		return b
	}
	return a
}

// draw returns a random target that takes the request, or nil after some tries.
func (t *Table) draw(p *pool, r *Request, now int64) *entry {
	for range pairTries {
		e := p.entries[t.random()%uint64(len(p.entries))]
		if e.takes(r, now) {
			return e
		}
	}
	return nil
}

// scan looks at every target from a random one on.
func (t *Table) scan(p *pool, r *Request, now int64) (e *entry, busy bool) {
	n := uint64(len(p.entries))
	start := t.random() % n
	for i := range n {
		e := p.entries[(start+i)%n]
		if !e.open(r, now) {
			continue
		}
		if e.state.acquire() {
			return e, false
		}
		busy = true
	}
	return nil, busy
}

// isLeaving tells whether any source says that the target is leaving.
func (e *entry) isLeaving() bool { return e.leaving || e.state.reportedLeaving.Load() }

// open tells whether the target takes the request but for its limit.
func (e *entry) open(r *Request, now int64) bool {
	if e.state.closed.Load() || !e.state.healthy(now) {
		return false
	}
	for _, name := range r.Exclude {
		if name == e.target.Name {
			return false
		}
	}
	return true
}

// takes tells whether the target takes the request now.
func (e *entry) takes(r *Request, now int64) bool {
	return e.open(r, now) && e.state.hasRoom()
}

// random returns the next number of a splitmix64 sequence (Steele, Lea and
// Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
func (t *Table) random() uint64 {
	return mix.Mix64(t.opts.Seed + t.turns.Add(1)*0x9e3779b97f4a7c15)
}
