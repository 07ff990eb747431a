// Package placement picks the target of a forwarded request.
//
// A Table holds the targets of all services and what this router learnt of
// each: its own requests in flight, the load that the target last told, and
// failures. It reads no clock: every input carries its time.
//
// Requests that begin with the same prompt parts go to the same target of all
// routers of a data centre without any talk between them: targets are ranked by
// a hash of the parts and the target's id (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998). Another target is taken
// where less work waits; engines copy shared parts from one another, and a Lease
// says from where.
package placement

import (
	"sync"
	"time"
)

// Target is one process that serves requests.
type Target struct {
	// ID names the process; Born tells its runs apart.
	ID          string
	StartTimeMs int64
	// Service, Address and DataCentre are where it serves.
	Service    string
	Address    string
	DataCentre string
	// Leaving targets get no new work.
	Leaving bool
}

// Load is what a target told of itself.
type Load struct {
	Running, Waiting int
}

// Table picks targets. It is safe for concurrent use.
type Table struct {
	dataCentre string

	mu       sync.Mutex
	services map[string][]*state
	byID     map[string]*state
	sites    map[string]*site
	// placed is by the affinity of prompts.
	placed map[uint64]placed
}

// state is one target and what was learnt of it.
type state struct {
	target Target
	// since is when it registered; zero for those that the first list had.
	since time.Time
	// own counts this router's requests in flight.
	own int
	// unread counts the prompt tokens of this router's requests that have no
	// first event yet.
	unread int64
	// load is the last word of the target, and toldAt its time; sentSince
	// counts requests sent after it.
	load      Load
	toldAt    time.Time
	sentSince int
	// strikes counts failures in a row.
	strikes int
	health  health
	// refusedUntil is the end of the pause after a refusal.
	refusedUntil time.Time
}

// New returns a table without targets for a router in the data centre.
func New(dataCentre string) *Table {
	return &Table{dataCentre: dataCentre, services: make(map[string][]*state), byID: make(map[string]*state), sites: make(map[string]*site), placed: make(map[uint64]placed)}
}

// Update installs the targets. One that runs on keeps what was learnt of it.
func (t *Table) Update(targets []Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.byID
	since := now
	if len(old) == 0 {
		since = time.Time{}
	}
	t.byID = make(map[string]*state, len(targets))
	t.services = make(map[string][]*state)
	for _, target := range targets {
		s := old[target.ID]
		if s == nil || s.target.StartTimeMs != target.StartTimeMs || s.target.Address != target.Address {
			s = &state{since: since, health: newHealth()}
		}
		s.target = target
		t.byID[target.ID] = s
		t.services[target.Service] = append(t.services[target.Service], s)
	}
}

// Len returns the number of targets known.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID)
}
