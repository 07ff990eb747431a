package budgetsim

import (
	"fmt"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
)

// CommitBatch commits one transaction of a router: bills, then a draw.
func (w *World) CommitBatch() {
	n := w.pickActive()
	if n == nil {
		return
	}
	w.commitBatch(n, w.chooser.Intn(budgetCount+1))
}

// commitBatch settles a router's pending bills and draws for budget b. It draws
// nothing if b is beyond the last budget.
func (w *World) commitBatch(n *node, b int) {
	entries := n.nextBatch(w)
	id := n.grantID()
	drawnTotal := int64(0)
	if b < budgetCount {
		drawnTotal = n.holders[b].TotalDrawn(id)
	}
	want := int64(1 + w.chooser.Intn(4*maxReservation))
	result, t := n.commit(w, func(t *budget.Txn) error {
		for _, e := range entries {
			if err := t.Settle(e); err != nil && !budget.IsMissingCoveringEntry(err) {
				return fmt.Errorf("entry %s: %w", e.Id, err)
			}
		}
		if b < budgetCount && n.mayHoldTokens(w) {
			return n.draw(t, b, id, drawnTotal, want)
		}
		return nil
	})
	if result == commitSucceeded {
		n.removeSettled(t, entries)
	}
	if b < budgetCount && t != nil && (result == commitSucceeded || w.bug == BugDrawAssumedCommitted) {
		n.applyDraw(t, b, id)
	}
}

// removeSettled removes the entries that the committed rows contain.
func (n *node) removeSettled(t *budget.Txn, entries []*pb.BillEntry) {
	for _, e := range entries {
		if t.Settled(e) {
			n.removeEntry(e.Id)
		}
	}
}

func (n *node) draw(t *budget.Txn, b int, id string, drawnTotal, want int64) error {
	if g, ok := t.Grant(budgetName(b), id); ok && g.Granted > drawnTotal {
		return nil
	}
	_, err := t.Draw(budget.DrawRequest{
		Grant:            &pb.GrantRow{Id: id, Budget: budgetName(b), Holder: n.id, VmInstance: n.id},
		Need:             1,
		Want:             want,
		MaxSharePermille: 300,
	})
	return err
}

func (n *node) applyDraw(t *budget.Txn, b int, id string) {
	g, ok := t.Grant(budgetName(b), id)
	if !ok {
		return
	}
	n.holders[b].ApplyGrant(g)
	if g.Closed && id == n.grantID() {
		n.grantNumber++
	}
}

func (n *node) nextBatch(w *World) []*pb.BillEntry {
	entries := n.copies.Oldest(maxBatch)
	n.outbox.Each(0, func(number uint64, e *budget.OutboxEntry) bool {
		entry := n.outbox.Proto(number, e)
		if w.bug == BugSecondRunBilled {
			entry.Run = entry.RequestId
		}
		if w.bug == BugNewEntryID && w.oneIn(4) {
			entry.Id = fmt.Sprint(entry.Id, "-", w.Steps)
			entry.RequestId = entry.Id
		}
		entries = append(entries, entry)
		return len(entries) < 2*maxBatch
	})
	return entries
}

// Register registers a router, which may then hold tokens.
func (w *World) Register() {
	n := w.pickActive()
	if n == nil || n.registered || (w.bug == BugUnregisteredHolder && !w.oneIn(20)) {
		return
	}
	row := &pb.RouterRow{Incarnation: n.id, Name: n.id, VmInstance: n.id}
	result, _ := n.commit(w, func(t *budget.Txn) error { t.Register(row); return nil })
	n.registered = result == commitSucceeded
}

// Return returns some tokens of a router's own grant to the platform.
func (w *World) Return() {
	n := w.pickActive()
	if n == nil {
		return
	}
	b := w.chooser.Intn(budgetCount)
	w.returnTokens(n, b, int64(w.chooser.Intn(maxReservation)))
}

func (w *World) returnTokens(n *node, b int, tokens int64) {
	id := n.grantID()
	h := n.holders[b]
	if !h.HasGrant(id) {
		return
	}
	free := h.Free()
	total := h.Return(id, tokens)
	result, _ := n.commit(w, func(t *budget.Txn) error { return ignoreClosed(t.Return(budgetName(b), id, total)) })
	if w.bug == BugReturnUndone && result == outcomeUnknown {
		h.ReceiveLoan(&pb.LoanTotal{Budget: budgetName(b), Grant: id, From: fmt.Sprint("undone", w.Steps), To: n.id, Tokens: free - h.Free()})
	}
}

// Fence gives up a router's tokens of a closed grant. Grants that the router has
// not yet fenced come first.
func (w *World) Fence() {
	n := w.pickActive()
	if n == nil || w.platformDown || w.partitioned[n.centre][n.centre] {
		return
	}
	closed := w.store.Scan(budget.ClosedPrefix, "")
	if len(closed) == 0 {
		return
	}
	grant := closed[w.chooser.Intn(len(closed))].Key[len(budget.ClosedPrefix):]
	for _, closedRow := range closed {
		if id := closedRow.Key[len(budget.ClosedPrefix):]; n.fencedAt[id] == 0 {
			grant = id
		}
	}
	n.fencedAt[grant] = w.Steps
	w.fence(n, grant)
}

func (w *World) fence(n *node, grant string) {
	if grant == n.grantID() {
		n.grantNumber++
	}
	if w.bug != BugLateLoanAccepted {
		n.fenced[grant] = true
	}
	row := &pb.FenceRow{Grant: grant, Incarnation: n.id}
	for b := range budgetCount {
		if !n.holders[b].HasGrant(grant) {
			continue
		}
		givenUp, reserved := w.giveUp(n.holders[b], grant)
		part := &pb.FencePart{Budget: budgetName(b), GivenUp: givenUp, Outstanding: reserved + n.unsettledTokens(b, grant)}
		if w.bug == BugFenceOmitsBills {
			part.Outstanding = 0
		}
		row.Parts = append(row.Parts, part)
	}
	n.commit(w, func(t *budget.Txn) error { return t.Fence(row) })
}

// ignoreClosed ignores the refusal to return tokens of a closed grant.
func ignoreClosed(err error) error {
	if errkind.KindOf(err) == errkind.Conflict {
		return nil
	}
	return err
}

func (w *World) giveUp(h *budget.Holder, grant string) (givenUp, reserved int64) {
	if w.bug != BugLateLoanAccepted {
		return h.Fence(grant)
	}
	// The tokens leave, but later loans of the grant are still accepted.
	return h.LendFromGrant(grant, "nobody", budget.MaxTokens), h.ReservedFromGrant(grant)
}

func (n *node) unsettledTokens(b int, grant string) int64 {
	var sum int64
	n.outbox.Each(0, func(_ uint64, e *budget.OutboxEntry) bool {
		for i := range e.Parts.Len() {
			if part := e.Parts.At(i); part.Grant == grant && e.Budget == budgetName(b) {
				sum += part.Tokens
			}
		}
		return true
	})
	return sum
}
