package targetlimit

import (
	"maps"
	"time"
)

const (
	// refusalWindow is the time over which a target counts the requests that it turns
	// away.
	refusalWindow = time.Second
	// undecidedFor is how long after its permit was issued a request may still be turned
	// away. A target without room says so at once.
	undecidedFor = 150 * time.Millisecond
	// reportMemory is how long a target's report of its load counts.
	reportMemory = 300 * time.Millisecond
	// waitingPause is how long a target gets nothing after it reported that requests
	// wait there.
	waitingPause = 50 * time.Millisecond
	// growthPause is how long after a refusal the number of concurrent requests isn't
	// raised.
	growthPause = 2 * time.Second
	// firstGrowthStep is by how much it is raised with each answer while it is reached and
	// the target has turned nothing away yet, and growthStep later.
	firstGrowthStep = 1
	growthStep      = 0.25
	// initialRoom is the number of concurrent requests at first.
	initialRoom = 2
	// mainRefusalShare is the part of the refusals that a target allows for which an issuer
	// provides; a fallback gateway, which may issue permits at the same time, provides for
	// the rest.
	mainRefusalShare = 0.7
	// roomRetryAfter is when there may be room again.
	roomRetryAfter = 30 * time.Millisecond
)

// room is the room of one target.
type room struct {
	// permits has the requests that are presumably at the target.
	permits map[uint64]roomPermit
	// limit is the number of concurrent requests for which there is room; slots bounds
	// it if the target tells.
	limit float64
	slots int
	// proven is the number of concurrent requests that were answered.
	proven int
	// refused is set once the target has turned a request away.
	refused bool
	// issued and ended count permits.
	issued, ended int
	// reported is the number of requests that the target last reported, at reportedAt,
	// when reportedIssued and reportedEnded were the counts. Some of them may have no
	// permit from here.
	reported                      int
	reportedAt                    time.Time
	reportedIssued, reportedEnded int
	// pausedUntil is when a target where requests wait is sent to again.
	pausedUntil time.Time
	// refusedAt has the refusals within refusalWindow.
	refusedAt   []time.Time
	lastRefusal time.Time
	usedAt      time.Time
}

type roomPermit struct {
	issuedAt, expiresAt time.Time
	// level is the number of requests at the target, with this one.
	level int
	// accepted is set once the target has answered, or has had the time to turn the
	// request away.
	accepted bool
}

// hasRoom reports whether a further request fits into a share of the room.
func (m *room) hasRoom(share float64, now time.Time) bool {
	return !now.Before(m.pausedUntil) && m.taken(now) < max(1, int(m.limit*share))
}

// taken returns the number of requests that are presumably at the target.
func (m *room) taken(now time.Time) int {
	if now.Sub(m.reportedAt) > reportMemory {
		return len(m.permits)
	}
	return max(len(m.permits), m.reported+(m.issued-m.reportedIssued)-(m.ended-m.reportedEnded))
}

// mayBeRefused returns the number of requests that were turned away within the last
// refusalWindow, or may still be. A next one within the proven number hardly will.
func (m *room) mayBeRefused(now time.Time) int {
	n := len(m.refusedAt)
	if m.taken(now) < m.proven {
		return n
	}
	for _, p := range m.permits {
		if p.level > m.proven && now.Sub(p.issuedAt) < undecidedFor {
			n++
		}
	}
	return n
}

// learn takes the load that the target reported in an answer, which may turn its request
// away.
func (m *room) learn(r Report, accepted bool, now time.Time) {
	if r.Load.Slots > 0 {
		m.slots, m.limit = r.Load.Slots, min(m.limit, float64(r.Load.Slots))
	}
	at := now.Add(-r.Age)
	if r.Age < reportMemory && at.After(m.reportedAt) {
		m.reported, m.reportedAt = r.Load.Running+r.Load.Waiting, at
		m.reportedIssued, m.reportedEnded = m.issued, m.ended
	}
	if r.Load.Waiting > 0 {
		m.pausedUntil = at.Add(waitingPause)
	} else if accepted && m.lastRefusal.Before(at) {
		// That many ran there at once, with or without permits.
		m.limit = max(m.limit, m.bounded(float64(r.Load.Running)))
		m.proven = max(m.proven, min(r.Load.Running, int(m.limit)))
	}
}

// bounded returns a number of concurrent requests, or the target's slots if these are
// fewer.
func (m *room) bounded(requests float64) float64 {
	if m.slots > 0 {
		return min(requests, float64(m.slots))
	}
	return requests
}

// recordRefusal lowers the limit below the number at which a request was turned away, 0
// if that isn't known.
func (m *room) recordRefusal(level int) {
	if level == 0 {
		level = len(m.permits) + 1
	}
	m.refused = true
	m.limit = max(1, min(m.limit, float64(level-1)))
	m.proven = min(m.proven, level-1)
}

// recordAccepted records that a target had room for a number of concurrent requests. It
// raises the limit if that was reached and nothing was turned away for a while.
func (m *room) recordAccepted(level int, now time.Time) {
	m.proven = max(m.proven, min(level, int(m.limit)))
	if now.Sub(m.lastRefusal) < growthPause || level < int(m.limit) {
		return
	}
	step := float64(firstGrowthStep)
	if m.refused {
		step = growthStep
	}
	m.limit = m.bounded(m.limit + step)
}

// expire drops what no longer counts, and records the requests that a target has had the
// time to turn away.
func (m *room) expire(now time.Time) {
	for len(m.refusedAt) > 0 && now.Sub(m.refusedAt[0]) > refusalWindow {
		m.refusedAt = m.refusedAt[1:]
	}
	maps.DeleteFunc(m.permits, func(_ uint64, p roomPermit) bool { return now.After(p.expiresAt) })
	for id, p := range m.permits {
		if !p.accepted && now.Sub(p.issuedAt) >= undecidedFor {
			p.accepted = true
			m.permits[id] = p
			m.recordAccepted(p.level, now)
		}
	}
}
