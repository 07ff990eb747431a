package placement

import (
	"time"

	"cuminrock.example/fleet/mix"
	"cuminrock.example/fleet/workmodel"
)

const (
	// paceReportMaxAge is how long a service is placed by expected work after one of its
	// targets reported how long work takes there at the moment.
	paceReportMaxAge = time.Minute
	// maxPrefixes bounds the number of prompt prefixes of a service about which something
	// is known; all are forgotten when there are more.
	maxPrefixes = 4096
	// countMemory is the time over which the share of a prefix in the service's requests,
	// and the reports of a data centre, are counted.
	countMemory = 5 * time.Second
)

// expectedWork is the state of the placement by expected work. The lock of its table
// guards it.
type expectedWork struct {
	// always switches all services to it.
	always bool
	// seed and draws make the choice among equals differ between gateways and picks.
	seed, draws uint64
	services    map[string]*workService
	outputs     workmodel.Outputs
	// candidates is reused by each pick.
	candidates []workCandidate
}

// workService is what is known about one service.
type workService struct {
	model *workmodel.Service
	// paceAt is when a target last reported how long work takes there at the moment.
	paceAt time.Time
	// dataCentres has the router's own data centre first, if it has targets. The list is
	// built anew with each list of targets, and generation counts these.
	dataCentres []*workDataCentre
	generation  uint64
	targets     int
	prefixes    map[uint64]*prefix
	// sends is the number of recent requests, by which the share of a prefix is measured.
	sends decayingCount
	// requests is the mean number of requests at targets, by reports.
	requests levelEstimate
	// slots is the number of slots that a target last reported.
	slots int
}

// workDataCentre holds the targets of a service in one data centre.
type workDataCentre struct {
	name    string
	local   bool
	targets []*targetState
	// hashes are those of the targets' ids, for rendezvous hashing.
	hashes []uint64
	// used are the targets that this router has sent to recently, and may have
	// connections to.
	used []*targetState
	// known is kept over changes of the list of targets.
	known *dataCentreWork
	// level is the number of requests that a target is expected to have of which nothing
	// is known, and accepts whether the data centre is available, as of the last pick.
	level   float64
	accepts bool
}

// dataCentreWork is what is known of a service's targets in a data centre as a whole.
type dataCentreWork struct {
	// requests is the mean number of requests at a target, by reports.
	requests levelEstimate
	// reports is the number of recent reports.
	reports decayingCount
	// path is how much longer a first event takes to arrive from there than from the
	// router's own data centre, in ms.
	path workmodel.Mean
}

// targetWork is what is known about one target.
type targetWork struct {
	speed      workmodel.Speed
	dataCentre *workDataCentre
	// requests is the mean number of requests that the target reports.
	requests levelEstimate
	// usedAt is when this router last sent to the target, and reportedAt when it last
	// reported its load; 0 if never.
	usedAt, reportedAt workmodel.Instant
	// inUsed is set while the target is in its data centre's list of used ones.
	inUsed bool
}

// levelEstimate is a mean of reported figures.
type levelEstimate struct {
	value, count float64
	at           workmodel.Instant
	known        bool
}

// observe adds a figure with a weight; the first ones count equally.
func (l *levelEstimate) observe(x, weight float64, now workmodel.Instant) {
	l.count, l.known = l.count+1, true
	l.value += max(weight, 1/l.count) * (x - l.value)
	l.at = now
}

// decayingCount counts events, which fade over countMemory.
type decayingCount struct {
	count float64
	at    workmodel.Instant
}

func (c *decayingCount) add(now workmodel.Instant) {
	c.count = c.value(now) + 1
	c.at = now
}

func (c *decayingCount) value(now workmodel.Instant) float64 {
	return c.count * workmodel.Fading(now.Sub(c.at), countMemory)
}

// UseExpectedWork sets whether all services are placed by expected work, and not only
// those whose targets report how long work takes there at the moment. The seed differs
// between routers, so that they don't all choose the same among equal targets.
func (t *Table) UseExpectedWork(always bool, seed uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work.always, t.work.seed = always, mix.Mix64(seed)
}

// placedByWork returns the service if it is placed by expected work now, or nil.
func (t *Table) placedByWork(service string, now time.Time) *workService {
	svc := t.work.services[service]
	if svc == nil {
		return nil
	}
	if t.work.always || !svc.paceAt.IsZero() && now.Sub(svc.paceAt) <= paceReportMaxAge {
		return svc
	}
	return nil
}

// random returns a number below n that differs from draw to draw and between routers.
func (w *expectedWork) random(n int) int {
	return int((w.next() >> 32) * uint64(n) >> 32)
}

// uniform returns a number from -1 to 1.
func (w *expectedWork) uniform() float64 {
	return float64(int64(w.next())) / (1 << 63)
}

func (w *expectedWork) next() uint64 {
	w.draws++
	return mix.Mix64(w.seed + w.draws*0x9e3779b97f4a7c15)
}
