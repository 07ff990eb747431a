package budgetsim

import (
	"fmt"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
)

// CommitBatch makes one transaction of a router: bills, then a draw.
func (w *World) CommitBatch() {
	n := w.pick()
	if n == nil {
		return
	}
	w.write(n, w.choose.Intn(budgets+1))
}

// write settles what waits at a router and draws for one budget; a budget
// beyond the last means no draw.
func (w *World) write(n *node, b int) {
	entries := n.settleable(w)
	id := n.grantID()
	known := int64(0)
	if b < budgets {
		known = n.holders[b].TotalDrawn(id)
	}
	want := int64(1 + w.choose.Intn(4*mostTokens))
	result, t := n.commit(w, func(t *budget.Txn) error {
		for _, e := range entries {
			if err := t.Settle(e); err != nil && !budget.IsMissingCoveringEntry(err) {
				return fmt.Errorf("entry %s: %w", e.Id, err)
			}
		}
		if b < budgets && n.active(w) {
			return n.draw(t, b, id, known, want)
		}
		return nil
	})
	if result == committed {
		n.settled(t, entries)
	}
	if b < budgets && t != nil && (result == committed || w.plant == BugDrawAssumedCommitted) {
		n.drawn(t, b, id)
	}
}

// settled drops the entries that the committed rows hold.
func (n *node) settled(t *budget.Txn, entries []*pb.BillEntry) {
	for _, e := range entries {
		if t.Settled(e) {
			n.done(e.Id)
		}
	}
}

func (n *node) draw(t *budget.Txn, b int, id string, known, want int64) error {
	if g, ok := t.Grant(name(b), id); ok && g.Granted > known {
		return nil
	}
	_, err := t.Draw(budget.DrawRequest{
		Grant:            &pb.GrantRow{Id: id, Budget: name(b), Holder: n.id, VmInstance: n.id},
		Need:             1,
		Want:             want,
		MaxSharePermille: 300,
	})
	return err
}

func (n *node) drawn(t *budget.Txn, b int, id string) {
	g, ok := t.Grant(name(b), id)
	if !ok {
		return
	}
	n.holders[b].ApplyGrant(g)
	if g.Closed && id == n.grantID() {
		n.grant++
	}
}

func (n *node) settleable(w *World) []*pb.BillEntry {
	entries := n.copies.Oldest(mostBatch)
	n.outbox.Each(0, func(number uint64, e *budget.OutboxEntry) bool {
		entry := n.outbox.Proto(number, e)
		if w.plant == BugSecondRunBilled {
			entry.Run = entry.RequestId
		}
		if w.plant == BugNewEntryID && w.chance(4) {
			entry.Id = fmt.Sprint(entry.Id, "-", w.Steps)
			entry.RequestId = entry.Id
		}
		entries = append(entries, entry)
		return len(entries) < 2*mostBatch
	})
	return entries
}

// Register records a router, which then may hold tokens.
func (w *World) Register() {
	n := w.pick()
	if n == nil || n.registered || (w.plant == BugUnregisteredHolder && !w.chance(20)) {
		return
	}
	row := &pb.RouterRow{Incarnation: n.id, Name: n.id, VmInstance: n.id}
	result, _ := n.commit(w, func(t *budget.Txn) error { t.Register(row); return nil })
	n.registered = result == committed
}

// Return gives some tokens of a router's own grant back to the platform.
func (w *World) Return() {
	n := w.pick()
	if n == nil {
		return
	}
	b := w.choose.Intn(budgets)
	w.returnTokens(n, b, int64(w.choose.Intn(mostTokens)))
}

func (w *World) returnTokens(n *node, b int, tokens int64) {
	id := n.grantID()
	h := n.holders[b]
	if !h.HasGrant(id) {
		return
	}
	free := h.Free()
	total := h.Return(id, tokens)
	result, _ := n.commit(w, func(t *budget.Txn) error { return ignoreClosed(t.Return(name(b), id, total)) })
	if w.plant == BugReturnUndone && result == lost {
		h.ReceiveLoan(&pb.LoanTotal{Budget: name(b), Grant: id, From: fmt.Sprint("undone", w.Steps), To: n.id, Tokens: free - h.Free()})
	}
}

// Fence gives up a router's tokens of a closed grant.
func (w *World) Fence() {
	n := w.pick()
	if n == nil || w.down || w.cut[n.centre][n.centre] {
		return
	}
	closed := w.store.Scan(budget.ClosedPrefix, "")
	if len(closed) == 0 {
		return
	}
	grant := closed[w.choose.Intn(len(closed))].Key[len(budget.ClosedPrefix):]
	for _, mark := range closed {
		if id := mark.Key[len(budget.ClosedPrefix):]; n.fencedAt[id] == 0 {
			grant = id
		}
	}
	n.fencedAt[grant] = w.Steps
	w.fence(n, grant)
}

func (w *World) fence(n *node, grant string) {
	if grant == n.grantID() {
		n.grant++
	}
	if w.plant != BugLateLoanAccepted {
		n.fenced[grant] = true
	}
	row := &pb.FenceRow{Grant: grant, Incarnation: n.id}
	for b := range budgets {
		if !n.holders[b].HasGrant(grant) {
			continue
		}
		givenUp, reserved := w.giveUp(n.holders[b], grant)
		part := &pb.FencePart{Budget: name(b), GivenUp: givenUp, Outstanding: reserved + n.unsettled(b, grant)}
		if w.plant == BugFenceOmitsBills {
			part.Outstanding = 0
		}
		row.Parts = append(row.Parts, part)
	}
	n.commit(w, func(t *budget.Txn) error { return t.Fence(row) })
}

// ignoreClosed passes over the refusal to return tokens of a closed grant.
func ignoreClosed(err error) error {
	if errkind.KindOf(err) == errkind.Conflict {
		return nil
	}
	return err
}

func (w *World) giveUp(h *budget.Holder, grant string) (givenUp, reserved int64) {
	if w.plant != BugLateLoanAccepted {
		return h.Fence(grant)
	}
	// The tokens leave, but the grant isn't refused from then on.
	return h.LendFromGrant(grant, "nobody", budget.MaxTokens), h.ReservedFromGrant(grant)
}

func (n *node) unsettled(b int, grant string) int64 {
	var sum int64
	n.outbox.Each(0, func(_ uint64, e *budget.OutboxEntry) bool {
		for i := range e.Parts.Len() {
			if part := e.Parts.At(i); part.Grant == grant && e.Budget == name(b) {
				sum += part.Tokens
			}
		}
		return true
	})
	return sum
}
