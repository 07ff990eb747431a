package budgetsim

import (
	"fmt"

	"cuminrock.example/fleet/budget"
)

// Reserve starts a run at some router: of a new request, or of a request that
// ran before, as when a caller retries at another router.
func (w *World) Reserve() {
	n := w.pickActive()
	if n == nil || !n.mayHoldTokens(w) || n.outbox.Full() {
		return
	}
	b := w.chooser.Intn(budgetCount)
	limit := min(n.holders[b].Free(), maxReservation)
	if limit == 0 {
		return
	}
	parts, err := n.holders[b].Reserve(int64(1 + w.chooser.Intn(int(limit))))
	if err != nil {
		w.recordError(err)
		return
	}
	r := &run{requestID: w.requestID(b), budget: b, node: n, reserved: parts}
	r.id = fmt.Sprint(r.requestID, "/", len(w.runs))
	r.usage = parts.Sum()
	if w.oneIn(2) {
		r.usage = int64(w.chooser.Intn(int(parts.Sum()) + 1))
	}
	w.tokensRun[b] += r.usage
	w.runs = append(w.runs, r)
}

func (w *World) requestID(b int) string {
	if len(w.runs) > 0 && w.oneIn(6) {
		if old := w.runs[w.chooser.Intn(len(w.runs))]; old.budget == b {
			return old.requestID
		}
	}
	w.requestCount++
	return fmt.Sprint("r", w.requestCount)
}

// pickOpenRun returns a run in progress at a router that is neither dead nor
// paused, or nil.
func (w *World) pickOpenRun() *run {
	if len(w.runs) == 0 {
		return nil
	}
	recent := min(len(w.runs), 40)
	r := w.runs[len(w.runs)-1-w.chooser.Intn(recent)]
	if r.ended || r.node.dead || r.node.paused {
		return nil
	}
	return r
}

// Finish ends a run, sometimes with unknown usage.
func (w *World) Finish() {
	r := w.pickOpenRun()
	if r == nil {
		return
	}
	r.usageUnknown = w.oneIn(8)
	w.finish(r)
}

func (w *World) finish(r *run) {
	n := r.node
	used := r.usage
	if r.usageUnknown {
		used = r.reserved.Sum()
	}
	billed, err := n.holders[r.budget].Settle(&r.reserved, used)
	if err != nil {
		panic(err) // Usage is within the reservation.
	}
	r.reserved = billed
	r.ended = true
	r.entryNumber = n.outbox.Add(budget.OutboxEntry{
		RequestID:    r.requestID,
		RunID:        r.id,
		Budget:       budgetName(r.budget),
		Parts:        billed,
		Tokens:       used,
		UsageUnknown: r.usageUnknown,
	})
	if w.bug == BugBillDropped && w.oneIn(20) {
		n.outbox.Remove(r.entryNumber)
	}
}

// HandOverRun lets another router continue a run. The reservation stays covered
// at the router where the run began, and the other router reports the usage.
func (w *World) HandOverRun() {
	r := w.pickOpenRun()
	to := w.pickActive()
	if r == nil || to == nil || to == r.node {
		return
	}
	r.usageUnknown = true
	w.finish(r)
	covering, ok := r.node.outbox.Get(r.entryNumber)
	if !ok {
		return
	}
	r.usageUnknown = false
	to.copies.ForceAdd(r.node.outbox.Proto(r.entryNumber, covering))
	to.outbox.Add(budget.OutboxEntry{RequestID: r.requestID, RunID: r.id, Budget: budgetName(r.budget), Tokens: r.usage})
}

// Borrow asks another router for tokens. The response is sent as a message.
func (w *World) Borrow() {
	n, lender := w.pickActive(), w.pickActive()
	if n == nil || lender == nil || n == lender || !n.mayHoldTokens(w) || w.partitioned[n.centre][lender.centre] {
		return
	}
	b := w.chooser.Intn(budgetCount)
	for _, total := range n.holders[b].LoanTotals(lender.id) {
		lender.receiveLoan(w, total)
	}
	need := int64(1 + w.chooser.Intn(maxReservation))
	h := lender.holders[b]
	h.Lend(n.id, budget.LoanSize(h.Free(), need, 4*need))
	w.send(message{from: lender, to: n, totals: h.LoanTotals(n.id)})
}

// PushBills sends a router's bills to another router, which may be their home.
func (w *World) PushBills() {
	n, home := w.pickActive(), w.pickActive()
	if n == nil || home == nil || n == home {
		return
	}
	msg := message{from: n, to: home}
	n.outbox.Each(0, func(number uint64, e *budget.OutboxEntry) bool {
		msg.entries = append(msg.entries, n.outbox.Proto(number, e))
		return len(msg.entries) < maxBatch
	})
	if len(msg.entries) > 0 {
		w.send(msg)
	}
}
