package route

import (
	"sync/atomic"
	"time"
)

// Limits are kept in fixed point, so that they can grow by a part of a request.
const (
	limitUnit = 1 << 16
	// minLimit is the lowest limit of a target.
	minLimit = 1 * limitUnit
	// decreasePermille is what one congestion signal leaves of the limit.
	decreasePermille = 800
	// decreaseInterval is the shortest time between two decreases, so that one
	// burst counts once.
	decreaseInterval = 200 * time.Millisecond
)

// The failures in a row that make a target suspect. One request may be at fault
// for a silence or a failing answer, so that its retries must not take target
// after target out of use.
const (
	strikesUnreachable = 1
	strikesSilent      = 2
	strikesFailed      = 3
)

// state is what a table learnt of one target. It outlives snapshots.
type state struct {
	// own counts requests in flight from this router.
	own atomic.Int64
	// others is the reported load beyond this router's own.
	others atomic.Int64
	// reportedLeaving is the target's own word.
	reportedLeaving atomic.Bool

	// limit is the adaptive limit of own, in limitUnit.
	limit atomic.Int64
	// decreased is when the limit was last decreased, in Unix nanoseconds.
	decreased atomic.Int64

	// strikes counts failures in a row.
	strikes atomic.Int64
	// suspectUntil is when a suspect target may be probed, in Unix nanoseconds;
	// 0 means that it isn't suspect.
	suspectUntil atomic.Int64
}

func newState(maxInFlight int) *state {
	s := &state{}
	s.limit.Store(int64(maxInFlight) * limitUnit)
	return s
}

// report takes the target's own report.
func (s *state) report(inFlight int, leaving bool) {
	s.reportedLeaving.Store(leaving)
	s.others.Store(max(0, int64(inFlight)-s.own.Load()))
}

// load is what two choices compare, in requests.
func (s *state) load() int64 { return s.own.Load() + s.others.Load() }

// healthy tells whether the target may get work: it isn't suspect, or it is
// due for a probe by a single request.
func (s *state) healthy(now int64) bool {
	until := s.suspectUntil.Load()
	if until == 0 {
		return true
	}
	return now >= until && s.own.Load() == 0
}

// hasRoom tells whether the limit allows one more request.
func (s *state) hasRoom() bool {
	return (s.own.Load()+1)*limitUnit <= s.limit.Load()
}

// acquire takes a place. It reports false when another request took the last.
func (s *state) acquire() bool {
	if s.own.Add(1)*limitUnit <= s.limit.Load() {
		return true
	}
	s.own.Add(-1)
	return false
}

// succeeded clears suspicion and adapts the limit to the first-byte time:
// additive increase when the limit is in use, multiplicative decrease above
// the goal.
func (s *state) succeeded(o Outcome, opts *Options) {
	s.strikes.Store(0)
	s.suspectUntil.Store(0)
	if o.FirstByte > opts.FirstByteGoal {
		s.congested(o.Now.UnixNano())
		return
	}
	limit := s.limit.Load()
	inUse := s.own.Load()*2*limitUnit >= limit
	if inUse && limit < int64(opts.MaxInFlight)*limitUnit {
		s.limit.Add(limitUnit * limitUnit / limit)
	}
}

// congested lowers the limit, once an interval.
func (s *state) congested(now int64) {
	last := s.decreased.Load()
	if now-last < int64(decreaseInterval) || !s.decreased.CompareAndSwap(last, now) {
		return
	}
	limit := s.limit.Load()
	s.limit.Store(max(minLimit, limit*decreasePermille/1000))
}

// strike counts a failure. From the given number of failures in a row on the
// target is suspect: it gets no work for a time that doubles with each.
func (s *state) strike(now, enough int64, opts *Options) {
	extra := s.strikes.Add(1) - enough
	if extra < 0 {
		return
	}
	wait := opts.SuspectMin << min(extra, 16)
	wait = min(wait, opts.SuspectMax)
	s.suspectUntil.Store(now + int64(wait))
}
