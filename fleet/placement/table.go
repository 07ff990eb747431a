// Package placement picks the target of a forwarded request.
//
// A Table holds the targets of all services and what this router knows about
// each: its own requests in flight, the load that the target last reported, and
// failures. It reads no clock: every input carries its time.
//
// All routers of a data centre send requests with the same shared prompt parts
// to the same target without communicating: targets are ranked by a hash of the
// parts and the target's id (Thaler and Ravishankar, "Using Name-Based Mappings
// to Increase Hit Rates", 1998). Another target is picked if less work is
// pending there. Engines copy shared parts from one another, and a Lease names
// the target to copy from.
package placement

import (
	"sync"
	"time"

	"cuminrock.example/fleet/breaker"
	"cuminrock.example/fleet/location"
)

// Target is one process that serves requests.
type Target struct {
	// ID identifies the target; StartTimeMs, the start of its process in Unix
	// milliseconds, tells successive processes of the same ID apart.
	ID          string
	StartTimeMs int64
	// Service, Address and DataCentre are the service that it serves, its
	// network address and its location.
	Service    string
	Address    string
	DataCentre string
	// Version is that of the target's software; empty if it is unknown.
	Version string
	// Leaving targets get no new requests.
	Leaving bool
	// ColdFor is how long the target stays cold, as its entry says: it takes few
	// requests until then. 0 means that it isn't cold.
	ColdFor time.Duration
}

// Load is the number of requests that a target reports about itself.
type Load struct {
	Running, Waiting int
	// Slots is the number of requests that it runs at once; 0 if it doesn't tell.
	Slots int
	// PacePercent is how long work takes at the target at this moment, in percent of
	// the normal time; 0 if it doesn't tell.
	PacePercent int
}

// Table picks targets. It is safe for concurrent use.
type Table struct {
	dataCentre string

	mu sync.Mutex
	// work is the state of the placement by expected work.
	work        expectedWork
	services    map[string][]*targetState
	byID        map[string]*targetState
	dataCentres map[string]*dataCentreState
	// lastPlacement is keyed by the affinity of the prompts.
	lastPlacement map[uint64]placementRecord
	// past holds what targets announced that are no longer listed.
	past map[Process]pastTarget
	// failuresForgottenAt is the time up to which failures of requests say nothing about
	// their targets.
	failuresForgottenAt time.Time
	// evacuated are the data centres whose targets get no new requests.
	evacuated location.DataCentres
	// regions are those of the data centres.
	regions location.Regions
}

// targetState is a target and what the table knows about it.
type targetState struct {
	target Target
	// registeredAt is when the target was first listed; zero for the targets of
	// the first list.
	registeredAt time.Time
	// inFlight counts this router's requests in flight.
	inFlight int
	// heardAt is when something last arrived from the target. silentSince is the time
	// since which nothing has, while requests are in flight.
	heardAt, silentSince time.Time
	// leftSilentAt is when a request was last taken away from the target for its silence.
	leftSilentAt time.Time
	// pendingPromptTokens counts the prompt tokens of this router's requests
	// that have had no first event yet.
	pendingPromptTokens int64
	// load is the last load report of the target and reportedAt its time;
	// sentSinceReport counts the requests sent after it.
	load            Load
	reportedAt      time.Time
	sentSinceReport int
	// consecutiveFailures counts failures since the last answered request.
	consecutiveFailures int
	health              breaker.Breaker
	// announced is what the target's process said about itself.
	announced announced
	// deferredUntil is when the target takes requests again, as far as the limit
	// allows that it named.
	deferredUntil time.Time
	// refusedUntil is the end of the pause after a refusal.
	refusedUntil time.Time
	// work is what the placement by expected work knows about the target.
	work targetWork
}

// New returns a table without targets for a router in the given data centre.
func New(dataCentre string) *Table {
	return &Table{dataCentre: dataCentre, services: make(map[string][]*targetState), byID: make(map[string]*targetState), dataCentres: make(map[string]*dataCentreState), lastPlacement: make(map[uint64]placementRecord), past: make(map[Process]pastTarget)}
}

// Update replaces the list of targets. A target whose process still runs at the
// same address keeps its state. One that was leaving stays so, whatever a later
// list says, until its process is replaced.
func (t *Table) Update(targets []Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.byID
	registeredAt := now
	if len(old) == 0 {
		registeredAt = time.Time{}
	}
	t.byID = make(map[string]*targetState, len(targets))
	t.services = make(map[string][]*targetState)
	for _, target := range targets {
		s := old[target.ID]
		if s == nil || s.target.StartTimeMs != target.StartTimeMs || s.target.Address != target.Address {
			s = &targetState{registeredAt: registeredAt, health: newHealth(), announced: t.past[target.Process()].announced}
		}
		s.target = target
		s.announced.leaving = s.announced.leaving || target.Leaving
		t.byID[target.ID] = s
		t.services[target.Service] = append(t.services[target.Service], s)
	}
	t.rememberPast(old, now)
	t.indexTargets()
}

// Targets returns all known targets.
func (t *Table) Targets() []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := make([]Target, 0, len(t.byID))
	for _, s := range t.byID {
		targets = append(targets, s.target)
	}
	return targets
}

// Len returns the number of known targets.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}
