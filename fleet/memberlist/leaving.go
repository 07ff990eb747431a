package memberlist

import (
	"maps"
	"slices"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

const (
	// pushFor is how long a router tells its peers of a target after it first
	// learnt that it leaves.
	pushFor = 5 * time.Second
	// holdFor is how long a target counts as leaving after its last report. It
	// is far longer than a report takes to pass through the fleet, so that a
	// mark isn't caught again from a peer once it is taken back.
	holdFor = time.Minute
	// renewAfter is when a source that still reports a target makes its mark
	// new.
	renewAfter = 20 * time.Second
	// maxPushed bounds the targets named in one heartbeat.
	maxPushed = 128
)

// mark is what is known of one leaving target.
type mark struct {
	pushUntil time.Time
	holdUntil time.Time
	renewAt   time.Time
}

// LeavingTracker collects the targets that are leaving, by name or address, from
// sources that see it themselves and from peers. Not safe for concurrent use.
type LeavingTracker struct {
	marks map[string]mark
}

// NewLeavingTracker returns an empty collection.
func NewLeavingTracker() *LeavingTracker { return &LeavingTracker{marks: make(map[string]mark)} }

// RecordFromSource takes the word of a source: the VM list, the configuration or the
// target itself. It reports whether this was news.
func (l *LeavingTracker) RecordFromSource(target string, now time.Time) (news bool) {
	m, known := l.marks[target]
	if !known || !now.Before(m.renewAt) {
		l.marks[target] = newMark(now)
	}
	return !known
}

// RecordFromPeer takes the word of a peer, which never makes an old mark new. It reports
// whether this was news.
func (l *LeavingTracker) RecordFromPeer(target string, now time.Time) (news bool) {
	m, known := l.marks[target]
	if known {
		m.holdUntil = now.Add(holdFor)
		l.marks[target] = m
		return false
	}
	l.marks[target] = newMark(now)
	return true
}

func newMark(now time.Time) mark {
	return mark{pushUntil: now.Add(pushFor), holdUntil: now.Add(holdFor), renewAt: now.Add(renewAfter)}
}

// HeartbeatTargets returns the targets to name in heartbeats.
func (l *LeavingTracker) HeartbeatTargets(now time.Time) []string {
	var targets []string
	for target, m := range l.marks {
		if now.Before(m.pushUntil) {
			targets = append(targets, target)
		}
	}
	slices.Sort(targets)
	return targets[:min(len(targets), maxPushed)]
}

// Snapshot returns the targets that count as leaving now.
func (l *LeavingTracker) Snapshot(now time.Time) LeavingSet {
	maps.DeleteFunc(l.marks, func(_ string, m mark) bool { return now.After(m.holdUntil) })
	names := make(map[string]struct{}, len(l.marks))
	for target := range l.marks {
		names[target] = struct{}{}
	}
	return LeavingSet{names: names}
}

// LeavingSet is an immutable set of leaving targets. The zero value is empty.
type LeavingSet struct {
	names map[string]struct{}
}

// Contains tells whether a target is leaving, by its record, its name or its
// address.
func (s LeavingSet) Contains(t *pb.Target) bool {
	if t.GetLeaving() {
		return true
	}
	_, byName := s.names[t.GetName()]
	_, byAddress := s.names[t.GetAddress()]
	return byName || byAddress
}

// Identifiers returns the names and addresses in order.
func (s LeavingSet) Identifiers() []string { return slices.Sorted(maps.Keys(s.names)) }
