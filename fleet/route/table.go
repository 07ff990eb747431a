// Package route picks the target of a request.
//
// A Table holds an immutable set of targets behind an atomic pointer and each
// target's state in atomics, so that Pick takes no lock and allocates nothing.
// It reads no clock: every input carries its time.
//
// The provider is chosen by a stable hash of the request id according to the
// workspace's shares, so that a retry stays with its provider. Within the
// provider, targets of the router's own data centre come first. Among these
// Pick takes the less loaded of two random ones (Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing", 2001), or the target that
// consistent hashing assigns to the request's prompt prefix unless its load is
// above a bound (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
// Bounded Loads", 2018).
package route

import (
	"sync"
	"sync/atomic"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// The defaults of Options.
const (
	defaultMaxInFlight   = 64
	defaultFirstByteGoal = 1400 * time.Millisecond
	defaultSuspectMin    = time.Second
	defaultSuspectMax    = 30 * time.Second
	defaultRetryAfter    = time.Second
)

// Options configure a Table. Zero fields take the default.
type Options struct {
	// DataCentre is the router's own data centre.
	DataCentre string
	// Seed seeds the table's random choices.
	Seed uint64
	// MaxInFlight is the maximum limit of requests in flight from this router
	// at one target. Default 64.
	MaxInFlight int
	// FirstByteGoal is the first-byte time to stay below; a target counts as
	// congested above half of it. Default 1.4 s.
	FirstByteGoal time.Duration
	// SuspectMin and SuspectMax bound how long a target that can't be reached
	// or fell silent gets no requests. Defaults 1 s and 30 s.
	SuspectMin time.Duration
	SuspectMax time.Duration
	// RetryAfter is the retry-after when no target accepts a request. Default 1
	// s.
	RetryAfter time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxInFlight == 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	setDefault(&o.FirstByteGoal, defaultFirstByteGoal)
	setDefault(&o.SuspectMin, defaultSuspectMin)
	setDefault(&o.SuspectMax, defaultSuspectMax)
	setDefault(&o.RetryAfter, defaultRetryAfter)
	return o
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// Table picks targets. It is safe for concurrent use.
type Table struct {
	opts           Options
	randomSequence atomic.Uint64

	// updateMu serialises Update; Pick and Done don't take it.
	updateMu sync.Mutex
	snapshot atomic.Pointer[targetSet]
}

// New returns a table without targets.
func New(opts Options) *Table {
	t := &Table{opts: opts.withDefaults()}
	t.snapshot.Store(&targetSet{})
	return t
}

// groupKey identifies a group.
type groupKey struct {
	service  string
	provider string
}

// group holds the targets of one service and provider, which serve the same
// requests.
type group struct {
	local  pool
	remote pool
}

// pool is a set of interchangeable targets.
type pool struct {
	entries []*entry
	ring    []ringPoint
}

// targetSet is an immutable set of targets.
type targetSet struct {
	groups map[groupKey]*group
	byName map[string]*entry
}

// entry is one target in one target set. Its state is carried over to the next
// set.
type entry struct {
	target  *pb.Target
	leaving bool
	state   *targetState
}

// Update installs a new set of targets. leaving names targets that get no new
// requests although their declaration doesn't say so, because the VM list or a
// peer reports them as leaving. A known target keeps its state.
func (t *Table) Update(targets []*pb.Target, leaving ...string) {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	old := t.snapshot.Load()
	next := &targetSet{
		groups: make(map[groupKey]*group),
		byName: make(map[string]*entry, len(targets)),
	}
	leavingNames := make(map[string]bool, len(leaving))
	for _, name := range leaving {
		leavingNames[name] = true
	}
	for _, target := range targets {
		e := &entry{target: target, leaving: target.Leaving || leavingNames[target.Name]}
		e.state = old.stateFor(target, t.opts.MaxInFlight)
		next.add(e, t.opts.DataCentre)
	}
	for _, g := range next.groups {
		g.local.buildRing()
		g.remote.buildRing()
	}
	t.snapshot.Store(next)
}

// stateFor returns the state of a known target, or a new one. A target with a
// changed address counts as a new target.
func (set *targetSet) stateFor(target *pb.Target, maxInFlight int) *targetState {
	e := set.byName[target.Name]
	if e == nil || e.target.Address != target.Address {
		return newTargetState(maxInFlight)
	}
	return e.state
}

// add adds a target to its group, unless it is leaving.
func (set *targetSet) add(e *entry, dataCentre string) {
	set.byName[e.target.Name] = e
	if e.leaving {
		return
	}
	key := groupKey{service: e.target.Service, provider: e.target.Provider}
	g := set.groups[key]
	if g == nil {
		g = &group{}
		set.groups[key] = g
	}
	if e.target.DataCentre == dataCentre {
		g.local.entries = append(g.local.entries, e)
		return
	}
	g.remote.entries = append(g.remote.entries, e)
}

// Report records a target's own report of its requests in flight and of whether
// it is leaving. Reports arrive late.
func (t *Table) Report(name string, inFlight int, leaving bool) {
	e := t.snapshot.Load().byName[name]
	if e == nil {
		return
	}
	e.state.recordReport(inFlight, leaving)
}

// ReportMissing records that a report of a target didn't arrive. Two in a row
// take the target out of service until it reports again.
func (t *Table) ReportMissing(name string) {
	e := t.snapshot.Load().byName[name]
	if e != nil {
		e.state.recordMissedReport()
	}
}

// Leaving returns the names of the targets that any source says are leaving.
func (t *Table) Leaving() []string {
	var names []string
	for name, e := range t.snapshot.Load().byName {
		if e.isLeaving() {
			names = append(names, name)
		}
	}
	return names
}
