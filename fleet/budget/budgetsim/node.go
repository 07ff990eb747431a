package budgetsim

import (
	"fmt"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// node is one router incarnation.
type node struct {
	id         string
	centre     int
	dead       bool
	paused     bool
	registered bool
	holders    [budgets]*budget.Holder
	outbox     *budget.Outbox
	copies     *budget.CopyStore
	cache      *budget.Cache
	grant      int
	fenced     map[string]bool
	// fencedAt is the step of the latest fence of a grant.
	fencedAt map[string]int
}

const (
	nodeEntries = 500
	nodeCopies  = 100
	nodeIDs     = 50
	mostBatch   = 8
)

// start adds a router incarnation in place of a dead one, if there is one.
func (w *World) start() {
	w.born++
	n := &node{
		id:       fmt.Sprint("n", w.born),
		centre:   w.born % centres,
		copies:   budget.NewCopyStore(nodeCopies, nodeIDs),
		cache:    budget.NewCache(),
		grant:    1,
		fenced:   make(map[string]bool),
		fencedAt: make(map[string]int),
	}
	n.outbox = budget.NewOutbox(n.id, nodeEntries)
	for b := range budgets {
		n.holders[b] = budget.NewHolder(n.id, name(b))
	}
	for i, old := range w.nodes {
		if old.dead {
			w.nodes[i] = n
			return
		}
	}
	w.nodes = append(w.nodes, n)
}

func (n *node) grantID() string { return budget.GrantID(n.id, uint64(n.grant)) }

// active reports whether the router may hold tokens.
func (n *node) active(w *World) bool { return n.registered || w.plant == BugUnregisteredHolder }

// take handles a message.
func (n *node) take(w *World, f flight) {
	for _, total := range f.totals {
		n.receive(w, total)
	}
	var settled []string
	for _, e := range f.entries {
		if n.copies.Add(e) {
			settled = append(settled, e.Id)
		}
	}
	if len(settled) > 0 {
		w.send(flight{from: n, to: f.from, settled: settled})
	}
	for _, id := range f.settled {
		n.done(id)
	}
}

func (n *node) receive(w *World, total *pb.LoanTotal) {
	if !n.active(w) {
		return
	}
	b := index(total.Budget)
	if n.fenced[total.Grant] {
		return
	}
	if w.plant == BugLoanTotalAdded {
		total = &pb.LoanTotal{Budget: total.Budget, Grant: total.Grant, From: fmt.Sprint(total.From, w.Steps), To: total.To, Tokens: total.Tokens}
	}
	n.holders[b].ReceiveLoan(total)
}

func index(budgetName string) int { return int(budgetName[1] - '0') }

func (n *node) done(id string) {
	if number, ok := n.outbox.ParseEntryID(id); ok {
		n.outbox.Remove(number)
		return
	}
	n.copies.MarkSettled(id)
}

// outcome is how a commit ended for the router.
type outcome uint8

const (
	failed outcome = iota
	lost
	committed
)

// mostSteps bounds the reads and commits of one transaction.
const mostSteps = 12

// commit runs a transaction with the platform's faults.
func (n *node) commit(w *World, apply func(t *budget.Txn) error) (outcome, *budget.Txn) {
	if w.down || w.cut[n.centre][n.centre] {
		return failed, nil
	}
	a := budget.NewAttempt(n.cache, apply)
	for range mostSteps {
		step := a.Next()
		switch {
		case step.Err != nil:
			w.fail(fmt.Errorf("router %s: %w", n.id, step.Err))
			return failed, nil
		case step.Done:
			return committed, a.Txn()
		case step.Read != nil:
			a.HandleRows(step.Read, w.store.Read(step.Read))
			continue
		}
		if w.faultyCommit(step.Commit) {
			a.HandleUnknownOutcome()
			return lost, a.Txn()
		}
		a.HandleResponse(w.store.Commit(step.Commit))
	}
	return failed, nil
}

// faultyCommit decides whether the answer gets lost, and then whether the
// write took effect, never will, or will later.
func (w *World) faultyCommit(req *pb.CommitRequest) bool {
	switch w.choose.Intn(16) {
	case 0:
		w.store.Commit(req)
		return true
	case 1:
		w.late = append(w.late, req)
		return true
	case 2:
		return true
	}
	return false
}

// land lets a late write take effect.
func (w *World) land() {
	if len(w.late) == 0 {
		return
	}
	i := w.choose.Intn(len(w.late))
	w.store.Commit(w.late[i])
	w.late = append(w.late[:i], w.late[i+1:]...)
}
