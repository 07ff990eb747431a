// Package route picks the target of a request.
//
// A Table keeps an immutable snapshot of the targets behind an atomic pointer
// and each target's state in atomics, so that Pick takes no lock and allocates
// nothing. It reads no clock: every input carries its time.
//
// The provider follows the workspace's shares by a stable hash of the request
// id, so that a retry stays with its provider. Within the provider, targets of
// the own data centre come first. Among these Pick takes the less loaded of
// two random ones (Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001), or the target that last saw the request's prompt prefix
// unless its load is above a bound (Mirrokni, Thorup and Zadimoghaddam,
// "Consistent Hashing with Bounded Loads", 2018).
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
	// DataCentre is the router's own.
	DataCentre string
	// Seed starts the table's random choices.
	Seed uint64
	// MaxInFlight is the highest limit of requests at one target from this
	// router. Default 64.
	MaxInFlight int
	// FirstByteGoal is the first-byte time to keep; a target counts as
	// congested from half of it on. Default 1.4 s.
	FirstByteGoal time.Duration
	// SuspectMin and SuspectMax bound how long a target that can't be reached
	// or fell silent gets no work. Defaults 1 s and 30 s.
	SuspectMin time.Duration
	SuspectMax time.Duration
	// RetryAfter is advised when no target can take a request. Default 1 s.
	RetryAfter time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxInFlight == 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	orDuration(&o.FirstByteGoal, defaultFirstByteGoal)
	orDuration(&o.SuspectMin, defaultSuspectMin)
	orDuration(&o.SuspectMax, defaultSuspectMax)
	orDuration(&o.RetryAfter, defaultRetryAfter)
	return o
}

func orDuration(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// Table picks targets. It is safe for concurrent use.
type Table struct {
	opts  Options
	turns atomic.Uint64

	// update serialises Update; Pick and Done don't take it.
	update sync.Mutex
	snap   atomic.Pointer[snapshot]
}

// New returns a table without targets.
func New(opts Options) *Table {
	t := &Table{opts: opts.withDefaults()}
	t.snap.Store(&snapshot{})
	return t
}

// groupKey names the targets that serve the same requests.
type groupKey struct {
	service  string
	provider string
}

// group holds the targets of one service and provider.
type group struct {
	near pool
	far  pool
}

// pool is a set of targets among which any may be chosen.
type pool struct {
	entries []*entry
	ring    []ringPoint
}

// snapshot is one immutable set of targets.
type snapshot struct {
	groups map[groupKey]*group
	byName map[string]*entry
}

// entry is one target in one snapshot. Its state carries over.
type entry struct {
	target  *pb.Target
	leaving bool
	state   *state
}

// Update installs a new set of targets. Leaving names those that get no new
// work although their declaration doesn't say so: those that the VM list or a
// peer names. A target that was known keeps its state.
func (t *Table) Update(targets []*pb.Target, leaving ...string) {
	t.update.Lock()
	defer t.update.Unlock()
	old := t.snap.Load()
	next := &snapshot{
		groups: make(map[groupKey]*group),
		byName: make(map[string]*entry, len(targets)),
	}
	marked := make(map[string]bool, len(leaving))
	for _, name := range leaving {
		marked[name] = true
	}
	for _, target := range targets {
		e := &entry{target: target, leaving: target.Leaving || marked[target.Name]}
		e.state = old.stateOf(target, t.opts.MaxInFlight)
		next.add(e, t.opts.DataCentre)
	}
	for _, g := range next.groups {
		g.near.buildRing()
		g.far.buildRing()
	}
	t.snap.Store(next)
}

// stateOf returns the state of a known target, or a fresh one. A target at
// another address is another target.
func (s *snapshot) stateOf(target *pb.Target, maxInFlight int) *state {
	e := s.byName[target.Name]
	if e == nil || e.target.Address != target.Address {
		return newState(maxInFlight)
	}
	return e.state
}

// add places a target among those that serve the same requests, unless it is
// leaving.
func (s *snapshot) add(e *entry, dataCentre string) {
	s.byName[e.target.Name] = e
	if e.leaving {
		return
	}
	key := groupKey{service: e.target.Service, provider: e.target.Provider}
	g := s.groups[key]
	if g == nil {
		g = &group{}
		s.groups[key] = g
	}
	if e.target.DataCentre == dataCentre {
		g.near.entries = append(g.near.entries, e)
		return
	}
	g.far.entries = append(g.far.entries, e)
}

// Report takes a target's own report of its requests in flight and of whether
// it is leaving. The report lags.
func (t *Table) Report(name string, inFlight int, leaving bool) {
	e := t.snap.Load().byName[name]
	if e == nil {
		return
	}
	e.state.report(inFlight, leaving)
}

// ReportMissing takes that a target gave no report. Two in a row take it out of
// use until it reports again.
func (t *Table) ReportMissing(name string) {
	e := t.snap.Load().byName[name]
	if e != nil {
		e.state.reportMissing()
	}
}

// Leaving returns the names of the targets that get no new work, whatever
// source said so.
func (t *Table) Leaving() []string {
	var names []string
	for name, e := range t.snap.Load().byName {
		if e.isLeaving() {
			names = append(names, name)
		}
	}
	return names
}
