package budgetsim

import (
	"fmt"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// Chooser makes a World's choices: a seeded random source, or a property
// test's generator.
type Chooser interface {
	// Intn returns a number within 0 and n-1.
	Intn(n int) int
}

// Sizes of a World.
const (
	centres     = 3
	routers     = 6
	budgets     = 3
	mostTokens  = 60
	firstTopUp  = 600
	mostTopUp   = 200
	mostFlights = 200
)

// World is a fleet, its network, its platform and its operators.
type World struct {
	// Steps counts transitions.
	Steps int

	choose  Chooser
	plant   Bug
	store   *Store
	nodes   []*node
	born    int
	flights []flight
	// slow are messages that come very late.
	slow []flight
	late []*pb.CommitRequest
	down bool
	// cut tells which data centres are cut off from each other and, in the
	// diagonal, from the platform.
	cut [centres][centres]bool

	runs     []*run
	requests int
	topUps   int
	// ran is what the engines really generated, by budget.
	ran [budgets]int64
	// writtenOff is what operators counted as spent.
	writtenOff [budgets]int64
	err        error
}

// run is one run of a request at an engine.
type run struct {
	request string
	id      string
	budget  int
	node    *node
	parts   budget.Parts
	usage   int64
	entry   uint64
	ended   bool
	unknown bool
}

// flight is a message on its way.
type flight struct {
	to      *node
	from    *node
	totals  []*pb.LoanTotal
	entries []*pb.BillEntry
	settled []string
}

// NewWorld returns a fleet with all budgets topped up.
func NewWorld(choose Chooser, plant Bug) *World {
	w := &World{choose: choose, plant: plant, store: NewStore()}
	for b := range budgets {
		w.operate(func(t *budget.Txn) error {
			_, err := t.TopUp(w.topUpID(), name(b), firstTopUp)
			return err
		})
	}
	for range routers {
		w.start()
	}
	return w
}

func name(b int) string { return fmt.Sprint("b", b) }

func (w *World) topUpID() string {
	w.topUps++
	return fmt.Sprint("t", w.topUps)
}

// chance is true once in n.
func (w *World) chance(n int) bool { return w.choose.Intn(n) == 0 }

// pick returns a router that acts: not dead and not paused.
func (w *World) pick() *node {
	n := w.nodes[w.choose.Intn(len(w.nodes))]
	if n.dead || n.paused {
		return nil
	}
	return n
}

// operate runs an operator's change without faults.
func (w *World) operate(apply func(t *budget.Txn) error) error {
	_, err := w.store.Run(budget.NewCache(), apply)
	return err
}

// fail keeps the first error that an honest router must not meet.
func (w *World) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}

// send puts a message on its way, unless the network is full or cut. Some are
// so slow that they seem lost.
func (w *World) send(f flight) {
	if w.cut[f.from.centre][f.to.centre] || len(w.flights) >= mostFlights {
		return
	}
	if w.chance(5) && len(w.slow) < mostFlights {
		w.slow = append(w.slow, f)
		return
	}
	w.flights = append(w.flights, f)
}

// deliverSlow puts a message that was on its way for long before the others.
func (w *World) deliverSlow() {
	if len(w.slow) == 0 {
		return
	}
	i := w.choose.Intn(len(w.slow))
	f := w.slow[i]
	w.slow = append(w.slow[:i], w.slow[i+1:]...)
	if !f.to.dead && !f.to.paused {
		f.to.take(w, f)
	}
}

// deliver gives a message in flight to its receiver, any one of them first,
// and sometimes keeps it to come again.
func (w *World) deliver() {
	if len(w.flights) == 0 {
		return
	}
	i := w.choose.Intn(len(w.flights))
	f := w.flights[i]
	if f.to.paused {
		return
	}
	if !w.chance(5) {
		w.flights = append(w.flights[:i], w.flights[i+1:]...)
	}
	if !f.to.dead {
		f.to.take(w, f)
	}
}
