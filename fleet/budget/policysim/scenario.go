package policysim

import (
	"math"
	"math/rand"
	"time"
)

// Parameters of a run.
const (
	centreCount       = 3
	routersPerCentre  = 4
	routerCount       = centreCount * routersPerCentre
	budgetCount       = 30
	requestsPerSecond = 20.0
	// requestBound is what a request reserves. Its usage is uniform between 0
	// and requestBound.
	requestBound      = 600
	meanRequestTokens = requestBound / 2
	// runSeconds is how long the answer to a request is streamed.
	runSeconds = 10
	// demandShiftSeconds is the time after which demand moves between data
	// centres.
	demandShiftSeconds = 1800
	// A budget starts with tokens for minInitialHours to maxInitialHours of its
	// demand, spread evenly over the logarithm, and is topped up every
	// meanTopUpSeconds on average. Budgets that are nearly exhausted start with
	// at most maxInitialHoursNearlyExhausted and are topped up more often.
	minInitialHours                 = 0.5
	maxInitialHours                 = 48
	meanTopUpSeconds                = 4 * 3600
	maxInitialHoursNearlyExhausted  = 2.5
	meanTopUpSecondsNearlyExhausted = 1200
	// partitionedCentre is the data centre that a partition cuts off.
	partitionedCentre    = 0
	defaultSecondsBefore = 3600
	defaultSecondsAfter  = 1800
)

// Scenario describes the faults and the load of a run.
type Scenario struct {
	Name string
	// Partition is how long one data centre is cut off from the others and the
	// platform.
	Partition time.Duration
	// Crashes is the number of routers that crash without warning.
	Crashes int
	// PlatformSlow is how long the platform takes 3 s for each response.
	PlatformSlow time.Duration
	// NearlyExhausted keeps all budgets nearly exhausted throughout the run.
	NearlyExhausted bool
	// MinDuration is the least duration of the run.
	MinDuration time.Duration
	// BeforeFault and AfterFault are the times without faults around a partition
	// or a slow platform; 0 means one hour and half an hour.
	BeforeFault, AfterFault time.Duration
}

// Scenarios returns the measured scenarios. One crash a day among 12 routers is
// 2.3 times the rate expected in two years, which is 13 a day among 360.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm", MinDuration: 3 * time.Hour},
		{Name: "partition 1 min", Partition: time.Minute},
		{Name: "partition 10 min", Partition: 10 * time.Minute},
		{Name: "partition 2 h", Partition: 2 * time.Hour},
		{Name: "partition 2 h, depleted", Partition: 2 * time.Hour, NearlyExhausted: true},
		{Name: "1 crash in 24 h", Crashes: 1, MinDuration: 24 * time.Hour},
		{Name: "slow platform 30 min", PlatformSlow: 30 * time.Minute},
		{Name: "partition 2 h, 1 crash", Partition: 2 * time.Hour, Crashes: 1},
	}
}

func (s Scenario) secondsBefore() int {
	if s.BeforeFault == 0 {
		return defaultSecondsBefore
	}
	return int(s.BeforeFault.Seconds())
}

func (s Scenario) secondsAfter() int {
	if s.AfterFault == 0 {
		return defaultSecondsAfter
	}
	return int(s.AfterFault.Seconds())
}

func (s Scenario) totalSeconds() int {
	fault := max(s.Partition, s.PlatformSlow)
	return max(s.secondsBefore()+s.secondsAfter()+int(fault.Seconds()), int(s.MinDuration.Seconds()))
}

// request is a request that arrives in one second.
type request struct {
	budget int
	router int
	usage  int64
}

// topUp is a top-up by an operator in a data centre.
type topUp struct {
	budget int
	centre int
	tokens int64
}

// workload generates a scenario's events, the same for each policy.
type workload struct {
	Scenario
	rand         *rand.Rand
	demandWeight [budgetCount]float64
	// demandShare is the part of a budget's demand at each data centre.
	demandShare   [budgetCount][centreCount]float64
	initialTokens [budgetCount]int64
	topUpFactor   [budgetCount]float64
	crashes       map[int]int
}

func newWorkload(s Scenario, seed int64) *workload {
	w := &workload{Scenario: s, rand: rand.New(rand.NewSource(seed)), crashes: make(map[int]int)}
	sum := 0.0
	for b := range budgetCount {
		w.demandWeight[b] = 1 / float64(b+1)
		sum += w.demandWeight[b]
	}
	for b := range budgetCount {
		w.demandWeight[b] /= sum
		// Some budgets are topped up with less than their demand.
		w.topUpFactor[b] = 0.7 + 0.6*w.rand.Float64()
		hours := minInitialHours * math.Pow(w.maxHours()/minInitialHours, w.rand.Float64())
		w.initialTokens[b] = int64(hours * 3600 * requestsPerSecond * w.demandWeight[b] * meanRequestTokens)
	}
	for range s.Crashes {
		at := s.secondsBefore() + w.rand.Intn(s.totalSeconds()-s.secondsBefore()-s.secondsAfter()+1)
		w.crashes[at] = w.rand.Intn(routerCount)
	}
	return w
}

func (w *workload) maxHours() float64 {
	if w.NearlyExhausted {
		return maxInitialHoursNearlyExhausted
	}
	return maxInitialHours
}

// meanTopUpInterval returns the mean seconds between two top-ups of a budget.
func (w *workload) meanTopUpInterval() float64 {
	if w.NearlyExhausted {
		return meanTopUpSecondsNearlyExhausted
	}
	return meanTopUpSeconds
}

// shiftDemand moves each budget's demand between the data centres.
func (w *workload) shiftDemand() {
	for b := range budgetCount {
		sum := 0.0
		for c := range centreCount {
			w.demandShare[b][c] = math.Pow(w.rand.Float64(), 3)
			sum += w.demandShare[b][c]
		}
		for c := range centreCount {
			w.demandShare[b][c] /= sum
		}
	}
}

// generateSecond returns the requests and top-ups of one second.
func (w *workload) generateSecond(t int) ([]request, []topUp) {
	if t%demandShiftSeconds == 0 {
		w.shiftDemand()
	}
	var requests []request
	var topUps []topUp
	for b := range budgetCount {
		for range w.poisson(requestsPerSecond * w.demandWeight[b]) {
			requests = append(requests, w.request(b))
		}
		if w.rand.Float64() < 1/w.meanTopUpInterval() {
			tokens := w.topUpFactor[b] * w.meanTopUpInterval() * requestsPerSecond * w.demandWeight[b] * meanRequestTokens
			topUps = append(topUps, topUp{budget: b, centre: w.rand.Intn(centreCount), tokens: int64(tokens) + 1})
		}
	}
	return requests, topUps
}

func (w *workload) request(b int) request {
	x := w.rand.Float64()
	c := 0
	for c < centreCount-1 && x > w.demandShare[b][c] {
		x -= w.demandShare[b][c]
		c++
	}
	return request{
		budget: b,
		router: c*routersPerCentre + w.rand.Intn(routersPerCentre),
		usage:  int64(w.rand.Intn(requestBound + 1)),
	}
}

// poisson draws a Poisson-distributed number by Knuth's method, which suits
// small means.
func (w *workload) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), w.rand.Float64(), 0
	for product > limit {
		product *= w.rand.Float64()
		n++
	}
	return n
}

// isPartitioned reports whether the network is partitioned.
func (w *workload) isPartitioned(t int) bool {
	return t >= w.secondsBefore() && t < w.secondsBefore()+int(w.Partition.Seconds())
}

// isPlatformSlow reports whether the platform is slow.
func (w *workload) isPlatformSlow(t int) bool {
	return t >= w.secondsBefore() && t < w.secondsBefore()+int(w.PlatformSlow.Seconds())
}
