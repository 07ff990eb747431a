package budgetsim

import (
	"fmt"

	"cuminrock.example/fleet/budget"
)

// Reserve starts a run at some router: of a new request, or of one that ran
// before, as a caller's retry at another router would.
func (w *World) Reserve() {
	n := w.pick()
	if n == nil || !n.active(w) || n.outbox.Full() {
		return
	}
	b := w.choose.Intn(budgets)
	most := min(n.holders[b].Free(), mostTokens)
	if most == 0 {
		return
	}
	parts, err := n.holders[b].Reserve(int64(1 + w.choose.Intn(int(most))))
	if err != nil {
		w.fail(err)
		return
	}
	r := &run{request: w.requestID(b), budget: b, node: n, parts: parts}
	r.id = fmt.Sprint(r.request, "/", len(w.runs))
	r.usage = parts.Sum()
	if w.chance(2) {
		r.usage = int64(w.choose.Intn(int(parts.Sum()) + 1))
	}
	w.ran[b] += r.usage
	w.runs = append(w.runs, r)
}

func (w *World) requestID(b int) string {
	if len(w.runs) > 0 && w.chance(6) {
		if old := w.runs[w.choose.Intn(len(w.runs))]; old.budget == b {
			return old.request
		}
	}
	w.requests++
	return fmt.Sprint("r", w.requests)
}

// openRun returns a run in progress at a router that acts.
func (w *World) openRun() *run {
	if len(w.runs) == 0 {
		return nil
	}
	recent := min(len(w.runs), 40)
	r := w.runs[len(w.runs)-1-w.choose.Intn(recent)]
	if r.ended || r.node.dead || r.node.paused {
		return nil
	}
	return r
}

// Finish ends a run: with its usage, or with its usage unknown.
func (w *World) Finish() {
	r := w.openRun()
	if r == nil {
		return
	}
	r.unknown = w.chance(8)
	w.finish(r)
}

func (w *World) finish(r *run) {
	n := r.node
	used := r.usage
	if r.unknown {
		used = r.parts.Sum()
	}
	billed, err := n.holders[r.budget].Settle(&r.parts, used)
	if err != nil {
		panic(err) // Usage is within the reservation.
	}
	r.parts = billed
	r.ended = true
	r.entry = n.outbox.Add(budget.OutboxEntry{
		RequestID:    r.request,
		RunID:        r.id,
		Budget:       name(r.budget),
		Parts:        billed,
		Tokens:       used,
		UsageUnknown: r.unknown,
	})
	if w.plant == BugBillDropped && w.chance(20) {
		n.outbox.Remove(r.entry)
	}
}

// HandOverRun lets another router go on with a run: the bound stays covered
// where the run began, and the other router tells the usage.
func (w *World) HandOverRun() {
	r := w.openRun()
	to := w.pick()
	if r == nil || to == nil || to == r.node {
		return
	}
	r.unknown = true
	w.finish(r)
	covering, ok := r.node.outbox.Get(r.entry)
	if !ok {
		return
	}
	r.unknown = false
	to.copies.ForceAdd(r.node.outbox.Proto(r.entry, covering))
	to.outbox.Add(budget.OutboxEntry{RequestID: r.request, RunID: r.id, Budget: name(r.budget), Tokens: r.usage})
}

// Borrow asks another router for tokens; the answer is a message.
func (w *World) Borrow() {
	n, lender := w.pick(), w.pick()
	if n == nil || lender == nil || n == lender || !n.active(w) || w.cut[n.centre][lender.centre] {
		return
	}
	b := w.choose.Intn(budgets)
	for _, total := range n.holders[b].LoanTotals(lender.id) {
		lender.receive(w, total)
	}
	need := int64(1 + w.choose.Intn(mostTokens))
	h := lender.holders[b]
	h.Lend(n.id, budget.LoanSize(h.Free(), need, 4*need))
	w.send(flight{from: lender, to: n, totals: h.LoanTotals(n.id)})
}

// PushBills sends a router's bills to another router, which may be their home.
func (w *World) PushBills() {
	n, home := w.pick(), w.pick()
	if n == nil || home == nil || n == home {
		return
	}
	f := flight{from: n, to: home}
	n.outbox.Each(0, func(number uint64, e *budget.OutboxEntry) bool {
		f.entries = append(f.entries, n.outbox.Proto(number, e))
		return len(f.entries) < mostBatch
	})
	if len(f.entries) > 0 {
		w.send(f)
	}
}
