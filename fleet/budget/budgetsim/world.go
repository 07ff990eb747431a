package budgetsim

import (
	"fmt"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// Chooser makes a World's choices: a seeded random source or the generator of a
// property test.
type Chooser interface {
	// Intn returns a number between 0 and n-1.
	Intn(n int) int
}

// Sizes of a World.
const (
	centreCount    = 3
	routerCount    = 6
	budgetCount    = 3
	maxReservation = 60
	initialTopUp   = 600
	maxTopUp       = 200
	maxInFlight    = 200
)

// World is a fleet, its network, its platform and its operators.
type World struct {
	// Steps counts transitions.
	Steps int

	chooser      Chooser
	bug          Bug
	store        *Store
	nodes        []*node
	startedCount int
	inFlight     []message
	// delayed holds messages that arrive very late.
	delayed      []message
	lateCommits  []*pb.CommitRequest
	platformDown bool
	// partitioned tells which data centres are cut off from each other and, on
	// the diagonal, from the platform.
	partitioned [centreCount][centreCount]bool

	runs         []*run
	requestCount int
	topUpCount   int
	// tokensRun is what the engines really generated, by budget.
	tokensRun [budgetCount]int64
	// writtenOff is what operators counted as spent, by budget.
	writtenOff [budgetCount]int64
	err        error
}

// run is one run of a request at an engine.
type run struct {
	requestID    string
	id           string
	budget       int
	node         *node
	reserved     budget.Parts
	usage        int64
	entryNumber  uint64
	ended        bool
	usageUnknown bool
}

// message is a message in flight.
type message struct {
	to      *node
	from    *node
	totals  []*pb.LoanTotal
	entries []*pb.BillEntry
	settled []string
}

// NewWorld returns a world with all budgets topped up.
func NewWorld(chooser Chooser, bug Bug) *World {
	w := &World{chooser: chooser, bug: bug, store: NewStore()}
	for b := range budgetCount {
		w.commitAsOperator(func(t *budget.Txn) error {
			_, err := t.TopUp(w.nextTopUpID(), budgetName(b), initialTopUp)
			return err
		})
	}
	for range routerCount {
		w.startNode()
	}
	return w
}

func budgetName(b int) string { return fmt.Sprint("b", b) }

func (w *World) nextTopUpID() string {
	w.topUpCount++
	return fmt.Sprint("t", w.topUpCount)
}

// oneIn returns true with a probability of 1/n.
func (w *World) oneIn(n int) bool { return w.chooser.Intn(n) == 0 }

// pickActive picks a router. It returns nil if that one is dead or paused.
func (w *World) pickActive() *node {
	n := w.nodes[w.chooser.Intn(len(w.nodes))]
	if n.dead || n.paused {
		return nil
	}
	return n
}

// commitAsOperator commits an operator's change without faults.
func (w *World) commitAsOperator(apply func(t *budget.Txn) error) error {
	_, err := w.store.Run(budget.NewCache(), apply)
	return err
}

// recordError records the first error that a correct router must not meet.
func (w *World) recordError(err error) {
	if w.err == nil {
		w.err = err
	}
}

// send sends a message, unless the data centres are partitioned or the network
// is full. Some messages are delayed so long that they seem lost.
func (w *World) send(msg message) {
	if w.partitioned[msg.from.centre][msg.to.centre] || len(w.inFlight) >= maxInFlight {
		return
	}
	if w.oneIn(5) && len(w.delayed) < maxInFlight {
		w.delayed = append(w.delayed, msg)
		return
	}
	w.inFlight = append(w.inFlight, msg)
}

// deliverDelayed delivers one of the delayed messages ahead of those in flight.
func (w *World) deliverDelayed() {
	if len(w.delayed) == 0 {
		return
	}
	i := w.chooser.Intn(len(w.delayed))
	msg := w.delayed[i]
	w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
	if !msg.to.dead && !msg.to.paused {
		msg.to.handleMessage(w, msg)
	}
}

// deliver delivers any message in flight, and sometimes keeps it to be
// delivered again.
func (w *World) deliver() {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.chooser.Intn(len(w.inFlight))
	msg := w.inFlight[i]
	if msg.to.paused {
		return
	}
	if !w.oneIn(5) {
		w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	}
	if !msg.to.dead {
		msg.to.handleMessage(w, msg)
	}
}
