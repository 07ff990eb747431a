package policysim

import (
	"math"
	"math/rand"
	"time"
)

// Sizes of a run.
const (
	centres           = 3
	routersPerCentre  = 4
	routers           = centres * routersPerCentre
	budgets           = 30
	requestsPerSecond = 20.0
	// boundTokens is what a request reserves; its usage is uniform below.
	boundTokens = 600
	meanTokens  = boundTokens / 2
	// runSeconds is how long a request's answer streams.
	runSeconds = 10
	// demandShift is the time after which demand moves between data centres.
	demandShift = 1800
	// A budget starts with leastHours to mostHours of its demand, spread evenly
	// over the logarithm, and is topped up every topUpSeconds on average. Tight
	// budgets start with at most tightHours and are topped up more often.
	leastHours        = 0.5
	mostHours         = 48
	topUpSeconds      = 4 * 3600
	tightHours        = 2.5
	tightTopUpSeconds = 1200
	// cutCentre is the data centre that a partition cuts off.
	cutCentre     = 0
	defaultBefore = 3600
	defaultAfter  = 1800
)

// Scenario is what befalls a run.
type Scenario struct {
	Name string
	// Partition cuts one data centre off from the others and the platform.
	Partition time.Duration
	// Crashes is the number of routers that die without warning.
	Crashes int
	// PlatformSlow is how long the platform takes 3 s for each answer.
	PlatformSlow time.Duration
	// NearlyExhausted is true where all budgets are nearly used up all the time.
	NearlyExhausted bool
	// MinDuration is the least length of the run.
	MinDuration time.Duration
	// BeforeFault and AfterFault are the calm times around a partition or a slow
	// platform; 0 means an hour and half an hour.
	BeforeFault, AfterFault time.Duration
}

// Scenarios returns what is measured. One death of 12 routers a day is 2.3
// times the two-year rate of 13 of 360.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm", MinDuration: 3 * time.Hour},
		{Name: "partition 1 min", Partition: time.Minute},
		{Name: "partition 10 min", Partition: 10 * time.Minute},
		{Name: "partition 2 h", Partition: 2 * time.Hour},
		{Name: "partition 2 h, tight", Partition: 2 * time.Hour, NearlyExhausted: true},
		{Name: "1 death in 24 h", Crashes: 1, MinDuration: 24 * time.Hour},
		{Name: "slow platform 30 min", PlatformSlow: 30 * time.Minute},
		{Name: "partition 2 h, 1 death", Partition: 2 * time.Hour, Crashes: 1},
	}
}

func (s Scenario) before() int {
	if s.BeforeFault == 0 {
		return defaultBefore
	}
	return int(s.BeforeFault.Seconds())
}

func (s Scenario) after() int {
	if s.AfterFault == 0 {
		return defaultAfter
	}
	return int(s.AfterFault.Seconds())
}

func (s Scenario) seconds() int {
	event := max(s.Partition, s.PlatformSlow)
	return max(s.before()+s.after()+int(event.Seconds()), int(s.MinDuration.Seconds()))
}

// request is one request of a second.
type request struct {
	budget int
	router int
	usage  int64
}

// topUp is one top-up, by an operator in a data centre.
type topUp struct {
	budget int
	centre int
	tokens int64
}

// world makes a scenario's events, the same for each policy.
type world struct {
	Scenario
	rand   *rand.Rand
	weight [budgets]float64
	// lean is the part of a budget's demand at each data centre.
	lean   [budgets][centres]float64
	first  [budgets]int64
	supply [budgets]float64
	deaths map[int]int
}

func newWorld(s Scenario, seed int64) *world {
	w := &world{Scenario: s, rand: rand.New(rand.NewSource(seed)), deaths: make(map[int]int)}
	sum := 0.0
	for b := range budgets {
		w.weight[b] = 1 / float64(b+1)
		sum += w.weight[b]
	}
	for b := range budgets {
		w.weight[b] /= sum
		// Some budgets are topped up with less than their demand.
		w.supply[b] = 0.7 + 0.6*w.rand.Float64()
		hours := leastHours * math.Pow(w.most()/leastHours, w.rand.Float64())
		w.first[b] = int64(hours * 3600 * requestsPerSecond * w.weight[b] * meanTokens)
	}
	for range s.Crashes {
		at := s.before() + w.rand.Intn(s.seconds()-s.before()-s.after()+1)
		w.deaths[at] = w.rand.Intn(routers)
	}
	return w
}

func (w *world) most() float64 {
	if w.NearlyExhausted {
		return tightHours
	}
	return mostHours
}

// topUpEvery returns the mean seconds between two top-ups of a budget.
func (w *world) topUpEvery() float64 {
	if w.NearlyExhausted {
		return tightTopUpSeconds
	}
	return topUpSeconds
}

// shift moves each budget's demand between the data centres.
func (w *world) shift() {
	for b := range budgets {
		sum := 0.0
		for c := range centres {
			w.lean[b][c] = math.Pow(w.rand.Float64(), 3)
			sum += w.lean[b][c]
		}
		for c := range centres {
			w.lean[b][c] /= sum
		}
	}
}

// second returns the requests and top-ups of one second.
func (w *world) second(t int) ([]request, []topUp) {
	if t%demandShift == 0 {
		w.shift()
	}
	var requests []request
	var topUps []topUp
	for b := range budgets {
		for range w.poisson(requestsPerSecond * w.weight[b]) {
			requests = append(requests, w.request(b))
		}
		if w.rand.Float64() < 1/w.topUpEvery() {
			tokens := w.supply[b] * w.topUpEvery() * requestsPerSecond * w.weight[b] * meanTokens
			topUps = append(topUps, topUp{budget: b, centre: w.rand.Intn(centres), tokens: int64(tokens) + 1})
		}
	}
	return requests, topUps
}

func (w *world) request(b int) request {
	x := w.rand.Float64()
	c := 0
	for c < centres-1 && x > w.lean[b][c] {
		x -= w.lean[b][c]
		c++
	}
	return request{
		budget: b,
		router: c*routersPerCentre + w.rand.Intn(routersPerCentre),
		usage:  int64(w.rand.Intn(boundTokens + 1)),
	}
}

// poisson draws a Poisson number (Knuth's method; the mean is small).
func (w *world) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), w.rand.Float64(), 0
	for product > limit {
		product *= w.rand.Float64()
		n++
	}
	return n
}

// cut reports whether the partition is on.
func (w *world) cut(t int) bool {
	return t >= w.before() && t < w.before()+int(w.Partition.Seconds())
}

// slow reports whether the platform is slow.
func (w *world) slow(t int) bool {
	return t >= w.before() && t < w.before()+int(w.PlatformSlow.Seconds())
}
