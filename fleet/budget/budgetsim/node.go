package budgetsim

import (
	"fmt"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// node is one router incarnation.
type node struct {
	id          string
	centre      int
	dead        bool
	paused      bool
	registered  bool
	holders     [budgetCount]*budget.Holder
	outbox      *budget.Outbox
	copies      *budget.CopyStore
	cache       *budget.Cache
	grantNumber int
	fenced      map[string]bool
	// fencedAt is the step of the latest fence of a grant.
	fencedAt map[string]int
}

const (
	outboxCapacity    = 500
	copyStoreCapacity = 100
	settledIDCapacity = 50
	maxBatch          = 8
)

// startNode adds a router incarnation, which replaces a dead one if there is
// one.
func (w *World) startNode() {
	w.startedCount++
	n := &node{
		id:          fmt.Sprint("n", w.startedCount),
		centre:      w.startedCount % centreCount,
		copies:      budget.NewCopyStore(copyStoreCapacity, settledIDCapacity),
		cache:       budget.NewCache(),
		grantNumber: 1,
		fenced:      make(map[string]bool),
		fencedAt:    make(map[string]int),
	}
	n.outbox = budget.NewOutbox(n.id, outboxCapacity)
	for b := range budgetCount {
		n.holders[b] = budget.NewHolder(n.id, budgetName(b))
	}
	for i, old := range w.nodes {
		if old.dead {
			w.nodes[i] = n
			return
		}
	}
	w.nodes = append(w.nodes, n)
}

func (n *node) grantID() string { return budget.GrantID(n.id, uint64(n.grantNumber)) }

// mayHoldTokens reports whether the router may hold tokens.
func (n *node) mayHoldTokens(w *World) bool { return n.registered || w.bug == BugUnregisteredHolder }

// handleMessage applies a message to its receiver.
func (n *node) handleMessage(w *World, msg message) {
	for _, total := range msg.totals {
		n.receiveLoan(w, total)
	}
	var settled []string
	for _, e := range msg.entries {
		if n.copies.Add(e) {
			settled = append(settled, e.Id)
		}
	}
	if len(settled) > 0 {
		w.send(message{from: n, to: msg.from, settled: settled})
	}
	for _, id := range msg.settled {
		n.removeEntry(id)
	}
}

func (n *node) receiveLoan(w *World, total *pb.LoanTotal) {
	if !n.mayHoldTokens(w) {
		return
	}
	b := budgetIndex(total.Budget)
	if n.fenced[total.Grant] {
		return
	}
	if w.bug == BugLoanTotalAdded {
		total = &pb.LoanTotal{Budget: total.Budget, Grant: total.Grant, From: fmt.Sprint(total.From, w.Steps), To: total.To, Tokens: total.Tokens}
	}
	n.holders[b].ReceiveLoan(total)
}

func budgetIndex(name string) int { return int(name[1] - '0') }

func (n *node) removeEntry(id string) {
	if number, ok := n.outbox.ParseEntryID(id); ok {
		n.outbox.Remove(number)
		return
	}
	n.copies.MarkSettled(id)
}

// commitOutcome is how a commit ended for the router.
type commitOutcome uint8

const (
	commitFailed commitOutcome = iota
	outcomeUnknown
	commitSucceeded
)

// maxAttemptSteps bounds the reads and commits of one transaction.
const maxAttemptSteps = 12

// commit runs a transaction under the platform's faults.
func (n *node) commit(w *World, apply func(t *budget.Txn) error) (commitOutcome, *budget.Txn) {
	if w.platformDown || w.partitioned[n.centre][n.centre] {
		return commitFailed, nil
	}
	a := budget.NewAttempt(n.cache, apply)
	for range maxAttemptSteps {
		step := a.Next()
		switch {
		case step.Err != nil:
			w.recordError(fmt.Errorf("router %s: %w", n.id, step.Err))
			return commitFailed, nil
		case step.Done:
			return commitSucceeded, a.Txn()
		case step.Read != nil:
			a.HandleRows(step.Read, w.store.Read(step.Read))
			continue
		}
		if w.injectCommitFault(step.Commit) {
			a.HandleUnknownOutcome()
			return outcomeUnknown, a.Txn()
		}
		a.HandleResponse(w.store.Commit(step.Commit))
	}
	return commitFailed, nil
}

// injectCommitFault decides whether the response to a commit is lost. If so, the
// write has taken effect, will take effect later or never does.
func (w *World) injectCommitFault(req *pb.CommitRequest) bool {
	switch w.chooser.Intn(16) {
	case 0:
		w.store.Commit(req)
		return true
	case 1:
		w.lateCommits = append(w.lateCommits, req)
		return true
	case 2:
		return true
	}
	return false
}

// applyLateCommit applies one of the late writes.
func (w *World) applyLateCommit() {
	if len(w.lateCommits) == 0 {
		return
	}
	i := w.chooser.Intn(len(w.lateCommits))
	w.store.Commit(w.lateCommits[i])
	w.lateCommits = append(w.lateCommits[:i], w.lateCommits[i+1:]...)
}
