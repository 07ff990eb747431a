package memberlist

import (
	"maps"
	"slices"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

const (
	// announceDuration is how long a router announces a target to its peers after
	// it first learnt that the target is leaving.
	announceDuration = 5 * time.Second
	// markTTL is how long a target counts as leaving after its last report. It
	// must be far longer than a report takes to reach the whole fleet. Otherwise
	// a mark that its source withdrew could be learnt from a peer again.
	markTTL = time.Minute
	// renewInterval is the age at which a mark is renewed if a source still
	// reports the target.
	renewInterval = 20 * time.Second
	// maxHeartbeatTargets is the maximum number of targets in one heartbeat.
	maxHeartbeatTargets = 128
)

// mark holds the deadlines for one leaving target.
type mark struct {
	announceUntil time.Time
	expiresAt     time.Time
	renewAt       time.Time
}

// LeavingTracker collects the targets that are leaving, by name or address, from
// first-hand sources and from peers. It is not safe for concurrent use.
type LeavingTracker struct {
	marks map[string]mark
}

// NewLeavingTracker returns an empty tracker.
func NewLeavingTracker() *LeavingTracker { return &LeavingTracker{marks: make(map[string]mark)} }

// RecordFromSource records that a first-hand source reports the target as leaving:
// the VM list, the configuration or the target itself. It reports whether the
// target wasn't known to be leaving before.
func (l *LeavingTracker) RecordFromSource(target string, now time.Time) (added bool) {
	m, known := l.marks[target]
	if !known || !now.Before(m.renewAt) {
		l.marks[target] = newMark(now)
	}
	return !known
}

// RecordFromPeer records that a peer reports the target as leaving. It extends the
// mark but never renews the announcement, so that peers don't keep a withdrawn
// mark alive among themselves. It reports whether the target wasn't known to be
// leaving before.
func (l *LeavingTracker) RecordFromPeer(target string, now time.Time) (added bool) {
	m, known := l.marks[target]
	if known {
		m.expiresAt = now.Add(markTTL)
		l.marks[target] = m
		return false
	}
	l.marks[target] = newMark(now)
	return true
}

func newMark(now time.Time) mark {
	return mark{announceUntil: now.Add(announceDuration), expiresAt: now.Add(markTTL), renewAt: now.Add(renewInterval)}
}

// HeartbeatTargets returns the targets to announce in heartbeats.
func (l *LeavingTracker) HeartbeatTargets(now time.Time) []string {
	var targets []string
	for target, m := range l.marks {
		if now.Before(m.announceUntil) {
			targets = append(targets, target)
		}
	}
	slices.Sort(targets)
	return targets[:min(len(targets), maxHeartbeatTargets)]
}

// Snapshot drops expired marks and returns the targets that count as leaving
// now.
func (l *LeavingTracker) Snapshot(now time.Time) LeavingSet {
	maps.DeleteFunc(l.marks, func(_ string, m mark) bool { return now.After(m.expiresAt) })
	identifiers := make(map[string]struct{}, len(l.marks))
	for target := range l.marks {
		identifiers[target] = struct{}{}
	}
	return LeavingSet{identifiers: identifiers}
}

// LeavingSet is an immutable set of the names and addresses of leaving targets.
// The zero value is empty.
type LeavingSet struct {
	identifiers map[string]struct{}
}

// Contains reports whether a target is leaving: because its record says so, or
// because its name or address is in the set.
func (s LeavingSet) Contains(t *pb.Target) bool {
	if t.GetLeaving() {
		return true
	}
	_, byName := s.identifiers[t.GetName()]
	_, byAddress := s.identifiers[t.GetAddress()]
	return byName || byAddress
}

// Identifiers returns the names and addresses in the set, sorted.
func (s LeavingSet) Identifiers() []string { return slices.Sorted(maps.Keys(s.identifiers)) }
