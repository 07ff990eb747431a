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

// maxDraws is the maximum number of random draws of one choice before all
// targets are scanned.
const maxDraws = 4

// Request is the input of Pick.
type Request struct {
	Service   string
	RequestID string
	// Shares are the workspace's shares of the service; may be empty.
	Shares []*pb.ProviderShare
	// DefaultProvider gets the requests that the shares leave over.
	DefaultProvider string
	// PrefixHash is a hash of the prompt's prefix; 0 means no affinity.
	PrefixHash uint64
	// Exclude lists the names of targets that this request has already tried.
	Exclude []string
	// Now is the time of the request.
	Now time.Time
}

// Lease is a request's slot at a target. Its holder must call Done exactly
// once.
type Lease struct {
	entry *entry
	table *Table
	// sentAt is when the slot was taken, in Unix nanoseconds.
	sentAt int64
}

// Target returns the picked target.
func (l Lease) Target() *pb.Target { return l.entry.target }

// Result is how a request ended at its target.
type Result uint8

// The results.
const (
	// OK means that the target answered the request.
	OK Result = iota
	// Neutral says nothing about the target, for example because the caller
	// gave up.
	Neutral
	// Refused means that the target didn't start the request.
	Refused
	// Failed means that the target answered with a failure or broke off its
	// response.
	Failed
	// Silent means that the target sent nothing in time on a new connection.
	Silent
	// Unreachable means that no connection to the target could be made.
	Unreachable
)

// Outcome describes how a request ended, for Done.
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
	switch errkind.KindOf(err) {
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

// RecordFirstByte updates the target's state when the first byte of a long
// response, such as a stream, arrives, without waiting for its end: a limit that
// grew only when responses end would refuse long streams for which the target
// has capacity. If the response then ends well, Done follows with Neutral.
func (l Lease) RecordFirstByte(firstByte time.Duration, now time.Time) {
	l.entry.state.recordSuccess(Outcome{FirstByte: firstByte, Now: now}, l.sentAt, &l.table.opts)
}

// Done releases the slot and updates the target's state by the outcome.
func (l Lease) Done(o Outcome) {
	s := l.entry.state
	s.inFlight.Add(-1)
	now := o.Now.UnixNano()
	switch o.Result {
	case OK:
		s.recordSuccess(o, l.sentAt, &l.table.opts)
	case Refused:
		s.recordCongestion(now, l.sentAt, maxKeptPermille)
	case Failed:
		s.recordFailure(now, failuresToSuspect, &l.table.opts)
	case Silent:
		s.recordSilence(now, l.sentAt, &l.table.opts)
	case Unreachable:
		s.recordFailure(now, unreachableToSuspect, &l.table.opts)
	}
}

// Pick returns a slot at a target. The error's kind is NoTarget if no target
// accepts new requests, and Overloaded if all that do are at their limit.
func (t *Table) Pick(r *Request) (Lease, error) {
	set := t.snapshot.Load()
	chosen := chooseProvider(r)
	e, busy := t.pickFromProvider(set, chosen, r)
	if e != nil {
		return Lease{entry: e, table: t, sentAt: r.Now.UnixNano()}, nil
	}
	if busy {
		return Lease{}, errkind.New(errkind.Overloaded, "every target of service %q is at its limit of requests in flight", r.Service).WithRetryAfter(t.opts.RetryAfter)
	}
	e = t.pickOtherProvider(set, chosen, r)
	if e != nil {
		return Lease{entry: e, table: t, sentAt: r.Now.UnixNano()}, nil
	}
	return Lease{}, errkind.New(errkind.NoTarget, "no target of service %q accepts new requests", r.Service).WithRetryAfter(t.opts.RetryAfter)
}

// pickOtherProvider picks a target of another provider of the workspace's
// shares when no target of the chosen one accepts new requests.
func (t *Table) pickOtherProvider(set *targetSet, chosen string, r *Request) *entry {
	for _, share := range r.Shares {
		if share.Permille == 0 || share.Provider == chosen {
			continue
		}
		e, _ := t.pickFromProvider(set, share.Provider, r)
		if e != nil {
			return e
		}
	}
	return nil
}

// chooseProvider returns the request's provider according to the workspace's
// shares.
func chooseProvider(r *Request) string {
	offset := uint32(xxhash.Sum64String(r.RequestID) % permille)
	for _, share := range r.Shares {
		if offset < share.Permille {
			return share.Provider
		}
		offset -= share.Permille
	}
	return r.DefaultProvider
}

// pickFromProvider acquires a slot at one of a provider's targets. It sets busy
// if there is none but some targets are only at their limit.
func (t *Table) pickFromProvider(set *targetSet, provider string, r *Request) (e *entry, busy bool) {
	g := set.groups[groupKey{service: r.Service, provider: provider}]
	if g == nil {
		return nil, false
	}
	e, localBusy := t.pickFromPool(&g.local, r)
	if e != nil {
		return e, false
	}
	e, remoteBusy := t.pickFromPool(&g.remote, r)
	return e, localBusy || remoteBusy
}

// pickFromPool acquires a slot at one of a pool's targets.
func (t *Table) pickFromPool(p *pool, r *Request) (e *entry, busy bool) {
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

// choose returns the less loaded of two random targets, or the target with
// affinity to the prompt prefix. It returns nil if a few draws found no
// available target.
func (t *Table) choose(p *pool, r *Request, now int64) *entry {
	a := t.drawRandom(p, r, now)
	if a == nil {
		return nil
	}
	b := t.drawRandom(p, r, now)
	if b == nil {
		b = a
	}
	sticky := p.affinityTarget(r, now, a.state.load()+b.state.load())
	if sticky != nil {
		return sticky
	}
	if b.state.load() < a.state.load() {
		return b
	}
	return a
}

// drawRandom returns a random target that is available for the request, or nil
// after maxDraws attempts.
func (t *Table) drawRandom(p *pool, r *Request, now int64) *entry {
	for range maxDraws {
		e := p.entries[t.random()%uint64(len(p.entries))]
		if e.available(r, now) {
			return e
		}
	}
	return nil
}

// scan tries every target, starting at a random one.
func (t *Table) scan(p *pool, r *Request, now int64) (e *entry, busy bool) {
	n := uint64(len(p.entries))
	start := t.random() % n
	for i := range n {
		e := p.entries[(start+i)%n]
		if !e.eligible(r, now) {
			continue
		}
		if e.state.acquire() {
			return e, false
		}
		busy = true
	}
	return nil, busy
}

// isLeaving reports whether any source says that the target is leaving.
func (e *entry) isLeaving() bool { return e.leaving || e.state.reportedLeaving.Load() }

// eligible reports whether the target accepts the request if its limit is left
// aside.
func (e *entry) eligible(r *Request, now int64) bool {
	if e.state.outOfService.Load() || !e.state.healthy(now) {
		return false
	}
	for _, name := range r.Exclude {
		if name == e.target.Name {
			return false
		}
	}
	return true
}

// available reports whether the target is eligible and below its limit.
func (e *entry) available(r *Request, now int64) bool {
	return e.eligible(r, now) && e.state.belowLimit()
}

// random returns the next number of a splitmix64 sequence (Steele, Lea and
// Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
func (t *Table) random() uint64 {
	return mix.Mix64(t.opts.Seed + t.randomSequence.Add(1)*0x9e3779b97f4a7c15)
}
