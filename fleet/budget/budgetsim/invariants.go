package budgetsim

import (
	"fmt"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
)

// CheckInvariants compares the platform's rows with what really ran: every
// token that ran is granted, spent or in doubt, so that it can't be drawn
// again. This is stricter than checking that no budget is overspent. It is
// cheap enough to run after each step.
func (w *World) CheckInvariants() error {
	if w.err != nil {
		return fmt.Errorf("step %d: %w", w.Steps, w.err)
	}
	for b := range budgetCount {
		row := w.budgetRow(b)
		if w.tokensRun[b] > row.Prepaid-row.Free {
			return fmt.Errorf("step %d: budget %s: %d tokens ran, but only %d of %d prepaid aren't free", w.Steps, row.Name, w.tokensRun[b], row.Prepaid-row.Free, row.Prepaid)
		}
		if row.Free < 0 || row.Prepaid != row.Free+row.Granted+row.Spent+row.InDoubt {
			return fmt.Errorf("step %d: row violates conservation: %v", w.Steps, row)
		}
	}
	for _, n := range w.nodes {
		for b := range budgetCount {
			if _, violations := n.holders[b].ConservationChecks(); violations > 0 {
				return fmt.Errorf("step %d: router %s violated conservation of budget %s", w.Steps, n.id, budgetName(b))
			}
		}
		if n.cache.Counters.UncoveredTokens > 0 {
			return fmt.Errorf("step %d: router %s settled %d tokens that had been released", w.Steps, n.id, n.cache.Counters.UncoveredTokens)
		}
		if n.cache.Counters.Violations > 0 {
			return fmt.Errorf("step %d: router %s built a transaction that violates conservation", w.Steps, n.id)
		}
	}
	return nil
}

func (w *World) budgetRow(b int) *pb.BudgetRow {
	row := &pb.BudgetRow{}
	unmarshal(w.store.rows[budget.BudgetKey(budgetName(b))], row)
	return row
}

// CheckRowTotals compares all rows with each other: grants and doubt rows with
// their budget, bills with what is spent, and entries with bills.
func (w *World) CheckRowTotals() error {
	for b := range budgetCount {
		row := w.budgetRow(b)
		if sum := w.sumGrants(b); sum != row.Granted {
			return fmt.Errorf("budget %s: grants have %d outstanding, the row %d", row.Name, sum, row.Granted)
		}
		if sum := w.sumDoubts(b); sum != row.InDoubt {
			return fmt.Errorf("budget %s: doubt rows have %d tokens, the budget's row %d", row.Name, sum, row.InDoubt)
		}
	}
	return w.checkBills()
}

func (w *World) sumGrants(b int) int64 {
	var sum int64
	for _, row := range w.store.Scan(budget.GrantsPrefix(budgetName(b)), "") {
		g := &pb.GrantRow{}
		unmarshal(row, g)
		if !g.Closed {
			sum += budget.Outstanding(g)
		}
	}
	return sum
}

func (w *World) sumDoubts(b int) int64 {
	var sum int64
	for _, row := range w.store.Scan(budget.DoubtsPrefix(budgetName(b)), "") {
		d := &pb.DoubtRow{}
		unmarshal(row, d)
		sum += d.Tokens
	}
	return sum
}

func (w *World) checkBills() error {
	var spent [budgetCount]int64
	entries := make(map[string]bool)
	for _, row := range w.store.Scan(budget.BillKey(""), "") {
		bill := &pb.BillRow{}
		unmarshal(row, bill)
		spent[budgetIndex(bill.Budget)] += bill.Tokens
		if budget.PartsSum(bill.Parts) != bill.Tokens {
			return fmt.Errorf("bill %s of %d tokens has parts of %d", bill.RequestId, bill.Tokens, budget.PartsSum(bill.Parts))
		}
		for _, e := range bill.Entries {
			if entries[e] {
				return fmt.Errorf("entry %s was applied twice", e)
			}
			entries[e] = true
		}
	}
	for b := range budgetCount {
		if row := w.budgetRow(b); row.Spent != spent[b]+w.writtenOff[b] {
			return fmt.Errorf("budget %s: the row has %d tokens spent, bills %d, written off %d", row.Name, row.Spent, spent[b], w.writtenOff[b])
		}
	}
	return nil
}

// QuiesceAndCheck ends all faults, lets everything settle and checks that each
// run of a live router is billed once and exactly, and that nothing stays
// granted.
func (w *World) QuiesceAndCheck() error {
	w.Heal()
	w.Resume()
	for len(w.lateCommits) > 0 {
		w.applyLateCommit()
	}
	for _, r := range w.runs {
		if !r.ended && !r.node.dead {
			w.finish(r)
		}
	}
	for round := 0; w.hasUnsettledBills() && round < 4000; round++ {
		for _, n := range w.nodes {
			w.commitBatch(n, budgetCount)
		}
		for len(w.lateCommits) > 0 {
			w.applyLateCommit()
		}
	}
	if err := w.checkRunBills(); err != nil {
		return err
	}
	w.closeAllGrants()
	if err := w.CheckInvariants(); err != nil {
		return err
	}
	return w.CheckRowTotals()
}

// hasUnsettledBills reports whether a live router has a bill that can be
// settled.
func (w *World) hasUnsettledBills() bool {
	for _, n := range w.nodes {
		if n.outbox.Len()+n.copies.Len() > 0 {
			return true
		}
	}
	return false
}

// closeAllGrants closes and fences every grant, and releases what is proved
// unspent.
func (w *World) closeAllGrants() {
	for b := range budgetCount {
		for _, row := range w.store.Scan(budget.GrantsPrefix(budgetName(b)), "") {
			g := &pb.GrantRow{}
			unmarshal(row, g)
			w.closeGrant(g)
		}
	}
	for _, closedRow := range w.store.Scan(budget.ClosedPrefix, "") {
		for _, n := range w.nodes {
			w.fence(n, closedRow.Key[len(budget.ClosedPrefix):])
		}
	}
	for b := range budgetCount {
		for _, row := range w.store.Scan(budget.DoubtsPrefix(budgetName(b)), "") {
			d := &pb.DoubtRow{}
			unmarshal(row, d)
			w.release(d)
		}
	}
}

// checkRunBills verifies that each run of a live router has a bill, and that
// the bill of the billed run equals its usage.
func (w *World) checkRunBills() error {
	for _, r := range w.runs {
		if r.node.dead {
			continue
		}
		rows := w.store.Read([]string{budget.BillKey(r.requestID)})
		if len(rows) == 0 {
			return fmt.Errorf("run %s has no bill", r.id)
		}
		bill := &pb.BillRow{}
		unmarshal(rows[0], bill)
		if bill.Run != r.id {
			continue
		}
		if bill.Doubt == "" && !r.usageUnknown && bill.Tokens != r.usage && len(bill.Entries) > 0 && !w.resolvedEarly(bill, r) {
			return fmt.Errorf("run %s used %d tokens, its bill is %d", r.id, r.usage, bill.Tokens)
		}
	}
	return nil
}

// resolvedEarly reports whether an operator had counted the run's reservation
// as spent before its usage was reported. Its bill is then below its usage.
func (w *World) resolvedEarly(bill *pb.BillRow, r *run) bool {
	return bill.Tokens < r.usage && len(bill.Entries) > 1
}
