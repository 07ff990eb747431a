// Package reachability decides whether a router reaches any target.
//
// A router may be cut off from all targets while callers, the platform's store and the
// other routers still reach it. A failed connection alone doesn't tell that from the end
// of its target, so a check connects to witnesses: targets that haven't just failed, of
// as many services as possible. A router is cut off if no witness can be reached, and no
// longer so once any connection to a target is made. Responses on open connections don't
// count, since these may live on while new ones are refused.
//
// The package reads no clock: every input carries its time.
package reachability

import (
	"time"

	"cuminrock.example/fleet/mix"
	"cuminrock.example/fleet/placement"
)

// failureMemory is how long a target that couldn't be reached isn't a witness, unless
// there is no other.
const failureMemory = 2 * time.Second

// State is what a router knows of its connections to targets. It isn't safe for
// concurrent use.
type State struct {
	cutOff bool
	// connectedAt is when the last connection to a target was made.
	connectedAt time.Time
	// failedAt is when connections failed, by address, since then.
	failedAt map[string]time.Time
	// checks makes each check use other witnesses.
	checks uint64
}

// NewState returns the state of a router that isn't cut off.
func NewState() *State { return &State{failedAt: make(map[string]time.Time)} }

// CutOff reports whether no target can be reached.
func (s *State) CutOff() bool { return s.cutOff }

// RecordConnected records that a connection to a target was made.
func (s *State) RecordConnected(now time.Time) {
	s.cutOff, s.connectedAt = false, now
	clear(s.failedAt)
}

// RecordFailure records that an attempt to connect, begun at a time, failed. It reports
// whether that may be due to a cut: not if another attempt has succeeded since.
func (s *State) RecordFailure(address string, began, now time.Time) bool {
	if s.connectedAt.After(began) {
		return false
	}
	s.failedAt[address] = now
	return true
}

// RecordNoWitness records that no witness of a check, begun at a time, could be reached.
func (s *State) RecordNoWitness(began time.Time) {
	s.cutOff = !s.connectedAt.After(began)
}

// Witnesses returns up to n targets to connect to, none at the excluded address. Those
// that haven't failed come first, then those of services that have no witness yet.
func (s *State) Witnesses(targets []placement.Target, exclude string, n int, now time.Time) []placement.Target {
	s.checks++
	var witnesses []placement.Target
	used := map[string]bool{exclude: true}
	services := make(map[string]bool)
	for len(witnesses) < n {
		best := s.nextWitness(targets, used, services, now)
		if best == nil {
			break
		}
		used[best.Address], services[best.Service] = true, true
		witnesses = append(witnesses, *best)
	}
	return witnesses
}

// nextWitness returns the best target at an unused address, or nil.
func (s *State) nextWitness(targets []placement.Target, used, services map[string]bool, now time.Time) *placement.Target {
	var best *placement.Target
	var bestRank witnessRank
	for i := range targets {
		t := &targets[i]
		if used[t.Address] {
			continue
		}
		rank := witnessRank{failed: s.failedRecently(t.Address, now), sameService: services[t.Service], weight: mix.RendezvousWeight(s.checks, t.Address)}
		if best == nil || rank.before(bestRank) {
			best, bestRank = t, rank
		}
	}
	return best
}

func (s *State) failedRecently(address string, now time.Time) bool {
	at, failed := s.failedAt[address]
	return failed && now.Sub(at) < failureMemory
}

// witnessRank orders candidates for a witness.
type witnessRank struct {
	failed, sameService bool
	weight              uint64
}

func (r witnessRank) before(other witnessRank) bool {
	if r.failed != other.failed {
		return !r.failed
	}
	if r.sameService != other.sameService {
		return !r.sameService
	}
	return r.weight > other.weight
}
