package route

import (
	"sync/atomic"
)

// Limits are fixed-point numbers, so that they can grow by a fraction of a
// request.
const (
	limitUnit = 1 << 16
	// minLimit is the lowest limit of a target.
	minLimit = 1 * limitUnit
	// minKeptPermille and maxKeptPermille bound the fraction of the limit that
	// remains after one congestion signal.
	minKeptPermille = 500
	maxKeptPermille = 900
	// congestionDivisor sets the first-byte time from which a target counts as
	// congested, as a fraction of the goal: the signal comes late, and the goal
	// must still be met.
	congestionDivisor = 2
	// initialLimitDivisor gives the fraction of the maximum limit with which a
	// target starts.
	initialLimitDivisor = 8
)

// The smoothing of load reports, in fixed point.
const (
	// loadUnit is one request of load.
	loadUnit = 16
	// reportWeight is the weight of a new report, in units of 1/loadUnit.
	reportWeight = 1
	// reportDamping divides the reported load when targets are compared. With
	// full weight all routers would follow the same outdated numbers.
	reportDamping = 4
	// maxMissedReports is the number of consecutive missed reports that takes a
	// target out of service.
	maxMissedReports = 2
)

// The numbers of consecutive failures that make a target suspect. A silence or
// a failed response may be the fault of a single request, whose retries must not
// take one target after another out of service.
const (
	unreachableToSuspect = 1
	silencesToSuspect    = 2
	failuresToSuspect    = 3
)

// targetState is what a table knows about one target. It is carried over from
// one target set to the next.
type targetState struct {
	// inFlight counts requests in flight from this router.
	inFlight atomic.Int64
	// otherLoad is the smoothed reported load beyond this router's own, in
	// loadUnit.
	otherLoad atomic.Int64
	// missedReports counts consecutive reports that didn't arrive.
	missedReports atomic.Int64
	// reportedLeaving is what the target reported about itself.
	reportedLeaving atomic.Bool
	// outOfService is set while the target's reports, or their absence, exclude
	// it from new requests.
	outOfService atomic.Bool

	// limit is the adaptive limit of inFlight, in limitUnit.
	limit atomic.Int64
	// decreasedAt is when the limit was last decreased, in Unix nanoseconds; 0
	// before the first time.
	decreasedAt atomic.Int64
	// answeredAt is when the target last answered, in Unix nanoseconds.
	answeredAt atomic.Int64

	// consecutiveFailures counts failures since the last success.
	consecutiveFailures atomic.Int64
	// suspectUntil is when a suspect target may be probed, in Unix nanoseconds;
	// 0 means that it isn't suspect.
	suspectUntil atomic.Int64
}

func newTargetState(maxInFlight int) *targetState {
	s := &targetState{}
	s.limit.Store(max(minLimit, int64(maxInFlight)*limitUnit/initialLimitDivisor))
	return s
}

// recordReport records a report of the target itself. Reports lag and reach all
// routers, so each is smoothed: a single low one would attract every router at
// once.
func (s *targetState) recordReport(inFlight int, leaving bool) {
	s.missedReports.Store(0)
	s.reportedLeaving.Store(leaving)
	s.outOfService.Store(leaving)
	others := max(0, int64(inFlight)-s.inFlight.Load()) * loadUnit
	old := s.otherLoad.Load()
	s.otherLoad.Store(old + (others-old)*reportWeight/loadUnit)
}

// recordMissedReport counts a report that didn't arrive.
func (s *targetState) recordMissedReport() {
	if s.missedReports.Add(1) >= maxMissedReports {
		s.outOfService.Store(true)
	}
}

// load returns the load by which targets are compared, in requests times
// loadUnit.
func (s *targetState) load() int64 {
	return s.inFlight.Load()*loadUnit + s.otherLoad.Load()/reportDamping
}

// healthy reports whether the target may get requests: it isn't suspect, or is
// due for a probe by a single request.
func (s *targetState) healthy(now int64) bool {
	until := s.suspectUntil.Load()
	if until == 0 {
		return true
	}
	return now >= until && s.inFlight.Load() == 0
}

// belowLimit reports whether the limit allows one more request.
func (s *targetState) belowLimit() bool {
	return (s.inFlight.Load()+1)*limitUnit <= s.limit.Load()
}

// acquire takes a slot. It returns false if another request took the last one.
func (s *targetState) acquire() bool {
	if s.inFlight.Add(1)*limitUnit <= s.limit.Load() {
		return true
	}
	s.inFlight.Add(-1)
	return false
}

// recordSuccess clears suspicion and adapts the limit to the first-byte time:
// additive increase while the limit is in use, multiplicative decrease when the
// target is congested (Chiu and Jain, "Analysis of the Increase and Decrease
// Algorithms for Congestion Avoidance", 1989). Before the first decrease the
// limit grows by one with each success.
func (s *targetState) recordSuccess(o Outcome, sentAt int64, opts *Options) {
	s.consecutiveFailures.Store(0)
	s.suspectUntil.Store(0)
	s.answeredAt.Store(o.Now.UnixNano())
	if o.FirstByte > opts.FirstByteGoal/congestionDivisor {
		s.recordCongestion(o.Now.UnixNano(), sentAt, int64(1000*opts.FirstByteGoal/congestionDivisor/o.FirstByte))
		return
	}
	limit := s.limit.Load()
	inUse := s.inFlight.Load()*2*limitUnit >= limit
	if !inUse || limit >= int64(opts.MaxInFlight)*limitUnit {
		return
	}
	if s.decreasedAt.Load() == 0 {
		s.limit.Add(limitUnit)
		return
	}
	s.limit.Add(limitUnit * limitUnit / limit)
}

// recordCongestion lowers the limit to a fraction of it. Requests that were
// sent before the last decrease have no effect: they say nothing about the
// lower limit.
func (s *targetState) recordCongestion(now, sentAt, keepPermille int64) {
	last := s.decreasedAt.Load()
	if sentAt <= last || !s.decreasedAt.CompareAndSwap(last, now) {
		return
	}
	limit := s.limit.Load()
	keep := min(max(keepPermille, minKeptPermille), maxKeptPermille)
	s.limit.Store(max(minLimit, limit*keep/1000))
}

// recordSilence counts a failure of a target that has answered no request since
// this one was sent. One that has answered counts as congested instead.
func (s *targetState) recordSilence(now, sentAt int64, opts *Options) {
	if s.answeredAt.Load() > sentAt {
		s.recordCongestion(now, sentAt, 0)
		return
	}
	s.recordFailure(now, silencesToSuspect, opts)
}

// recordFailure counts a failure. From threshold consecutive failures on the
// target is suspect: it gets no requests for a time that doubles with each
// further failure.
func (s *targetState) recordFailure(now, threshold int64, opts *Options) {
	extra := s.consecutiveFailures.Add(1) - threshold
	if extra < 0 {
		return
	}
	wait := opts.SuspectMin << min(extra, 16)
	wait = min(wait, opts.SuspectMax)
	s.suspectUntil.Store(now + int64(wait))
}
