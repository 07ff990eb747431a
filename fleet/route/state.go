package route

import (
	"sync/atomic"
)

// Limits are kept in fixed point, so that they can grow by a part of a request.
const (
	limitUnit = 1 << 16
	// minLimit is the lowest limit of a target.
	minLimit = 1 * limitUnit
	// leastKept and mostKept bound what one congestion signal leaves of the
	// limit, in permille.
	leastKept = 500
	mostKept  = 900
	// congestionDivisor sets the first-byte time that counts as congested, as a
	// part of the goal: the signal comes late, and the goal is to be kept.
	congestionDivisor = 2
	// startPart is the part of the highest limit that a target starts with.
	startPart = 8
)

// The smoothing of reports, in fixed point.
const (
	reportUnit = 16
	// reportWeight is the part of reportUnit that a new report has.
	reportWeight = 1
	// reportDamping divides the reported load where targets are compared. Full
	// weight makes all routers follow the same late figures.
	reportDamping = 4
	// missingReports in a row take a target out of use.
	missingReports = 2
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
	// others is the smoothed reported load beyond this router's own, in
	// reportUnit.
	others atomic.Int64
	// missing counts reports in a row that didn't come.
	missing atomic.Int64
	// reportedLeaving is the target's own word.
	reportedLeaving atomic.Bool
	// closed says that its reports, or their lack, forbid new work.
	closed atomic.Bool

	// limit is the adaptive limit of own, in limitUnit.
	limit atomic.Int64
	// decreased is when the limit was last decreased, in Unix nanoseconds; 0
	// before the first time.
	decreased atomic.Int64
	// answered is when the target last answered, in Unix nanoseconds.
	answered atomic.Int64

	// strikes counts failures in a row.
	strikes atomic.Int64
	// suspectUntil is when a suspect target may be probed, in Unix nanoseconds;
	// 0 means that it isn't suspect.
	suspectUntil atomic.Int64
}

func newState(maxInFlight int) *state {
	s := &state{}
	s.limit.Store(max(minLimit, int64(maxInFlight)*limitUnit/startPart))
	return s
}

// report takes the target's own report. Reports lag and reach all routers, so
// that each is smoothed: a fresh low one would draw every router at once.
func (s *state) report(inFlight int, leaving bool) {
	s.missing.Store(0)
	s.reportedLeaving.Store(leaving)
	s.closed.Store(leaving)
	others := max(0, int64(inFlight)-s.own.Load()) * reportUnit
	old := s.others.Load()
	s.others.Store(old + (others-old)*reportWeight/reportUnit)
}

// reportMissing counts a report that didn't come.
func (s *state) reportMissing() {
	if s.missing.Add(1) >= missingReports {
		s.closed.Store(true)
	}
}

// load is what two choices compare, in requests times reportUnit.
func (s *state) load() int64 {
	return s.own.Load()*reportUnit + s.others.Load()/reportDamping
}

// healthy tells whether the target may get work: it isn't suspect, or is due for
// a probe by a single request.
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
// additive increase when the limit is in use, multiplicative decrease when it
// is congested (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms
// for Congestion Avoidance", 1989). Before the first decrease it grows by one
// with each success.
func (s *state) succeeded(o Outcome, sent int64, opts *Options) {
	s.strikes.Store(0)
	s.suspectUntil.Store(0)
	s.answered.Store(o.Now.UnixNano())
	if o.FirstByte > opts.FirstByteGoal/congestionDivisor {
		s.congested(o.Now.UnixNano(), sent, int64(1000*opts.FirstByteGoal/congestionDivisor/o.FirstByte))
		return
	}
	limit := s.limit.Load()
	inUse := s.own.Load()*2*limitUnit >= limit
	if !inUse || limit >= int64(opts.MaxInFlight)*limitUnit {
		return
	}
	if s.decreased.Load() == 0 {
		s.limit.Add(limitUnit)
		return
	}
	s.limit.Add(limitUnit * limitUnit / limit)
}

// congested lowers the limit to a part of it, once for all requests that were
// sent before it was last lowered: they tell nothing of the lower limit.
func (s *state) congested(now, sent, keepPermille int64) {
	last := s.decreased.Load()
	if sent <= last || !s.decreased.CompareAndSwap(last, now) {
		return
	}
	limit := s.limit.Load()
	keep := min(max(keepPermille, leastKept), mostKept)
	s.limit.Store(max(minLimit, limit*keep/1000))
}

// fellSilent strikes a target that answered nobody since the request was sent.
// One that did is only congested.
func (s *state) fellSilent(now, sent int64, opts *Options) {
	if s.answered.Load() > sent {
		s.congested(now, sent, 0)
		return
	}
	s.strike(now, strikesSilent, opts)
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
